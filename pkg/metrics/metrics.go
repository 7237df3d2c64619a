// Package metrics builds the tally scope of a process and its scrape endpoint.
package metrics

import (
	"io"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is the time between two updates of the scrape endpoint.
const reportInterval = time.Second

// New returns the root scope, the handler of the scrape endpoint in the
// Prometheus text format, and a closer that ends the reporting goroutine.
func New(instance, zone string) (tally.Scope, fasthttp.RequestHandler, io.Closer) {
	// A registry of its own, because the default registry is shared by the whole
	// process: a second instance in the process, as in tests, would register the
	// same metrics twice.
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "arbutus",
		Tags:           map[string]string{"instance": instance, "availability_zone": zone},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's own metrics contain dots, which the text format forbids.
		SanitizeOptions: sanitizers(),
	}, reportInterval)
	return scope, fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()), closer
}

// sanitizers replaces characters in names as the text format requires. Tag values
// stay as they are, because operators search for the instance's name.
func sanitizers() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters.Characters = []rune{'_', '-', '.', ':', '/'}
	return &options
}
