package instancelist

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// Guards against an empty list that the platform has not sent, but what is no HTTP.
func TestMalformedListIsAnError(t *testing.T) {
	for name, text := range rawhttp.Malformed("", "[]") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.Start(text, false)
			is.NoErr(err)
			t.Cleanup(server.Close)
			list := New(Options{URL: "http://" + server.Addr() + "/"})
			_, err = list.List(t.Context())
			var unavailable *platform.UnavailableError
			var syntax *http1.SyntaxError
			is.True(errors.As(err, &unavailable))
			is.True(errors.As(err, &syntax)) // it names what is wrong
			server.SetAnswer("HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\n[]")
			listed, err := list.List(t.Context())
			is.NoErr(err)
			is.Equal(len(listed), 0)
		})
	}
}
