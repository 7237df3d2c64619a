// Command arbutus-edge runs one instance of an arbutuslink fleet that reads its
// configuration and its targets from a platform's store.
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

func main() { os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr, buildOptions)) }

// buildOptions returns the parts of an instance that depend on the platform.
func buildOptions(s *settings.Edge, log *zerolog.Logger) edge.Options {
	return edge.Options{
		Settings: s, Log: log, Platform: platform.New(s.StoreAddress, log), Dialect: platform.Dialect(),
		Endpoints: func(ready func() bool, addresses func(zone string) []string, ttl time.Duration) fasthttp.RequestHandler {
			return (&platform.Endpoints{Ready: ready, Addresses: addresses, TTL: ttl}).Handle
		},
	}
}
