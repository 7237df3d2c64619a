//go:build review

package cases

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestForeignTenant sends requests of one tenant that carry the tenant header themselves, once
// or twice, with the name of another tenant.
func TestForeignTenant(t *testing.T) {
	runCase(t, "requests in the name of another tenant", func(l *lab) int {
		l.configure(1, l.readDocument("config.json"))
		targets := []*target{l.addTarget("i-1", "booking", "z1", 4), l.addTarget("i-2", "booking", "z1", 4)}
		i := l.addInstance("e1", "z1")
		l.addInstance("e2", "z1")
		l.awaitReady()
		const line = "Arbutuslink-Tenant: resellers\r\n"
		sent := []string{"", line, line + line}
		for n, extra := range sent {
			if !troubled() {
				extra = ""
			}
			for k := range 5 {
				id := fmt.Sprintf("hold-%d-%d", n, k)
				l.send(i.caller, id, request(http.MethodPost, "/hold/1", id, "key-of-guests-1", 6*time.Second, extra, "seat"), 6*time.Second)
			}
		}
		breaks := 0
		for _, r := range allRuns(targets...) {
			if got := r.header["Arbutuslink-Tenant"]; !slices.Equal(got, []string{"guests"}) {
				breaks++
				l.line("UNASKED: target %s ran %s, sent with the key of \"guests\", with the tenant header %q", r.target, r.id, got)
			}
		}
		return breaks
	})
}
