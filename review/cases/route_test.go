//go:build review

package cases

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const manifestPrefix = "/trips/manifest/"

// TestForeignService adds a route that is nested in another one. Requests of the outer route must
// go on running at its service.
func TestForeignService(t *testing.T) {
	runCase(t, "requests run by a foreign service", func(l *lab) int {
		l.configure(1, l.readDocument("config.json"))
		targets := []*target{
			l.addTarget("i-1", "booking", "z1", 4), l.addTarget("i-2", "booking", "z1", 4), l.addTarget("i-3", "manifest", "z1", 4),
		}
		i := l.addInstance("e1", "z1")
		l.addInstance("e2", "z1")
		l.awaitReady()
		send := func(phase string) {
			for n := range 5 {
				for _, path := range []string{"/trips/7", "/trips/manifest", "/trips//manifest/7", manifestPrefix + "7"} {
					id := fmt.Sprintf("%s-%d:%s", phase, n, path)
					l.send(i.caller, id, request(http.MethodPost, path, id, "key-of-guests-1", 3*time.Second, "", "seat"), 3*time.Second)
				}
			}
		}
		send("before")
		if troubled() {
			l.configure(3, l.readDocument("config-with-route.json"))
		}
		time.Sleep(3 * time.Second)
		send("after")
		breaks := 0
		for _, r := range allRuns(targets...) {
			if r.service == "manifest" && !strings.HasPrefix(r.path, manifestPrefix) {
				breaks++
				l.line("ROUTE: %s of service %q ran %s, but only paths that begin with %s may go there", r.target, r.service, r.path, manifestPrefix)
			}
		}
		return breaks
	})
}
