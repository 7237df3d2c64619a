package entry

import (
	"net/http"
	"testing"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// Guards against callers keeping idle connections open until the instance closes
// them: a request sent while its connection is being closed gets no response.
// Scenario g8-graceful-stop lost a request this way.
func TestDrainAsksCallersToLeave(t *testing.T) {
	f := start(t, func(s *settings.Entry) {
		s.Timings.DirectoryLifetimeMS, s.Timings.ShutdownTimeoutMS = 1000, 3000
	})
	key, stored := config.GenerateKey("k", "school")
	f.patch("0", f.configDocument(map[string]config.Key{"k": stored}))
	closing := func() bool {
		request, err := http.NewRequest(http.MethodGet, f.scheme+f.settings.CallerAddress+"/preview/1", nil)
		f.is.NoErr(err)
		request.Header.Set("X-Arbutus-Key", key)
		response, err := f.client.Do(request)
		f.is.NoErr(err)
		defer func() { f.is.NoErr(response.Body.Close()) }()
		return response.Close
	}
	f.is.True(!closing())
	f.stop()
	f.waitUntil(func() bool { return f.log.Contains("draining") })
	f.is.True(closing()) // well before the directory lifetime has passed
}
