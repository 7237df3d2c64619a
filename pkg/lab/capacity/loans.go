package capacity

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/lab/limitsim"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// ListenError reports that no listener could be opened on a loopback port.
type ListenError struct{ Cause error }

// Error returns the message with the cause.
func (e *ListenError) Error() string { return "listen on loopback: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// measureLoans measures the number of messages that loans of tokens need, the
// cost of one message, and the cost of the token pools of idle teams.
func measureLoans(ctx context.Context, o *Options) ([]*Table, error) {
	messages := &Table{
		Title: "borrow calls per request (simulation of one team with 8 issuers, callers not steered)",
		Columns: []string{
			"rate/s", "percent of the rate", "instances", "percent through one instance", "calls per request", "false refusals %", "wait p99 ms",
		},
	}
	for _, rate := range []float64{1, 10, 100, 1000} {
		for _, load := range []float64{0.3, 0.9} {
			for _, instances := range []int{currentInstances, expectedInstances} {
				for _, skew := range []float64{0, 0.8} {
					o.progress("loans at %g/s, %d instances", rate, instances)
					messages.add(simulateLoanRow(rate, load, instances, skew)...)
				}
			}
		}
	}
	calls, err := measureCallCosts(ctx)
	if err != nil {
		return nil, err
	}
	idle := &Table{Title: "pools of idle teams in one limiter", Columns: []string{"teams", "heap bytes per team", "us per poll"}}
	for _, teams := range []int{100, 1000, 10_000} {
		row, err := measurePoolRow(teams)
		if err != nil {
			return nil, err
		}
		idle.add(row...)
	}
	return []*Table{messages, calls, idle}, nil
}

// simulateLoanRow simulates one team. load is a fraction of rate, and skew the
// fraction of the requests that arrive at one instance.
func simulateLoanRow(rate, load float64, instances int, skew float64) []float64 {
	params := limit.DefaultParams(2 * time.Second)
	params.MaxIssuers = 8
	r := limitsim.Run(limitsim.Case{
		Rate: rate, Burst: max(10, int(rate/2)), Load: load, Skew: skew, Instances: instances, Requests: 2000,
		OneWayDelay: 500 * time.Microsecond, Seed: 1, Params: params,
	})
	return []float64{
		rate, load * 100, float64(instances), skew * 100, float64(r.Messages) / float64(r.Requests), r.FalseRefusalPercent(), milliseconds(r.Wait.P99),
	}
}

// measureCallCosts measures each kind of call between instances on loopback,
// client and server together.
func measureCallCosts(ctx context.Context) (*Table, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(&ListenError{Cause: err})
	}
	ctx, stop := context.WithCancel(ctx)
	verdict := &peerpb.ReportReply{Versions: &peerpb.Versions{Revision: 100, Config: 50, Membership: 50}}
	for n := range 24 {
		if n == 0 {
			verdict.Verdicts = []*peerpb.Verdict{{Service: serviceID(0), Evaluator: incarnationID(0), Sequence: 1000}}
		}
		verdict.Verdicts[0].Targets = append(verdict.Verdicts[0].Targets, &peerpb.TargetVerdict{Target: "target-1000", State: 1, Load: 2})
	}
	handlers := peer.Handlers{
		OnExchange: func(_ context.Context, q *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
			return &peerpb.ExchangeReply{Nonce: q.Nonce, Incarnation: q.To, Versions: q.Versions, Witness: true}, nil
		},
		OnBorrow: func(_ context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
			return &peerpb.BorrowReply{Loan: 1, Millitokens: q.Millitokens, LifeMs: 1000, Issuer: true}, nil
		},
		OnReport: func(context.Context, *peerpb.ReportRequest) (*peerpb.ReportReply, error) { return verdict, nil },
	}
	done := make(chan error, 1)
	go func() { done <- drpcpeer.Serve(ctx, listener, handlers) }()
	client := drpcpeer.NewClient()
	table, err := callCostTable(ctx, client, listener.Addr().String())
	err = errors.CombineErrors(err, client.Close())
	stop()
	return table, errors.CombineErrors(err, <-done)
}

// callCostTable measures the calls of client to the server at address.
func callCostTable(ctx context.Context, client *drpcpeer.Client, address string) (*Table, error) {
	versions := &peerpb.Versions{Revision: 100, Config: 50, Membership: 50, Delivered: true}
	report := &peerpb.ReportRequest{From: incarnationID(1), Versions: versions, Services: []*peerpb.ServiceReport{{
		Service: serviceID(0), Targets: []*peerpb.TargetCounts{{Target: "target-1000", Answers: 1, Latency: make([]uint32, 17)}},
	}}}
	kinds := []struct {
		name string
		call func() error
	}{
		{"exchange", func() error {
			_, err := client.Exchange(ctx, address, &peerpb.ExchangeRequest{
				From: incarnationID(1), To: incarnationID(2), Nonce: 1 << 60, Versions: versions, Address: "10.20.30.40:7003",
			})
			return err
		}},
		{"borrow", func() error {
			_, err := client.Borrow(ctx, address, &peerpb.BorrowRequest{From: incarnationID(1), Versions: versions, Team: "team-1000", Millitokens: 1000})
			return err
		}},
		{"report", func() error { _, err := client.Report(ctx, address, report); return err }},
	}
	t := &Table{Title: "one call over drpc on loopback, both ends: 0 exchange, 1 borrow, 2 report", Columns: []string{"call", "us", "bytes both ways"}}
	const calls = 3000
	for n, kind := range kinds {
		before := client.Traffic()[kind.name]
		each, err := cpuPerCall(calls, kind.call)
		if err != nil {
			return nil, err
		}
		after := client.Traffic()[kind.name]
		bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
		t.add(float64(n), microseconds(each), float64(bytes)/float64(after.Calls-before.Calls))
	}
	return t, nil
}

// measurePoolRow measures the memory and the poll time of the token pools of
// teams that were used once.
func measurePoolRow(teams int) ([]float64, error) {
	m := members(expectedInstances)
	document := config.Empty()
	for n := range teams {
		document.Teams[teamID(n)] = config.Team{RatePerSecond: 10, Burst: 20}
	}
	params := limit.DefaultParams(2 * time.Second)
	params.MaxIssuers = 8
	history := limit.NewHistory(m.Members[0].Incarnation, params)
	history.Observe(1, &control.View{Config: config.NewSnapshot(1, document), Membership: m, Self: m.Members[0], Member: true, DeliveredAt: 1})
	before := liveHeapBytes()
	pools := make([]*limit.Pool, teams)
	for n := range pools {
		pools[n] = limit.NewPool(teamID(n), history, params, time.Second)
		pools[n].Poll(time.Second, true)
	}
	size := liveHeapBytes() - before
	now := time.Second
	poll, err := timeCPU(func() error {
		now += time.Second
		for _, p := range pools {
			p.Poll(now, true)
		}
		return nil
	})
	return []float64{float64(teams), float64(size) / float64(teams), microseconds(poll) / float64(teams)}, err
}
