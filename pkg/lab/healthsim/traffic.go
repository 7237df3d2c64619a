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
	world    *world
	instance *instance
	spec     proxy.Request
	// tried are the targets of the failed attempts.
	tried []string
}

// startTraffic schedules the requests to each service: Poisson arrivals at random
// instances.
func (w *world) startTraffic() {
	for _, s := range serviceSpecs {
		capacity := float64(s.targets*s.slots) / meanServiceTime.Seconds()
		meanInterval := float64(time.Second) / (capacity * utilization)
		var arrive func()
		arrive = func() {
			w.arrive(s)
			w.engine.After(time.Duration(w.random.ExpFloat64()*meanInterval), arrive)
		}
		w.engine.After(time.Duration(w.random.ExpFloat64()*meanInterval), arrive)
	}
}

// arrive starts a request to the service at a random instance.
func (w *world) arrive(s serviceSpec) {
	r := &request{
		world: w, instance: w.instances[w.random.IntN(len(w.instances))],
		spec: proxy.Request{
			Route: s.name, Service: s.name, Idempotent: w.random.Float64() < s.idempotentFraction,
			Deadline: w.engine.SinceBoot() + requestTimeout,
		},
	}
	w.stats.requests.count(w, func(c *counts) { c.total++ })
	r.attempt()
}

// attempt sends the request to a target that the instance's balancer chooses.
func (r *request) attempt() {
	w := r.world
	a, err := r.instance.balancer.Acquire(r.spec, r.tried)
	if err != nil {
		w.stats.requests.count(w, func(c *counts) { c.failed++ })
		return
	}
	t := w.targets[a.Target()]
	started := w.engine.SinceBoot()
	j := &job{}
	finished := false
	finish := func(result proxy.Result, load proxy.Load) {
		if finished {
			return
		}
		finished = true
		a.Done(result, w.engine.SinceBoot()-started, load)
		r.attemptDone(a.Target(), result, w.engine.SinceBoot()-started)
	}
	j.onReply = finish
	w.engine.After(networkDelay, func() {
		if !j.canceled {
			t.submit(j)
		}
	})
	w.engine.After(r.spec.Deadline-w.engine.SinceBoot(), func() {
		if !finished {
			t.cancel(j)
			finish(proxy.TimedOut, proxy.Load{})
		}
	})
}

// attemptDone counts the result of an attempt, or retries the request.
func (r *request) attemptDone(target string, result proxy.Result, latency time.Duration) {
	w := r.world
	if result == proxy.Answered {
		w.stats.requests.recordLatency(w, latency)
		return
	}
	r.tried = append(r.tried, target)
	if r.spec.Idempotent && len(r.tried) < maxAttempts && w.engine.SinceBoot() < r.spec.Deadline &&
		r.instance.balancer.TakeRetry(proxy.Request{Route: r.spec.Route}) {
		r.attempt()
		return
	}
	w.stats.requests.count(w, func(c *counts) {
		if result == proxy.Shed {
			c.shed++
		} else {
			c.failed++
		}
	})
}
