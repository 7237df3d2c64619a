package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// minimalJSON has the required settings only and lacks the closing brace, so that
// tests can append more.
const minimalJSON = `{"instance":"entry-1","availability_zone":"a","caller_address":"127.0.0.1:8001",
 "operator_address":"127.0.0.1:8002","peer_address":"127.0.0.1:8003",
 "platform":{"table_endpoint":"http://127.0.0.1:9000","object_endpoint":"http://127.0.0.1:9001","list_url":"http://127.0.0.1:9002/instances"}`

// Guards against settings without optional fields being rejected.
func TestParseEntryAppliesDefaults(t *testing.T) {
	is := is.New(t)
	e, err := ParseEntry([]byte(minimalJSON + `,"timings":{"fence_ms":3000}}`))
	is.NoErr(err)
	is.Equal(e.Timings.FenceMS, 3000)
	is.Equal(e.Timings.RemoveAfterMS, 3000)
}

// Guards against a process starting with an invalid setting.
func TestParseEntryNamesWrongValues(t *testing.T) {
	cases := []struct{ extra, path string }{
		{`,"timings":{"fence_ms":50}}`, "$.timings.fence_ms"},
		{`,"timings":{"remove_after_ms":100}}`, "$.timings.remove_after_ms"},
		{`,"log_level":"loud"}`, "$.log_level"},
		{`,"operator_tokens_sha256":{"ann":"12"}}`, "$.operator_tokens_sha256.ann"},
		{`,"caller_tls":{"certificate_file":"c.pem"}}`, "$.caller_tls.key_file"},
		{`,"seed_peers":["host:1"]}`, "$.seed_peers[0]"},
		{`,"zone":"a"}`, "$.zone"},
		{`,"log_level":"disabled"}`, "$.log_level"},
		{`,"caller_address":"0.0.0.0:8001"}`, "$.caller_address"},
		{`,"operator_address":"127.0.0.1:0"}`, "$.operator_address"},
		{`,"peer_address":"[::]:8003"}`, "$.peer_address"},
	}
	for _, tc := range cases {
		t.Run(tc.path, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseEntry([]byte(minimalJSON + tc.extra))
			var invalid *document.InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Fields[0].Path, tc.path)
		})
	}
}
