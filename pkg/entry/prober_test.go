package entry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/health/httpprobe"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/instancelist"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
)

// Guards against sending new requests to a target that the platform lists as
// leaving while its own health path still answers "ok", also when the platform
// becomes unavailable afterwards.
func TestProbeFollowsTheList(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(0, 0))
	p := memory.New(memory.Options{Clock: c})
	p.Register(platform.InstanceListEntry{Address: "127.0.0.1:1", State: platform.Leaving})
	nop := zerolog.Nop()
	prober := newListedProber(httpprobe.New(&nop), p.Instances(), c, &nop)
	ctx, cancel := context.WithTimeout(context.Background(), health.ProbeTimeout)
	defer cancel()
	// Nothing listens on port 1, so "draining" can only come from the list.
	is.Equal(prober.Probe(ctx, "127.0.0.1:1", "/health"), health.ProbeFailed)
	prober.leaving.refresh(ctx)
	is.Equal(prober.Probe(ctx, "127.0.0.1:1", "/health"), health.ProbeDraining)
	p.SetDown(true)
	prober.leaving.refresh(ctx)
	is.Equal(prober.Probe(ctx, "127.0.0.1:1", "/health"), health.ProbeDraining)
}

// Guards against a target that is leaving and gets requests again because the platform's list was
// answered with what is no HTTP, and against the loss of the reason.
func TestMalformedListKeepsTheLast(t *testing.T) {
	const good = `[{"address":"127.0.0.1:1","zone":"a","state":"leaving"}]`
	for name, text := range rawhttp.Malformed("", "[]") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.Start(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(good), good), false)
			is.NoErr(err)
			t.Cleanup(server.Close)
			var lines bytes.Buffer
			log := zerolog.New(&lines)
			list := instancelist.New(instancelist.Options{URL: "http://" + server.Addr() + "/"})
			prober := newListedProber(httpprobe.New(&log), list, clock.System{}, &log)
			prober.leaving.refresh(t.Context())
			is.Equal(prober.Probe(t.Context(), "127.0.0.1:1", "/health"), health.ProbeDraining)
			server.SetAnswer(text)
			prober.leaving.refresh(t.Context())
			is.Equal(prober.Probe(t.Context(), "127.0.0.1:1", "/health"), health.ProbeDraining)
			if name == "status 000" { // the lines of one event are limited
				is.True(strings.Contains(lines.String(), "instance_list_failed"))
				is.True(strings.Contains(lines.String(), "malformed response"))
			}
		})
	}
}
