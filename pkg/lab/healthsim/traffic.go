package healthsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	utilisation    = 0.6
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
)

// request is one caller's request on its way through an instance.
type request struct {
	world    *world
	instance *instance
	spec     proxy.Request
	tried    []string
}

// startTraffic sends Poisson arrivals to random instances.
func (w *world) startTraffic() {
	for _, s := range shapes {
		capacity := float64(s.targets*s.slots) / meanService.Seconds()
		mean := float64(time.Second) / (capacity * utilisation)
		var arrive func()
		arrive = func() {
			w.arrive(s)
			w.engine.After(time.Duration(w.random.ExpFloat64()*mean), arrive)
		}
		w.engine.After(time.Duration(w.random.ExpFloat64()*mean), arrive)
	}
}

func (w *world) arrive(s shape) {
	r := &request{
		world: w, instance: w.instances[w.random.IntN(len(w.instances))],
		spec: proxy.Request{
			Route: s.name, Service: s.name, Idempotent: w.random.Float64() < s.idempotent,
			Deadline: w.engine.SinceBoot() + requestTimeout,
		},
	}
	w.measure.requests.count(w, func(c *counts) { c.total++ })
	r.try()
}

func (r *request) try() {
	w := r.world
	a, err := r.instance.balancer.Acquire(r.spec, r.tried)
	if err != nil {
		w.measure.requests.count(w, func(c *counts) { c.failed++ })
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
		r.ended(a.Target(), result, w.engine.SinceBoot()-started)
	}
	j.answer = finish
	w.engine.After(network, func() {
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

func (r *request) ended(target string, result proxy.Result, latency time.Duration) {
	w := r.world
	if result == proxy.Answered {
		w.measure.requests.answered(w, latency)
		return
	}
	r.tried = append(r.tried, target)
	if r.spec.Idempotent && len(r.tried) < maxAttempts && w.engine.SinceBoot() < r.spec.Deadline &&
		r.instance.balancer.TakeRetry(proxy.Request{Route: r.spec.Route}) {
		r.try()
		return
	}
	w.measure.requests.count(w, func(c *counts) {
		if result == proxy.Shed {
			c.shed++
		} else {
			c.failed++
		}
	})
}
