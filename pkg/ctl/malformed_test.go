package ctl

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
)

// checkSyntaxError checks that an error is a CallError that says what was wrong with the answer.
func checkSyntaxError(t *testing.T, err error) *CallError {
	t.Helper()
	var call *CallError
	var syntax *http1.SyntaxError
	if !errors.As(err, &call) || !errors.As(err, &syntax) {
		t.Fatalf("%v", err)
	}
	return call
}

// Guards against a command that shows, or takes for the effect of a change, what an instance has
// answered in what is no HTTP; and against a change that is said not to have taken effect then.
func TestMalformedAnswersOfInstances(t *testing.T) {
	for name, text := range rawhttp.Malformed("", `{"version":8,"config_version":8}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.Start(text, false)
			is.NoErr(err)
			t.Cleanup(server.Close)
			c := newClient("http://"+server.Addr(), testToken, nil)
			var into map[string]any
			is.True(!checkSyntaxError(t, c.get("/status", nil, &into)).mayHaveChanged)
			is.Equal(len(into), 0)
			_, err = c.patch(7, "application/merge-patch+json", []byte("{}"))
			is.True(checkSyntaxError(t, err).mayHaveChanged)
			is.True(strings.Contains(err.Error(), "malformed response"))
			_, _, err = fetchDump(server.Addr())
			checkSyntaxError(t, err)
		})
	}
}

// Guards against a refusal in what is no HTTP that is shown as one of the instance.
func TestMalformedRefusal(t *testing.T) {
	is := is.New(t)
	server, err := rawhttp.Start("HTTP/1.1 409 Conflict\r\nX A: b\r\nContent-Length: 50\r\n\r\n"+
		`{"code":"stale_version","message":"m","applied":0}`, false)
	is.NoErr(err)
	t.Cleanup(server.Close)
	_, err = newClient("http://"+server.Addr(), testToken, nil).patch(7, "application/merge-patch+json", []byte("{}"))
	checkSyntaxError(t, err)
}
