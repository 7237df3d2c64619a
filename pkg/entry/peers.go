package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// versions are the numbers that this instance has applied.
func versions(v *control.View) *peerpb.Versions {
	return &peerpb.Versions{
		Revision: v.Head.Revision, Config: v.Head.ConfigVersion,
		Membership: v.Head.MembershipVersion, Delivered: v.Head.Delivered,
	}
}

// SendReport brings observations to one evaluator.
func (i *Instance) SendReport(ctx context.Context, to membership.Member, request *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	view := i.control.View()
	if to.Incarnation == view.Self.Incarnation {
		return i.handleReport(ctx, request)
	}
	request.Versions = versions(view)
	return i.transport.Report(ctx, to.PeerAddress, request)
}

func (i *Instance) handleReport(_ context.Context, request *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	reply := i.evaluator.HandleReport(request)
	reply.Versions = versions(i.control.View())
	return reply, nil
}

// retainInterval is how often observations of removed targets are dropped.
const retainInterval = 10 * time.Second

func (i *Instance) retainConfigured(ctx context.Context) error {
	for {
		if err := i.clock.Sleep(ctx, retainInterval); err != nil {
			return errors.WithStack(err)
		}
		i.collector.Retain(i.control.View().Config.Config.Services)
	}
}

// prober sends probes over HTTP.
type prober struct{ client *fasthttp.Client }

func newProber() *prober {
	return &prober{client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           2,
		MaxResponseBodySize:       maxProbeBody,
		NoDefaultUserAgentHeader:  true,
	}}
}

const maxProbeBody = 64 << 10

// Probe asks a target for its health.
func (p *prober) Probe(ctx context.Context, address, path string) health.ProbeStatus {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(health.ProbeTimeout)
	}
	if err := p.client.DoDeadline(req, resp, deadline); err != nil {
		return health.ProbeFailed
	}
	return health.ParseProbe(resp.StatusCode(), resp.Body())
}
