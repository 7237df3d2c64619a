package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/platformsim"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// APIError is an error status from an admin or operator address.
type APIError struct {
	URL    string
	Status int
	Body   string
}

// Error names the address, the status and the answer.
func (e *APIError) Error() string { return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body) }

// CallError reports that a call to an admin or operator address failed without a
// usable answer.
type CallError struct {
	URL   string
	Cause error
}

// Error names the address and the cause.
func (e *CallError) Error() string { return e.URL + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

const apiTimeout = 15 * time.Second

var apiClient = &http.Client{Timeout: apiTimeout}

// call sends a JSON request with the operator token, and decodes the answer into
// into unless that is nil.
func call(method, url string, header map[string]string, body, into any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.WithStack(&CallError{URL: url, Cause: err})
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, payload)
	if err != nil {
		return errors.WithStack(&CallError{URL: url, Cause: err})
	}
	req.Header.Set(api.HeaderAuthorization, api.AuthorizationPrefix+fleet.OperatorToken)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := apiClient.Do(req)
	if err != nil {
		return errors.WithStack(&CallError{URL: url, Cause: err})
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(&CallError{URL: url, Cause: err})
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.WithStack(&APIError{URL: url, Status: resp.StatusCode, Body: string(data)})
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.WithStack(&CallError{URL: url, Cause: err})
	}
	return nil
}

// Operator is a client of the operator API of one instance.
type Operator struct{ Address string }

// Patch submits a merge patch against a version of the configuration and returns
// the new version.
func (o Operator) Patch(version int64, patch any) (int64, error) {
	var result api.PatchResult
	header := map[string]string{
		"If-Match":     strconv.Quote(strconv.FormatInt(version, 10)),
		"Content-Type": config.MergePatchType,
	}
	err := call(http.MethodPatch, "http://"+o.Address+api.ConfigPath, header, patch, &result)
	return result.Version, err
}

// Status returns the status of the instance.
func (o Operator) Status() (api.Status, error) {
	var s api.Status
	err := call(http.MethodGet, "http://"+o.Address+api.StatusPath, nil, nil, &s)
	return s, err
}

// Dump decodes the instance's dump of its internal state into into.
func (o Operator) Dump(into any) error {
	return call(http.MethodGet, "http://"+o.Address+api.DumpPath, nil, nil, into)
}

// Members returns the membership as the instance sees it.
func (o Operator) Members() (api.MemberList, error) {
	var m api.MemberList
	err := call(http.MethodGet, "http://"+o.Address+api.MembershipPath, nil, nil, &m)
	return m, err
}

// SetTargetFaults sets the given fields of a simulated target's faults and keeps
// the others.
func SetTargetFaults(t *fleet.Target, faults map[string]any) error {
	return call(http.MethodPost, "http://"+t.Admin+"/admin/faults", nil, faults, nil)
}

// SetPlatformFaults sets the given fields of the simulated platform's faults and
// keeps the others.
func SetPlatformFaults(f *fleet.Fleet, faults map[string]any) error {
	return call(http.MethodPost, "http://"+f.PlatformAdminAddress()+"/admin/faults", nil, faults, nil)
}

// CopyPlatform makes the platform keep a copy of its table and objects.
func CopyPlatform(f *fleet.Fleet) error {
	return call(http.MethodPost, "http://"+f.PlatformAdminAddress()+"/admin/copy", nil, nil, nil)
}

// RestorePlatform makes the platform go back to the copy that it made last, with the objects
// if these are lost as well.
func RestorePlatform(f *fleet.Fleet, objects bool) error {
	return call(http.MethodPost, "http://"+f.PlatformAdminAddress()+"/admin/restore", nil, platformsim.RestoreRequest{Objects: objects}, nil)
}
