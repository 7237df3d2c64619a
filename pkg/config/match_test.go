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

// Guards against a request that is refused, or gets the route of another host, because of the way
// in which the caller writes the host: RFC 9110 (4.2.3) compares it without regard to case, and
// callers name a port that is not the default one.
func TestMatchFindsTheHost(t *testing.T) {
	c := Empty()
	for id, host := range map[string]string{"shop": "shop.example", "desk": "desk.example", "port": "desk.example:8443", "v6": "[::1]", "any": ""} {
		prefix := "/orders/"
		if host == "" {
			prefix = "/any/"
		}
		c.Routes[id] = Route{Host: host, PathPrefix: prefix, Service: "s", OpenToAll: true, TimeoutMS: 1, MaxAttempts: 1}
	}
	s := NewSnapshot(1, c)
	for host, want := range map[string]string{
		"shop.example":       "shop",
		"Shop.EXAMPLE":       "shop",
		"shop.example:8080":  "shop",
		"SHOP.example:80":    "shop",
		"desk.example":       "desk",
		"desk.example:1":     "desk",
		"desk.example:8443":  "port",
		"[::1]":              "v6",
		"[::1]:8080":         "v6",
		"[::2]:8080":         "",
		"shop.example.":      "",
		"xshop.example":      "",
		"shop.example:":      "shop",
		"shop.example:80:80": "",
		"":                   "",
	} {
		t.Run(host, func(t *testing.T) {
			match, _ := s.Match(host, "GET", "/orders/7")
			is.New(t).Equal(match.ID, want)
			match, _ = s.Match(host, "GET", "/any/7")
			is.New(t).Equal(match.ID, "any")
		})
	}
}
