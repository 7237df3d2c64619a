package s3

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// Guards against an object, or a write that took effect, that the store has not sent, but what is
// no HTTP.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range rawhttp.Malformed("", "object") {
		if name == "two lengths" || name == "blank after the size" {
			continue // net/http decides on the framing; see http1.Client
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.Start(text, false)
			is.NoErr(err)
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			t.Cleanup(cancel)
			store := New(Options{Endpoint: "http://" + server.Addr(), Region: "local", Bucket: "b", AccessKeyID: "id", SecretAccessKey: "secret"})
			_, err = store.Get(ctx, "object")
			var unavailable *platform.UnavailableError
			var syntax *http1.SyntaxError
			is.True(errors.As(err, &unavailable))
			is.True(errors.As(err, &syntax))
			if name != "blank in a trailer" { // the answer to a write has no body that is read
				is.True(errors.As(store.Put(ctx, "object", []byte("data")), &syntax))
			}
		})
	}
}
