package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

const token = "correct-token"

// fakeCoordinator applies patches to one document in memory. Calls that can fail
// return the error fail.
type fakeCoordinator struct {
	version  int64
	config   *config.Config
	fail     error
	proposed []Proposal
	gone     []string
}

func (f *fakeCoordinator) Current(context.Context) (int64, *config.Config, error) {
	return f.version, f.config, f.fail
}

func (f *fakeCoordinator) Propose(_ context.Context, p Proposal) (int64, error) {
	f.proposed = append(f.proposed, p)
	if f.fail != nil {
		return 0, f.fail
	}
	if p.Expected != f.version {
		return 0, errors.WithStack(&StaleVersionError{Expected: p.Expected, Current: f.version})
	}
	next, err := f.config.Apply(p.MediaType, p.Patch)
	if err != nil {
		return 0, err
	}
	f.config = next
	f.version++
	return f.version, nil
}

func (f *fakeCoordinator) History(_ context.Context, since int64) ([]api.Change, error) {
	changes := []api.Change{}
	for v := f.version; v > since; v-- {
		changes = append(changes, api.Change{Version: v, Author: "ann"})
	}
	return changes, f.fail
}

func (f *fakeCoordinator) Status() api.Status      { return api.Status{ConfigVersion: f.version} }
func (f *fakeCoordinator) Members() api.MemberList { return api.MemberList{Version: 4} }
func (f *fakeCoordinator) Dump() any               { return map[string]int{"goroutines": 1} }
func (f *fakeCoordinator) Replace(_ context.Context, gone []string) error {
	f.gone = gone
	return f.fail
}

type request struct{ method, path, ifMatch, contentType, body, token string }

type testServer struct {
	*fakeCoordinator
	server *Server
	log    bytes.Buffer
}

func newTestServer() *testServer {
	h := &testServer{fakeCoordinator: &fakeCoordinator{version: 7, config: config.Empty()}}
	digest := sha256.Sum256([]byte(token))
	log := zerolog.New(&h.log).Level(zerolog.DebugLevel)
	metrics := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("metrics") }
	h.server = New(h.fakeCoordinator, h.fakeCoordinator, metrics, map[string]string{"ann": strings.ToUpper(hex.EncodeToString(digest[:]))}, &log)
	return h
}

func (h *testServer) do(r request) (*fasthttp.Response, api.Failure) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://entry" + r.path)
	if r.token != "" {
		req.Header.Set(api.HeaderAuthorization, r.token)
	}
	if r.ifMatch != "" {
		req.Header.Set(fasthttp.HeaderIfMatch, r.ifMatch)
	}
	req.Header.SetContentType(r.contentType)
	req.SetBodyString(r.body)
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(req, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, nil)
	h.server.Handle(ctx)
	var f api.Failure
	_ = json.Unmarshal(ctx.Response.Body(), &f)
	return &ctx.Response, f
}

func patchRequest(ifMatch, contentType, body string) request {
	return request{fasthttp.MethodPatch, api.ConfigPath, ifMatch, contentType, body, api.AuthorizationPrefix + token}
}

const validPatch = `{"batches":{"spring":{"share":1,"expires":"2027-03-31T22:00:00Z"}}}`

// Guards against refusals with a wrong status or code, and against those that do
// not say whether the change took effect.
func TestFailures(t *testing.T) {
	bearer := api.AuthorizationPrefix + token
	cases := []struct {
		name    string
		request request
		fail    error
		status  int
		code    string
		applied string
	}{
		{"no token", request{method: "GET", path: api.StatusPath}, nil, 401, api.CodeUnauthorized, ""},
		{"wrong token", request{method: "GET", path: api.StatusPath, token: api.AuthorizationPrefix + "other"}, nil, 401, api.CodeUnauthorized, ""},
		{"no prefix", request{method: "GET", path: api.StatusPath, token: token}, nil, 401, api.CodeUnauthorized, ""},
		{"unknown path", request{method: "GET", path: "/v2", token: bearer}, nil, 404, api.CodeNotFound, ""},
		{"wrong method", request{method: "DELETE", path: api.ConfigPath, token: bearer}, nil, 405, api.CodeMethodNotAllowed, ""},
		{"since", request{method: "GET", path: api.HistoryPath + "?since=x", token: bearer}, nil, 400, api.CodeRequestInvalid, api.AppliedNo},
		{"no If-Match", patchRequest("", config.MergePatchType, validPatch), nil, 428, api.CodeVersionMissing, api.AppliedNo},
		{"If-Match *", patchRequest("*", config.MergePatchType, validPatch), nil, 428, api.CodeVersionMissing, api.AppliedNo},
		{"media type", patchRequest(`"7"`, api.ContentTypeJSON, validPatch), nil, 415, api.CodeMediaTypeUnsupported, api.AppliedNo},
		{"malformed", patchRequest(`"7"`, config.MergePatchType, `{`), nil, 422, api.CodePatchInvalid, api.AppliedNo},
		{"JSON patch", patchRequest(`"7"`, config.JSONPatchType, `[{"op":"remove","path":"/teams/x"}]`), nil, 422, api.CodePatchInvalid, api.AppliedNo},
		{"pending", patchRequest(`"7"`, config.MergePatchType, validPatch), &PendingError{}, 409, api.CodePreviousPending, api.AppliedNo},
		{"platform away", patchRequest(`"7"`, config.MergePatchType, validPatch), &UnavailableError{Cause: errors.New("timeout")}, 503, api.CodePlatformUnavailable, api.AppliedNo},
		{"answer lost", patchRequest(`"7"`, config.MergePatchType, validPatch), &UnavailableError{OutcomeUnknown: true, Cause: errors.New("timeout")}, 503, api.CodePlatformUnavailable, api.AppliedUnknown},
		{"fault", patchRequest(`"7"`, config.MergePatchType, validPatch), errors.New("fault"), 500, api.CodeInternal, api.AppliedUnknown},
		{"replace", request{"POST", api.ReplacePath, "", "", `{"gone":["x"]}`, bearer}, &ReplaceError{Reason: "alive"}, 409, api.CodeReplacementRefused, api.AppliedNo},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newTestServer()
			h.fail = tc.fail
			resp, failure := h.do(tc.request)
			is.Equal(resp.StatusCode(), tc.status)
			is.Equal(failure.Code, tc.code)
			is.Equal(failure.Applied, tc.applied)
			is.True(failure.Message != "")
			is.Equal(h.version, int64(7))
			is.Equal(len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0, tc.status == 503)
			is.Equal(len(resp.Header.Peek(api.HeaderAllow)) > 0, tc.status == 405)
		})
	}
}

// Guards against a stale patch that is merged, or refused without a list of the
// changes since its version.
func TestStalePatchCarriesTheHistory(t *testing.T) {
	is := is.New(t)
	h := newTestServer()
	resp, failure := h.do(patchRequest(`"5"`, config.MergePatchType, validPatch))
	is.Equal(resp.StatusCode(), 412)
	is.Equal(failure.Code, api.CodeStaleVersion)
	is.Equal(failure.Current, int64(7))
	is.Equal(len(failure.Changes), 2)
	is.Equal(failure.Changes[0].Version, int64(7))
	is.Equal(len(h.config.Batches), 0)
}

// Guards against an invalid value reported without its path or the allowed values.
func TestInvalidPatchNamesTheFields(t *testing.T) {
	is := is.New(t)
	h := newTestServer()
	_, failure := h.do(patchRequest(`"7"`, config.MergePatchType, `{"teams":{"school":{"batch":"none","burst":0}}}`))
	is.Equal(failure.Fields, []api.InvalidField{
		{Path: "$.teams.school.batch", Value: `"none"`, Allowed: "the id of a batch"},
		{Path: "$.teams.school.burst", Value: "0", Allowed: "1 to 1000000"},
	})
}

// Guards against logging or sending back a caller key or operator token that an
// operator put in the wrong place of a patch.
func TestMisplacedSecretIsNotRepeated(t *testing.T) {
	key, _ := config.GenerateKey("k1", "school")
	for _, body := range []string{
		`{"keys":{"k1":"` + key + `"}}`, `{"keys":{"k1":{"team":"` + key + `"}}}`, `{"keys":{"` + key + `":{}}}`, `{"` + key + `":1}`,
		`{"` + token + `":1}`,
	} {
		is := is.New(t)
		h := newTestServer()
		resp, _ := h.do(patchRequest(`"7"`, config.MergePatchType, body))
		is.Equal(resp.StatusCode(), 422)
		is.True(!strings.Contains(string(resp.Body()), key))
		is.True(!strings.Contains(h.log.String(), key))
		is.True(!strings.Contains(string(resp.Body())+h.log.String(), token))
	}
}

// Guards against an accepted patch whose author, version or state is lost, and
// against refusing a Content-Type with parameters.
func TestAcceptedPatch(t *testing.T) {
	is := is.New(t)
	h := newTestServer()
	resp, _ := h.do(patchRequest(`"7"`, config.MergePatchType+"; charset=utf-8", validPatch))
	is.Equal(resp.StatusCode(), 202)
	is.Equal(string(resp.Header.Peek(fasthttp.HeaderETag)), `"8"`)
	is.Equal(h.proposed[0].Author, "ann")
	var result api.PatchResult
	is.NoErr(json.Unmarshal(resp.Body(), &result))
	is.Equal(result, api.PatchResult{Version: 8, State: api.Accepted})
}
