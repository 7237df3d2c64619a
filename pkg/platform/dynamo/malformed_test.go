package dynamo

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

// Guards against a missing row, or a write that took effect, that the table has not sent, but what
// is no HTTP.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range rawhttp.Malformed("", "{}") {
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
			table := New(Options{Endpoint: "http://" + server.Addr(), Region: "local", Table: "t", AccessKeyID: "id", SecretAccessKey: "secret"})
			_, getErr := table.Get(ctx, "row")
			for _, err := range []error{getErr, table.Put(ctx, "row", platform.Item{}, platform.Condition{})} {
				var unavailable *platform.UnavailableError
				var syntax *http1.SyntaxError
				is.True(errors.As(err, &unavailable))
				is.True(errors.As(err, &syntax))
			}
		})
	}
}
