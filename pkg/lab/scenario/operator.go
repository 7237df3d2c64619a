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
	// statusTimeout bounds a status request, so that a frozen instance does not
	// delay the others.
	statusTimeout = time.Second
	patchTimeout  = 20 * time.Second
	// inForceObjective is the objective for the time from the acceptance of a
	// patch until it is in force everywhere.
	inForceObjective = 6 * time.Second
)

// callOperatorAPI sends one request to the operator API of an instance and returns
// the status and the body of the response.
func (tb *testbed) callOperatorAPI(n int, timeout time.Duration, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	return callOperatorAPIAt(tb.fleet.Instances[n].Settings.OperatorAddress, timeout, method, path, header, body)
}

func callOperatorAPIAt(address string, timeout time.Duration, method, path string, header map[string]string, body []byte) (int, []byte, error) {
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

// status reads the status that an instance reports.
func (tb *testbed) status(n int) (api.Status, error) {
	var s api.Status
	code, data, err := tb.callOperatorAPI(n, statusTimeout, http.MethodGet, api.StatusPath, nil, nil)
	if err != nil {
		return s, err
	}
	if code != http.StatusOK {
		return s, unmet("the status request to instance %d was answered %d: %s", n+1, code, data)
	}
	return s, errors.WithStack(json.Unmarshal(data, &s))
}

// active reports whether the process of the instance runs and is not frozen.
func (tb *testbed) active(n int) bool {
	i := tb.fleet.Instances[n]
	return i.Process != nil && i.Process.Running() && !tb.frozen[n]
}

// waitMembers waits until every active instance is a fresh member and reports a
// membership of count members.
func (tb *testbed) waitMembers(count int, limit time.Duration) error {
	var last string
	ok := pollUntil(limit, func() bool {
		for n := range tb.fleet.Instances {
			if !tb.active(n) {
				continue
			}
			s, err := tb.status(n)
			if err != nil || !s.Member || !s.Fresh || s.Members != count {
				last = describeStatus(n, s, err)
				return false
			}
		}
		return true
	})
	if !ok {
		return unmet("the instances do not all report %d members within %s; last status: %s", count, limit, last)
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
	status int
	// version is that of the accepted configuration; 0 if the patch was refused.
	version int64
	failure api.Failure
	// err is set if there was no valid answer.
	err error
}

// text is the outcome as scripts write it: "no-answer", the failure code, or the
// status of an accepted patch.
func (p patchResult) text() string {
	if p.err != nil {
		return "no-answer"
	}
	if p.failure.Code != "" {
		return p.failure.Code
	}
	return strconv.Itoa(p.status)
}

// patch submits a patch of the given configuration version through an instance.
func (tb *testbed) patch(n int, version int64, patch []byte) patchResult {
	return patchAt(tb.fleet.Instances[n].Settings.OperatorAddress, patchTimeout, version, patch)
}

func patchAt(address string, timeout time.Duration, version int64, patch []byte) patchResult {
	header := map[string]string{
		"If-Match":     strconv.Quote(strconv.FormatInt(version, 10)),
		"Content-Type": config.MergePatchType,
	}
	status, data, err := callOperatorAPIAt(address, timeout, http.MethodPatch, api.ConfigPath, header, patch)
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

// recordAccepted records the version of an accepted patch and marks "accepted".
func (tb *testbed) recordAccepted(version int64) {
	tb.version = max(tb.version, version)
	tb.setMark("accepted")
}

// applyConfig submits a patch through the first instance and waits until its version
// is in force.
func (tb *testbed) applyConfig(patch any) error {
	data, err := json.Marshal(patch)
	if err != nil {
		return errors.WithStack(err)
	}
	result := tb.patch(0, tb.version, data)
	if result.err != nil || result.failure.Code != "" {
		return unmet("the patch was answered %s: %s %v", result.text(), result.failure.Message, result.err)
	}
	tb.recordAccepted(result.version)
	return tb.waitInForce(tb.version, inForceObjective)
}

// waitInForce waits until an instance reports that its configuration version is in
// force and no fresh instance has a version older than the given one. Frozen
// instances are not polled.
func (tb *testbed) waitInForce(version int64, limit time.Duration) error {
	var last string
	ok := pollUntil(limit, func() bool {
		reported := false
		for n := range tb.fleet.Instances {
			if !tb.active(n) {
				continue
			}
			s, err := tb.status(n)
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
		return unmet("version %d is not in force everywhere within %s; last status: %s", version, limit, last)
	}
	tb.setMark("in-force")
	tb.watch.recordInForce(version)
	return nil
}

// raceCommand submits different patches of the same configuration version through
// several instances at once. It checks that exactly one is accepted and that every
// instance then has its result.
func (tb *testbed) raceCommand(instances []int) error {
	results := make([]patchResult, len(instances))
	var group sync.WaitGroup
	for i, n := range instances {
		group.Go(func() {
			patch := `{"teams":{"blue":{"burst":` + strconv.Itoa(firstRaceBurst+i) + `}}}`
			results[i] = tb.patch(n, tb.version, []byte(patch))
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
	tb.recordAccepted(results[winner].version)
	return tb.expectBurst(firstRaceBurst + winner)
}

// firstRaceBurst is the burst of team blue in the first patch of a race; each
// further patch adds 1.
const firstRaceBurst = 31

// expectBurst checks that every instance has the newest version with this burst of
// team blue.
func (tb *testbed) expectBurst(burst int) error {
	if err := tb.waitInForce(tb.version, inForceObjective); err != nil {
		return err
	}
	for n := range tb.fleet.Instances {
		c, err := tb.readConfig(n)
		if err != nil {
			return err
		}
		if c.Version != tb.version || c.Config.Teams["blue"].Burst != burst {
			return unmet("instance %d has version %d with burst %d, not version %d with burst %d",
				n+1, c.Version, c.Config.Teams["blue"].Burst, tb.version, burst)
		}
	}
	return nil
}

func (tb *testbed) readConfig(n int) (api.Document, error) {
	var d api.Document
	_, data, err := tb.callOperatorAPI(n, statusTimeout, http.MethodGet, api.ConfigPath, nil, nil)
	if err != nil {
		return d, err
	}
	return d, errors.WithStack(json.Unmarshal(data, &d))
}

// setGreenExpiry sets the expiry of the batch of team green to the given time from
// now and marks it as "expiry".
func (tb *testbed) setGreenExpiry(after time.Duration) error {
	expires := time.Now().Add(after).UTC().Truncate(time.Second)
	patch := map[string]any{"batches": map[string]any{"short": map[string]any{"expires": expires}}}
	if err := tb.applyConfig(patch); err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.marks["expiry"] = expires
	return nil
}
