package healthsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// utilization is the arrival rate as a fraction of the capacity of all targets.
	utilization    = 0.6
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
)

// request is a caller's request that an instance handles, with all its attempts.
type request struct {
	simulation *simulation
	instance   *instance
	spec       proxy.Request
	// tried are the targets of the failed attempts.
	tried []string
}

// startTraffic schedules the requests to each service: Poisson arrivals at random
// instances.
func (sim *simulation) startTraffic() {
	for _, s := range serviceSpecs {
		capacity := float64(s.targets*s.slots) / meanServiceTime.Seconds()
		meanInterval := float64(time.Second) / (capacity * utilization)
		var arrive func()
		arrive = func() {
			sim.arrive(s)
			sim.engine.After(time.Duration(sim.random.ExpFloat64()*meanInterval), arrive)
		}
		sim.engine.After(time.Duration(sim.random.ExpFloat64()*meanInterval), arrive)
	}
}

// arrive starts a request to the service at a random instance.
func (sim *simulation) arrive(s serviceSpec) {
	r := &request{
		simulation: sim, instance: sim.instances[sim.random.IntN(len(sim.instances))],
		spec: proxy.Request{
			Route: s.name, Service: s.name, Idempotent: sim.random.Float64() < s.idempotentFraction,
			Deadline: sim.engine.SinceBoot() + requestTimeout,
		},
	}
	sim.stats.requests.count(sim, func(c *counts) { c.total++ })
	r.attempt()
}

// attempt sends the request to a target that the instance's balancer chooses.
func (r *request) attempt() {
	sim := r.simulation
	a, err := r.instance.balancer.Acquire(r.spec, r.tried)
	if err != nil {
		sim.stats.requests.count(sim, func(c *counts) { c.failed++ })
		return
	}
	t := sim.targets[a.Target()]
	started := sim.engine.SinceBoot()
	j := &job{}
	finished := false
	finish := func(result proxy.Result, load proxy.Load) {
		if finished {
			return
		}
		finished = true
		a.Done(result, sim.engine.SinceBoot()-started, load)
		r.attemptDone(a.Target(), result, sim.engine.SinceBoot()-started)
	}
	j.onReply = finish
	sim.engine.After(networkDelay, func() {
		if !j.canceled {
			t.submit(j)
		}
	})
	sim.engine.After(r.spec.Deadline-sim.engine.SinceBoot(), func() {
		if !finished {
			t.cancel(j)
			finish(proxy.TimedOut, proxy.Load{})
		}
	})
}

// attemptDone counts the result of an attempt, or retries the request.
func (r *request) attemptDone(target string, result proxy.Result, latency time.Duration) {
	sim := r.simulation
	if result == proxy.Answered {
		sim.stats.requests.recordLatency(sim, latency)
		return
	}
	r.tried = append(r.tried, target)
	if r.spec.Idempotent && len(r.tried) < maxAttempts && sim.engine.SinceBoot() < r.spec.Deadline &&
		r.instance.balancer.TakeRetry(proxy.Request{Route: r.spec.Route}) {
		r.attempt()
		return
	}
	sim.stats.requests.count(sim, func(c *counts) {
		if result == proxy.Shed {
			c.shed++
		} else {
			c.failed++
		}
	})
}
