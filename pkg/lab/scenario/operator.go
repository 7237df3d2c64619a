package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

const (
	// statusTimeout bounds a poll, so that a frozen instance delays nothing.
	statusTimeout = time.Second
	patchTimeout  = 20 * time.Second
	// inForceObjective is the time from acceptance to "in force everywhere".
	inForceObjective = 6 * time.Second
)

// operate sends one request to the operators' API of an instance.
func (w *world) operate(n int, timeout time.Duration, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	return operateAt(w.fleet.Instances[n].Settings.OperatorAddress, timeout, method, path, header, body)
}

func operateAt(address string, timeout time.Duration, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	request.Header.Set(api.HeaderAuthorization, api.AuthorizationPrefix+fleet.OperatorToken)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, errors.WithStack(err)
}

func (w *world) status(n int) (api.Status, error) {
	var s api.Status
	code, data, err := w.operate(n, statusTimeout, http.MethodGet, api.StatusPath, nil, nil)
	if err != nil {
		return s, err
	}
	if code != http.StatusOK {
		return s, unmet("status of instance %d answered %d: %s", n+1, code, data)
	}
	return s, errors.WithStack(json.Unmarshal(data, &s))
}

// active tells whether the instance is a process that is not frozen.
func (w *world) active(n int) bool {
	i := w.fleet.Instances[n]
	return i.Process != nil && i.Process.Running() && !w.frozen[n]
}

func (w *world) waitMembers(count int, limit time.Duration) error {
	var last string
	ok := until(limit, func() bool {
		for n := range w.fleet.Instances {
			if !w.active(n) {
				continue
			}
			s, err := w.status(n)
			if err != nil || !s.Member || !s.Fresh || s.Members != count {
				last = describeStatus(n, s, err)
				return false
			}
		}
		return true
	})
	if !ok {
		return unmet("no membership of %d within %s; %s", count, limit, last)
	}
	return nil
}

func describeStatus(n int, s api.Status, err error) string {
	if err != nil {
		return "instance " + strconv.Itoa(n+1) + ": " + err.Error()
	}
	data, _ := json.Marshal(s) // a struct of plain values
	return string(data)
}

// patchResult is the answer to one patch.
type patchResult struct {
	status  int
	version int64
	failure api.Failure
	err     error
}

// text is the outcome as scripts name it: the status, or the failure code.
func (p patchResult) text() string {
	if p.err != nil {
		return "no-answer"
	}
	if p.failure.Code != "" {
		return p.failure.Code
	}
	return strconv.Itoa(p.status)
}

func (w *world) patch(n int, version int64, patch []byte) patchResult {
	return patchAt(w.fleet.Instances[n].Settings.OperatorAddress, patchTimeout, version, patch)
}

func patchAt(address string, timeout time.Duration, version int64, patch []byte) patchResult {
	header := map[string]string{
		"If-Match":     strconv.Quote(strconv.FormatInt(version, 10)),
		"Content-Type": config.MergePatchType,
	}
	status, data, err := operateAt(address, timeout, http.MethodPatch, api.ConfigPath, header, patch)
	result := patchResult{status: status, err: err}
	if err != nil {
		return result
	}
	if status >= http.StatusBadRequest {
		result.err = errors.WithStack(json.Unmarshal(data, &result.failure))
		return result
	}
	var accepted api.PatchResult
	result.err = errors.WithStack(json.Unmarshal(data, &accepted))
	result.version = accepted.Version
	return result
}

// accepted notes a new version.
func (w *world) accepted(version int64) {
	w.version = max(w.version, version)
	w.mark("accepted")
}

// apply patches at the first instance and waits until the version is in force.
func (w *world) apply(patch any) error {
	data, err := json.Marshal(patch)
	if err != nil {
		return errors.WithStack(err)
	}
	result := w.patch(0, w.version, data)
	if result.err != nil || result.failure.Code != "" {
		return unmet("the patch was answered %s: %s %v", result.text(), result.failure.Message, result.err)
	}
	w.accepted(result.version)
	return w.waitInForce(w.version, inForceObjective)
}

// waitInForce waits until an instance reports the version in force and no
// fresh instance has an older one. Frozen instances are not asked.
func (w *world) waitInForce(version int64, limit time.Duration) error {
	var last string
	ok := until(limit, func() bool {
		reported := false
		for n := range w.fleet.Instances {
			if !w.active(n) {
				continue
			}
			s, err := w.status(n)
			if err != nil || s.Fresh && s.ConfigVersion < version {
				last = describeStatus(n, s, err)
				return false
			}
			if s.Fresh && s.ConfigState == api.InForce {
				reported = true
			} else {
				last = describeStatus(n, s, err)
			}
		}
		return reported
	})
	if !ok {
		return unmet("version %d is not in force everywhere within %s; %s", version, limit, last)
	}
	w.mark("in-force")
	w.watch.inForce(version)
	return nil
}

// race submits different patches with one number through several instances at
// once and expects that exactly one is accepted and that it is in the result.
func (w *world) race(instances []int) error {
	results := make([]patchResult, len(instances))
	var group sync.WaitGroup
	for i, n := range instances {
		group.Go(func() {
			patch := `{"teams":{"blue":{"burst":` + strconv.Itoa(raceBurst+i) + `}}}`
			results[i] = w.patch(n, w.version, []byte(patch))
		})
	}
	group.Wait()
	winner := -1
	for i, r := range results {
		switch {
		case r.err == nil && r.version > 0 && winner < 0:
			winner = i
		case r.err == nil && r.status == http.StatusPreconditionFailed && r.failure.Code == api.CodeStaleVersion:
		default:
			return unmet("patch %d of %d was answered %s %v", i+1, len(results), r.text(), r.err)
		}
	}
	if winner < 0 {
		return unmet("no patch was accepted")
	}
	w.accepted(results[winner].version)
	return w.expectBurst(raceBurst + winner)
}

const raceBurst = 31

func (w *world) expectBurst(burst int) error {
	if err := w.waitInForce(w.version, inForceObjective); err != nil {
		return err
	}
	for n := range w.fleet.Instances {
		c, err := w.readConfig(n)
		if err != nil {
			return err
		}
		if c.Version != w.version || c.Config.Teams["blue"].Burst != burst {
			return unmet("instance %d has version %d with burst %d, not version %d with burst %d",
				n+1, c.Version, c.Config.Teams["blue"].Burst, w.version, burst)
		}
	}
	return nil
}

func (w *world) readConfig(n int) (api.Document, error) {
	var d api.Document
	_, data, err := w.operate(n, statusTimeout, http.MethodGet, api.ConfigPath, nil, nil)
	if err != nil {
		return d, err
	}
	return d, errors.WithStack(json.Unmarshal(data, &d))
}

// expireGreen sets the end of the contract of the batch of team green, after
// now, and marks it as "expiry".
func (w *world) expireGreen(after time.Duration) error {
	expires := time.Now().Add(after).UTC().Truncate(time.Second)
	patch := map[string]any{"batches": map[string]any{"short": map[string]any{"expires": expires}}}
	if err := w.apply(patch); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks["expiry"] = expires
	return nil
}
