// Command arbutus-edge is one instance of an arbutuslink fleet that runs on a
// platform's store.
package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/edge"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
	"github.com/arbutuslink/arbutuslink/platform"
)

func main() { os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr, build)) }

func build(s *settings.Edge, log *zerolog.Logger) edge.Options {
	return edge.Options{
		Settings: s, Log: log, Platform: platform.New(s.StoreAddress, log), Dialect: platform.Dialect(),
		Endpoints: func(ready func() bool, addresses func(zone string) []string, ttl time.Duration) fasthttp.RequestHandler {
			return (&platform.Endpoints{Ready: ready, Addresses: addresses, TTL: ttl}).Handle
		},
	}
}
