package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/health/httpprobe"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
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
	prober := newListedProber(httpprobe.New(), p.Instances(), c)
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
