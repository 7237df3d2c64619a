package dispatchsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
	// callTimeout bounds a call to the dispatcher that the request does not, or no
	// longer, wait for.
	callTimeout = 250 * time.Millisecond
	// maxWait bounds the wait of a request for a slot of a full service. It equals the
	// default of dispatch.Options.MaxWait.
	maxWait = time.Second
)

// request is a caller's request that an instance handles, with all its attempts.
type request struct {
	simulation *simulation
	instance   *instance
	spec       proxy.Request
	team       string
	arrivedAt  time.Duration
	// askedAt is when the present attempt first asked the dispatcher; maxWait counts
	// from it.
	askedAt time.Duration
	// tried are the targets of the failed attempts.
	tried []string
	// id identifies the present attempt at the dispatcher.
	id uint64
	// written is set once the request has been sent to a target.
	written bool
}

// startTraffic schedules the requests of each route and team: Poisson arrivals at
// random instances.
func (sim *simulation) startTraffic() {
	for _, s := range sim.deployment.Services {
		capacity := float64(s.Targets*s.Slots) / meanServiceTime(s.MedianServiceTime)
		for _, route := range sim.deployment.Routes {
			if route.Service != s.Name {
				continue
			}
			for _, team := range sim.deployment.Teams {
				rate := capacity * sim.scenario.Load * route.Weight * team.LoadFraction
				if team.Name == heavyTeam {
					rate *= max(sim.scenario.HeavyFactor, 1)
				}
				sim.scheduleArrivals(route, team, float64(time.Second)/rate)
			}
		}
	}
}

// scheduleArrivals schedules the next request of the team, which schedules the one
// after it. meanInterval is in nanoseconds.
func (sim *simulation) scheduleArrivals(route deployment.Route, team deployment.Team, meanInterval float64) {
	sim.engine.After(time.Duration(sim.random.ExpFloat64()*meanInterval), func() {
		r := &request{
			simulation: sim, instance: sim.instances[sim.random.IntN(len(sim.instances))], team: team.Name, arrivedAt: sim.engine.SinceBoot(),
			spec: proxy.Request{
				Team: team.Name, Batch: team.Batch, Route: route.Name, Service: route.Service,
				Idempotent: route.Idempotent, Deadline: sim.engine.SinceBoot() + requestTimeout,
			},
		}
		r.count(func(m *Result) { m.Requests++; m.team(team.Name).Requests++ }, func(m *FaultWindowResult) { m.Requests++ })
		r.attempt()
		sim.scheduleArrivals(route, team, meanInterval)
	})
}

// count applies the change to the result unless the run is still warming up.
func (sim *simulation) count(change func(*Result)) {
	if sim.engine.SinceBoot() >= warmUp {
		change(&sim.result)
	}
}

// count applies the changes to the result, and to its FaultWindow if the request
// arrived in that window. Requests that arrived before warmUp or too late to end
// within the run are left out. window may be nil.
func (r *request) count(change func(*Result), window func(*FaultWindowResult)) {
	if r.arrivedAt < warmUp || r.arrivedAt > runDuration-requestTimeout {
		return
	}
	change(&r.simulation.result)
	if r.arrivedAt >= faultAt && r.arrivedAt < faultAt+faultWindow && window != nil {
		window(&r.simulation.result.FaultWindow)
	}
}

// countRefused counts a refused request; byTarget is set if a target shed it.
func (r *request) countRefused(byTarget bool) {
	r.count(func(m *Result) {
		m.Refused++
		if byTarget {
			m.FinalSheds++
		}
	}, func(m *FaultWindowResult) { m.Refused++ })
}

// attempt chooses a target according to the policy and sends the request to it.
func (r *request) attempt() {
	sim := r.simulation
	sim.lastRequestID++
	r.id = sim.lastRequestID
	a, err := r.instance.balancer.Acquire(r.spec, r.tried)
	switch {
	case err != nil:
		r.countRefused(false)
	case r.needsReservation():
		r.askedAt = sim.engine.SinceBoot()
		r.askDispatcher(a)
	case sim.policy == ReserveNonIdempotent:
		r.send(a, r.reportPlacement(a.Target()))
	default:
		r.send(a, nil)
	}
}

// send writes the request to the target of the attempt. done, unless nil, releases
// the slot at the dispatcher.
func (r *request) send(a proxy.Attempt, done func()) {
	sim := r.simulation
	t := sim.targets[a.Target()]
	started := sim.engine.SinceBoot()
	if !r.written {
		r.written = true
		addedDelay := started - r.arrivedAt
		r.count(func(m *Result) { m.AddedDelays = append(m.AddedDelays, addedDelay) }, func(m *FaultWindowResult) { m.AddedDelays = append(m.AddedDelays, addedDelay) })
	}
	j := &job{}
	finished := false
	finish := func(result proxy.Result, load proxy.Load) {
		if finished {
			return
		}
		finished = true
		a.Done(result, sim.engine.SinceBoot()-started, load)
		if done != nil {
			done()
		}
		r.attemptDone(a.Target(), result)
	}
	j.onReply = finish
	sim.engine.After(targetNetworkDelay, func() { t.submit(j) })
	sim.engine.After(r.spec.Deadline-sim.engine.SinceBoot(), func() {
		if !finished {
			t.cancel(j)
			finish(proxy.TimedOut, proxy.Load{})
		}
	})
}

// attemptDone counts the result of an attempt, or retries the request.
func (r *request) attemptDone(target string, result proxy.Result) {
	sim := r.simulation
	if result == proxy.Answered {
		r.count(func(m *Result) {
			m.Latencies = append(m.Latencies, sim.engine.SinceBoot()-r.arrivedAt)
			m.team(r.team).Answered++
		}, nil)
		return
	}
	r.tried = append(r.tried, target)
	if r.spec.Idempotent && len(r.tried) < maxAttempts && sim.engine.SinceBoot() < r.spec.Deadline &&
		r.instance.balancer.TakeRetry(proxy.Request{Route: r.spec.Route}) {
		r.attempt()
		return
	}
	if result == proxy.Shed {
		r.countRefused(true)
		return
	}
	r.count(func(m *Result) { m.Failed++ }, func(m *FaultWindowResult) { m.Failed++ })
}

// reserveRequest returns the message that asks the dispatcher for a slot.
func (r *request) reserveRequest() *peerpb.ReserveRequest {
	return &peerpb.ReserveRequest{
		From: r.instance.incarnation(), Service: r.spec.Service, Team: r.spec.Team, Batch: r.spec.Batch,
		Idempotent: r.spec.Idempotent, Tried: r.tried, Id: r.id,
		LifeMs: max((r.spec.Deadline - r.simulation.engine.SinceBoot()).Milliseconds(), 1),
	}
}
