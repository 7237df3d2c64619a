package proxy

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Guards against a non-idempotent request that is repeated after a lost response because its
// path, once normalised, belongs to a nested idempotent route.
func TestPathOfNestedRouteIsNotRepeated(t *testing.T) {
	literal, normalising := testDialect(), testDialect()
	normalising.LiteralPaths = false
	cases := map[string]struct{ literal, normalising int64 }{
		"/orders/quote":        {1, 1},
		"/orders//quote/1":     {1, 0},
		"/orders/%71uote/1":    {1, 0},
		"/orders/quote%2F1":    {1, 0},
		"/orders/new?/quote/1": {1, 1},
		"/orders/quote/1":      {2, 2},
		"/orders/quote//1":     {2, 2},
	}
	for path, want := range cases {
		for name, tc := range map[string]struct {
			dialect *Dialect
			want    int64
		}{"literal": {literal, want.literal}, "normalising": {normalising, want.normalising}} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				losing := newTarget(t, func(net.Conn, *http.Request, int) bool { return false })
				address := losing.ln.Addr().String()
				r := newTestProxy(t, Options{Dialect: tc.dialect}, address, address)
				r.publish(func(c *config.Config) {
					c.Routes = map[string]config.Route{
						"orders": {PathPrefix: "/orders/", Service: "s", OpenToAll: true, TimeoutMS: 600, MaxAttempts: 2},
						"quotes": {PathPrefix: "/orders/quote/", Service: "s", OpenToAll: true, Idempotent: true, TimeoutMS: 600, MaxAttempts: 2},
					}
				})
				response, _ := r.dial(t).send("POST", path, "x", r.keyLine())
				is.Equal(losing.requestCount.Load(), tc.want)
				if tc.want == 0 {
					is.Equal(response.StatusCode, http.StatusBadRequest)
				}
			})
		}
	}
}
