package config

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a route whose prefix does not begin the path: the request would run at
// another service, or be repeated as one of an idempotent route.
func TestMatchNeedsThePrefixToBeginThePath(t *testing.T) {
	c := Empty()
	for _, prefix := range []string{"/orders/", "/orders/quote/", "/items", "/items/", "/a//b/"} {
		c.Routes[prefix] = Route{PathPrefix: prefix, Service: "s", OpenToAll: true, TimeoutMS: 1, MaxAttempts: 1}
	}
	s := NewSnapshot(1, c)
	for path, want := range map[string]string{
		"/orders/quote/":        "/orders/quote/",
		"/orders/quote/7":       "/orders/quote/",
		"/orders/quote//7":      "/orders/quote/",
		"/orders/quote":         "/orders/",
		"/orders//quote/7":      "/orders/",
		"/orders/%71uote/7":     "/orders/",
		"/orders/quote%2f7":     "/orders/",
		"/orders/quotes/":       "/orders/",
		"/orders":               "",
		"//orders/":             "",
		"/ORDERS/":              "",
		"/":                     "",
		"/items":                "/items",
		"/items/":               "/items/",
		"/items/7":              "/items/",
		"/items2":               "",
		"/a//b/c":               "/a//b/",
		"/a/b/c":                "",
		"/orders/quote/../../x": "/orders/quote/",
	} {
		t.Run(path, func(t *testing.T) {
			match, _ := s.Match("h", "GET", path)
			is.New(t).Equal(match.ID, want)
		})
	}
}
