package platformsim_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/dynamo"
	"github.com/arbutuslink/arbutuslink/pkg/platform/s3"
)

// Guards against a row that is missing, an object that is read or a write that took effect by what
// the table or the object store has answered in what is no HTTP.
func TestMalformedAnswersAreUnavailable(t *testing.T) {
	for call, send := range map[string]func(ctx context.Context, endpoint string) error{
		"get row": func(ctx context.Context, endpoint string) error {
			_, err := tableAt(endpoint).Get(ctx, "row")
			return err
		},
		"put row": func(ctx context.Context, endpoint string) error {
			return tableAt(endpoint).Put(ctx, "row", platform.Item{}, platform.Condition{})
		},
		"get object": func(ctx context.Context, endpoint string) error {
			_, err := objectsAt(endpoint).Get(ctx, "object")
			return err
		},
		"put object": func(ctx context.Context, endpoint string) error {
			return objectsAt(endpoint).Put(ctx, "object", []byte("data"))
		},
	} {
		for name, text := range rawhttp.Malformed("", "{}") {
			if rawhttp.ReadByNetHTTP[name] || (call == "put object" && name == "blank in a trailer") {
				continue // the body of the answer to a new object, and what follows it, is not read
			}
			t.Run(call+"/"+name, func(t *testing.T) {
				server, err := rawhttp.Start(text, false)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				t.Cleanup(cancel)
				err = send(ctx, "http://"+server.Addr())
				var unavailable *platform.UnavailableError
				var syntax *http1.SyntaxError
				if !errors.As(err, &unavailable) || !errors.As(err, &syntax) {
					t.Errorf("%v", err)
				}
			})
		}
	}
}

func tableAt(endpoint string) *dynamo.Table {
	return dynamo.New(dynamo.Options{Endpoint: endpoint, Region: "local", Table: "t", AccessKeyID: "id", SecretAccessKey: "secret"})
}

func objectsAt(endpoint string) *s3.Store {
	return s3.New(s3.Options{Endpoint: endpoint, Region: "local", Bucket: "b", AccessKeyID: "id", SecretAccessKey: "secret"})
}
