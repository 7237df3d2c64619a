package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// withdrawnAttempt is an attempt whose target has gone out of use.
type withdrawnAttempt struct{ proxy.Attempt }

func (withdrawnAttempt) Withdrawn() bool { return true }

// Guards against a counted attempt that hides that its target was withdrawn.
func TestCountedAttemptIsWithdrawn(t *testing.T) {
	is.New(t).True(proxy.IsWithdrawn(&countingAttempt{Attempt: withdrawnAttempt{}}))
}

// Guards against an order that the assembled instance does not obey or does not report, and
// against one for an unknown zone that is accepted.
func TestEvacuation(t *testing.T) {
	f := start(t, nil)
	key, stored := config.GenerateKey("k1", "school")
	f.patch("0", f.configDocument(map[string]config.Key{"k1": stored}))
	preview := func() (int, string) {
		return f.send(http.MethodGet, f.settings.CallerAddress, "/preview/1", "", map[string]string{"X-Arbutus-Key": key})
	}
	f.waitUntil(func() bool { status, _ := preview(); return status == http.StatusOK })
	status, body := f.sendOperator(http.MethodPatch, api.ConfigPath, `{"evacuated_zones":{"z":{}}}`,
		map[string]string{"If-Match": "1", "Content-Type": config.MergePatchType})
	f.is.Equal(status, http.StatusUnprocessableEntity)
	f.is.True(strings.Contains(body, "$.evacuated_zones.z"))

	f.patch("1", map[string]any{"evacuated_zones": map[string]any{"a": map[string]any{}}})
	status, body = preview()
	f.is.Equal(status, http.StatusServiceUnavailable)
	f.is.True(strings.Contains(body, "no_target"))
	_, body = f.sendOperator(http.MethodGet, api.StatusPath, "", nil)
	f.is.True(strings.Contains(body, `"evacuated_zones":["a"]`))
	f.is.True(f.log.Contains(`"name":"zone_evacuated"`))

	f.patch("2", map[string]any{"evacuated_zones": map[string]any{"a": nil}})
	f.waitUntil(func() bool { status, _ := preview(); return status == http.StatusOK })
	f.is.True(f.log.Contains(`"name":"zone_restored"`))
}
