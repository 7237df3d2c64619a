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
	// callLimit bounds a call that the request does not wait for.
	callLimit = 250 * time.Millisecond
	// maxWait bounds the wait at a full service, as dispatch.Options does.
	maxWait = time.Second
)

// request is one caller's request on its way through an instance.
type request struct {
	world    *world
	instance *instance
	spec     proxy.Request
	team     string
	arrived  time.Duration
	asked    time.Duration
	tried    []string
	// id names the request at the dispatcher.
	id uint64
	// written is set once the request was sent to a target.
	written bool
}

// startTraffic sends Poisson arrivals of each route and team to random instances.
func (w *world) startTraffic() {
	for _, s := range w.deployment.Services {
		capacity := float64(s.Targets*s.Slots) / mean(s.Median)
		for _, route := range w.deployment.Routes {
			if route.Service != s.Name {
				continue
			}
			for _, team := range w.deployment.Teams {
				rate := capacity * w.scenario.Load * route.Weight * team.Share
				if team.Name == heavyTeam {
					rate *= max(w.scenario.HeavyFactor, 1)
				}
				w.arrivals(route, team, float64(time.Second)/rate)
			}
		}
	}
}

func (w *world) arrivals(route deployment.Route, team deployment.Team, mean float64) {
	w.engine.After(time.Duration(w.random.ExpFloat64()*mean), func() {
		r := &request{
			world: w, instance: w.instances[w.random.IntN(len(w.instances))], team: team.Name, arrived: w.engine.SinceBoot(),
			spec: proxy.Request{
				Team: team.Name, Batch: team.Batch, Route: route.Name, Service: route.Service,
				Idempotent: route.Idempotent, Deadline: w.engine.SinceBoot() + requestTimeout,
			},
		}
		r.count(func(m *Result) { m.Requests++; m.team(team.Name).Requests++ }, func(m *WindowResult) { m.Requests++ })
		r.try()
		w.arrivals(route, team, mean)
	})
}

func (w *world) count(change func(*Result)) {
	if w.engine.SinceBoot() >= warmUp {
		change(&w.result)
	}
}

// count counts a request by its arrival. Requests that arrive too late to end
// within the run are left out.
func (r *request) count(change func(*Result), window func(*WindowResult)) {
	if r.arrived < warmUp || r.arrived > runFor-requestTimeout {
		return
	}
	change(&r.world.result)
	if r.arrived >= crashAt && r.arrived < crashAt+crashWindow && window != nil {
		window(&r.world.result.Window)
	}
}

func (r *request) refused(byTarget bool) {
	r.count(func(m *Result) {
		m.Refused++
		if byTarget {
			m.FinalSheds++
		}
	}, func(m *WindowResult) { m.Refused++ })
}

func (r *request) try() {
	w := r.world
	w.ids++
	r.id = w.ids
	a, err := r.instance.balancer.Acquire(r.spec, r.tried)
	switch {
	case err != nil:
		r.refused(false)
	case r.reserves():
		r.asked = w.engine.SinceBoot()
		r.ask(a)
	case w.policy == ReserveNonIdempotent:
		r.send(a, r.tell(a.Target()))
	default:
		r.send(a, nil)
	}
}

// send writes the request; done gives the reservation back.
func (r *request) send(a proxy.Attempt, done func()) {
	w := r.world
	t := w.targets[a.Target()]
	started := w.engine.SinceBoot()
	if !r.written {
		r.written = true
		added := started - r.arrived
		r.count(func(m *Result) { m.Added = append(m.Added, added) }, func(m *WindowResult) { m.Added = append(m.Added, added) })
	}
	j := &job{}
	finished := false
	finish := func(result proxy.Result, load proxy.Load) {
		if finished {
			return
		}
		finished = true
		a.Done(result, w.engine.SinceBoot()-started, load)
		if done != nil {
			done()
		}
		r.ended(a.Target(), result)
	}
	j.answer = finish
	w.engine.After(targetNetwork, func() { t.submit(j) })
	w.engine.After(r.spec.Deadline-w.engine.SinceBoot(), func() {
		if !finished {
			t.cancel(j)
			finish(proxy.TimedOut, proxy.Load{})
		}
	})
}

func (r *request) ended(target string, result proxy.Result) {
	w := r.world
	if result == proxy.Answered {
		r.count(func(m *Result) {
			m.Latency = append(m.Latency, w.engine.SinceBoot()-r.arrived)
			m.team(r.team).Answered++
		}, nil)
		return
	}
	r.tried = append(r.tried, target)
	if r.spec.Idempotent && len(r.tried) < maxAttempts && w.engine.SinceBoot() < r.spec.Deadline &&
		r.instance.balancer.TakeRetry(proxy.Request{Route: r.spec.Route}) {
		r.try()
		return
	}
	if result == proxy.Shed {
		r.refused(true)
		return
	}
	r.count(func(m *Result) { m.Failed++ }, func(m *WindowResult) { m.Failed++ })
}

// reserveRequest is the message for the dispatcher.
func (r *request) reserveRequest() *peerpb.ReserveRequest {
	return &peerpb.ReserveRequest{
		From: r.instance.incarnation(), Service: r.spec.Service, Team: r.spec.Team, Batch: r.spec.Batch,
		Idempotent: r.spec.Idempotent, Tried: r.tried, Id: r.id,
		LifeMs: max((r.spec.Deadline - r.world.engine.SinceBoot()).Milliseconds(), 1),
	}
}
