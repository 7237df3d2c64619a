package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

const testToken = "test-token"

// fakeFleet is an operator.Coordinator over one document in memory. It records
// every request that reached it.
type fakeFleet struct {
	mu         sync.Mutex
	version    int64
	config     *config.Config
	fail       error
	state      api.State
	received   bytes.Buffer
	patchCalls int
	members    api.MemberList
}

func (f *fakeFleet) Current(context.Context) (int64, *config.Config, error) {
	return f.version, f.config, nil
}

func (f *fakeFleet) Propose(_ context.Context, p operator.Proposal) (int64, error) {
	f.patchCalls++
	if f.fail != nil {
		return 0, f.fail
	}
	if p.Expected != f.version {
		return 0, errors.WithStack(&operator.StaleVersionError{Expected: p.Expected, Current: f.version})
	}
	next, err := f.config.Apply(p.MediaType, p.Patch)
	if err == nil {
		f.config, f.version = next, f.version+1
	}
	return f.version, err
}

func (f *fakeFleet) History(context.Context, int64) ([]api.Change, error) {
	return []api.Change{{Version: f.version, Author: "ann", Differences: []string{"+ $.x 1"}}}, nil
}

func (f *fakeFleet) Status() api.Status {
	return api.Status{Instance: "entry-1", ConfigVersion: f.version, ConfigState: f.state, EvacuatedZones: f.config.Evacuated()}
}
func (f *fakeFleet) Members() api.MemberList { return f.members }
func (f *fakeFleet) Dump() any               { return map[string]int{"goroutines": 1} }
func (f *fakeFleet) Replace(context.Context, []string) error {
	return f.fail
}

// serveAPI starts the operator API with f as its coordinator and returns its URL.
func serveAPI(t *testing.T, f *fakeFleet) string {
	is := is.New(t)
	log := zerolog.Nop()
	digest := sha256.Sum256([]byte(testToken))
	api := operator.New(f, f, nil, map[string]string{"ann": hex.EncodeToString(digest[:])}, &log)
	return serveHandler(is, t, func(ctx *fasthttp.RequestCtx) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.received.Write(ctx.Request.Header.Header())
		f.received.Write(ctx.Request.Body())
		api.Handle(ctx)
	})
}

func serveHandler(is *is.I, t *testing.T, handler fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return "http://" + listener.Addr().String()
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{version: 3, config: config.Empty(), state: api.InForce}
	next, err := f.config.Apply(config.MergePatchType, []byte(`{"batches":{"spring":{"share":1,"expires":"2027-03-31T22:00:00Z"}},
		"teams":{"school":{"batch":"spring","rate_per_second":5,"burst":2}}}`))
	if err != nil {
		panic(err)
	}
	f.config = next
	return f
}

func run(t *testing.T, url string, args ...string) (code int, stdout, stderr string) {
	t.Setenv("ARBUTUS_TOKEN", testToken)
	t.Setenv("ARBUTUS_SERVER", url)
	var out, errOut bytes.Buffer
	code = Run(args, &out, &errOut, nil)
	return code, out.String(), errOut.String()
}

// Guards against a failure that exits with the code of another kind of failure.
func TestExitCodes(t *testing.T) {
	set := []string{"team", "set", "--id", "school", "--batch", "spring", "--rate", "9", "--burst", "2"}
	lost := &operator.UnavailableError{OutcomeUnknown: true, Cause: errors.New("timeout")}
	cases := []struct {
		name string
		args []string
		fail error
		code int
	}{
		{"status", []string{"status"}, nil, ExitOK},
		{"help", []string{"--help"}, nil, ExitOK},
		{"version", []string{"--version"}, nil, ExitOK},
		{"accepted", append(set, "--version", "3"), nil, ExitOK},
		{"in force", append(set, "--version", "3", "--wait"), nil, ExitOK},
		{"invalid", []string{"team", "set", "--version", "3", "--id", "x", "--batch", "none", "--rate", "1", "--burst", "1"}, nil, ExitFailed},
		{"platform away", append(set, "--version", "3"), &operator.UnavailableError{Cause: errors.New("timeout")}, ExitFailed},
		{"unknown command", []string{"polish"}, nil, ExitUsage},
		{"missing flag", []string{"team", "set", "--id", "school"}, nil, ExitUsage},
		{"merge and json", []string{"patch", "--version", "3", "--merge", "a", "--json", "b"}, nil, ExitUsage},
		{"no such file", []string{"patch", "--version", "3", "--merge", "/nonexistent"}, nil, ExitUsage},
		{"ca file", []string{"--ca-file", "/nonexistent", "status"}, nil, ExitUsage},
		{"stale", append(set, "--version", "2"), nil, ExitStale},
		{"stale dry run", append(set, "--version", "2", "--dry-run"), nil, ExitStale},
		{"answer lost", append(set, "--version", "3"), lost, ExitUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet()
			f.fail = tc.fail
			code, _, stderr := run(t, serveAPI(t, f), tc.args...)
			is.Equal(code, tc.code) // the exit code differs
			is.Equal(stderr != "", tc.code != ExitOK)
		})
	}
}

// Guards against a stale patch on an empty configuration that exits like any
// other failure, because its current version is 0.
func TestStaleAgainstVersionZero(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{config: config.Empty()}
	code, _, _ := run(t, serveAPI(t, f), "key", "withdraw", "--version", "4", "--id", "k")
	is.Equal(code, ExitStale)
}

// Guards against the refusal of a wrong or missing token being printed as an
// ordinary answer.
func TestTokens(t *testing.T) {
	is := is.New(t)
	url := serveAPI(t, newFakeFleet())
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("wrong\n"), 0o600))
	for _, command := range []string{"status", "dump"} {
		code, _, stderr := run(t, url, "--token-file", file, command)
		is.Equal(code, ExitFailed)
		is.True(strings.Contains(stderr, "token is missing or wrong"))
	}
	is.NoErr(os.WriteFile(file, []byte(testToken+"\n"), 0o600))
	code, _, _ := run(t, url, "--token-file", file, "status")
	is.Equal(code, ExitOK)
}

// Guards against changes with an unknown outcome being reported as refused. That
// happens when the connection closes before the answer or when an intermediary
// answers. Also guards against fasthttp sending such a patch twice.
func TestLostAnswerIsUnknown(t *testing.T) {
	for name, handler := range map[string]func(*fasthttp.RequestCtx){
		"closed":      func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) },
		"bad gateway": func(ctx *fasthttp.RequestCtx) { ctx.Error("<html>", fasthttp.StatusBadGateway) },
		"not JSON":    func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("<html>") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			url := serveHandler(is, t, func(ctx *fasthttp.RequestCtx) { calls.Add(1); handler(ctx) })
			code, stdout, _ := run(t, url, "key", "issue", "--version", "3", "--id", "k1", "--team", "school")
			is.Equal(code, ExitUnknown)
			is.Equal(calls.Load(), int64(1))
			is.Equal(strings.Count(stdout, "al_k1."), 1) // the key may be in force, so it is shown
		})
	}
}

// Guards against a dry run that changes something or hides a difference.
func TestDryRun(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	code, stdout, _ := run(t, serveAPI(t, f), "team", "set", "--version", "3", "--dry-run",
		"--id", "school", "--batch", "spring", "--rate", "9", "--burst", "2")
	is.Equal(code, ExitOK)
	is.Equal(stdout, "~ $.teams.school.rate_per_second 5 -> 9\n")
	is.Equal(f.patchCalls, 0)
	is.Equal(f.version, int64(3))
}

// Guards against a key that is sent to the fleet, printed twice or not at all,
// and against a stored digest that is not the digest of the key.
func TestKeyIssue(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	url := serveAPI(t, f)
	code, stdout, stderr := run(t, url, "--output", "json", "key", "issue", "--version", "3", "--id", "k1", "--team", "school")
	is.Equal(code, ExitOK)
	is.Equal(stderr, "")
	var issued struct {
		Version int64  `json:"version"`
		Key     string `json:"key"`
	}
	is.NoErr(json.Unmarshal([]byte(stdout), &issued)) // one JSON document
	is.Equal(issued.Version, int64(4))
	is.Equal(strings.Count(stdout, issued.Key), 1)
	is.True(strings.HasPrefix(issued.Key, "al_k1."))
	_, secret, _ := strings.Cut(issued.Key, ".")
	is.True(!strings.Contains(f.received.String(), secret))
	digest := sha256.Sum256([]byte(issued.Key))
	is.Equal(f.config.Keys["k1"].SHA256, hex.EncodeToString(digest[:]))

	code, stdout, _ = run(t, url, "key", "issue", "--version", "3", "--id", "k2", "--team", "school")
	is.Equal(code, ExitStale)
	is.Equal(stdout, "") // a refused key must not be printed
}

// Guards against commands whose JSON output is not one document.
func TestJSONOutput(t *testing.T) {
	f := newFakeFleet()
	url := serveAPI(t, f)
	for _, args := range [][]string{
		{"config"},
		{"status"},
		{"members"},
		{"history"},
		{"dump"},
		{"batch", "remove", "--version", "3", "--id", "other"},
		{"key", "withdraw", "--version", "4", "--id", "k", "--dry-run"},
	} {
		is := is.New(t)
		code, stdout, _ := run(t, url, append([]string{"--output", "json"}, args...)...)
		is.Equal(code, ExitOK)
		is.True(json.Valid([]byte(stdout)))
	}
}

// Guards against log files that explain does not read, or that run into one another.
func TestExplainReadsAllFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(dir+"/a.log", []byte(`{"event":300,"name":"config_applied","instance":"e1","version":7,"from":"store","time":"2026-12-05T10:00:00Z"}`), 0o600))
	is.NoErr(os.WriteFile(dir+"/b.log", []byte(`{"event":602,"instance":"e1","request_id":"r1","status":200,"config_version":7,"time":"2026-12-05T10:00:05Z"}`), 0o600))
	var stdout, stderr strings.Builder
	is.Equal(Run([]string{"explain", "r1", "--logs", dir}, &stdout, &stderr, nil), ExitOK)
	is.True(strings.Contains(stdout.String(), "Configuration 7 decided; the instance applied it 5s before, from store."))
	is.Equal(Run([]string{"explain", "r2", "--logs", dir}, &stdout, &stderr, nil), ExitFailed)
	is.True(strings.Contains(stderr.String(), `no line of request "r2" among 2 log lines`))
	is.Equal(Run([]string{"explain", "r1", "--logs", dir + "/missing"}, &stdout, &stderr, nil), ExitUsage)
}
