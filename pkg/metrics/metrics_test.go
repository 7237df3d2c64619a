package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a scope that cannot be built with the Prometheus reporter, and
// against tags that are missing from the scrape endpoint.
func TestScrape(t *testing.T) {
	is := is.New(t)
	scope, handler, closer := New("entry-1", "a")
	scope.Gauge("config_version").Update(7)
	is.NoErr(closer.Close()) // reports pending values
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	handler(&ctx)
	body := string(ctx.Response.Body())
	is.True(strings.Contains(body, `arbutus_config_version{availability_zone="a",instance="entry-1"} 7`))
}
