package dispatchsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/dispatch"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// ask asks the dispatcher as dispatch.Balancer does. fallback is nil for a
// request that has waited for a slot.
func (r *request) ask(fallback proxy.Attempt) {
	w := r.world
	message, asked := r.reserveRequest(), w.engine.SinceBoot()
	to, wait, ok := r.way()
	switch {
	case !ok:
		r.fallBack(fallback)
		return
	case to == r.instance:
		r.answered(fallback, to, to.dispatcher.HandleReserve(message))
		return
	}
	path := r.instance.path(to)
	key := releaseKey{to, r.spec.Service}
	message.Released = r.instance.releases[key]
	delete(r.instance.releases, key)
	w.count(func(m *Result) { m.Calls++ })
	var inTime, abandoned bool
	w.deliver(to, func() {
		reply := to.dispatcher.HandleReserve(message)
		w.engine.After(w.peerDelay(), func() {
			if w.engine.SinceBoot()-asked > callLimit {
				return
			}
			path.Answered(w.engine.SinceBoot()-asked, !abandoned)
			r.instance.heard(w, key, reply)
			if !abandoned {
				inTime = true
				r.answered(fallback, to, reply)
			}
		})
	})
	w.engine.After(wait, func() {
		if !inTime {
			abandoned = true
			path.Failed(w.engine.SinceBoot())
			w.count(func(m *Result) { m.Late++ })
			r.instance.release(w, key, message.Id)
			r.fallBack(fallback)
		}
	})
}

// way finds the dispatcher, or the one that stands in while it is silent.
func (r *request) way() (*instance, time.Duration, bool) {
	for _, to := range r.world.dispatchers[r.spec.Service] {
		if to == r.instance {
			return to, 0, true
		}
		path := r.instance.path(to)
		if wait, ok := path.Allow(r.world.engine.SinceBoot()); ok {
			return to, wait, true
		}
		if !path.Unresponsive() {
			break
		}
	}
	return nil, 0, false
}

// tell says where an instance has placed a request by itself.
func (r *request) tell(target string) (done func()) {
	w, i := r.world, r.instance
	asked := w.engine.SinceBoot()
	to, wait, ok := r.way()
	if !ok || to == i {
		return nil
	}
	key, path := releaseKey{to, r.spec.Service}, i.path(to)
	message := r.reserveRequest()
	message.Chosen = target
	message.Released = i.releases[key]
	delete(i.releases, key)
	w.count(func(m *Result) { m.Calls++ })
	answeredInTime := false
	w.engine.After(callLimit, func() {
		if !answeredInTime {
			path.Failed(w.engine.SinceBoot())
		}
	})
	w.deliver(to, func() {
		got := key.to.dispatcher.HandleReserve(message)
		w.engine.After(w.peerDelay(), func() {
			if w.engine.SinceBoot()-asked > callLimit {
				return
			}
			answeredInTime = true
			late := w.engine.SinceBoot()-asked > wait
			path.Answered(w.engine.SinceBoot()-asked, !late)
			if late {
				path.Failed(w.engine.SinceBoot())
			}
			i.heard(w, key, got)
		})
	})
	return func() { i.release(w, key, message.Id) }
}

func (r *request) answered(fallback proxy.Attempt, to *instance, reply *peerpb.ReserveReply) {
	w := r.world
	switch {
	case reply.GetTarget() != "":
		r.use(fallback, releaseKey{to, r.spec.Service}, reply)
	case !reply.GetFull():
		r.fallBack(fallback)
	default:
		if fallback != nil {
			fallback.Done(proxy.Canceled, 0, proxy.Load{})
		}
		retry := time.Duration(reply.RetryUs) * time.Microsecond
		if !reply.Waiting || w.engine.SinceBoot()+retry >= min(r.asked+maxWait, r.spec.Deadline) {
			r.instance.release(w, releaseKey{to, r.spec.Service}, r.id)
			r.refused(false)
			return
		}
		w.engine.After(retry, func() { r.ask(nil) })
	}
}

func (r *request) use(fallback proxy.Attempt, key releaseKey, reply *peerpb.ReserveReply) {
	id := r.id
	done := func() { r.instance.release(r.world, key, id) }
	if fallback != nil && fallback.Target() == reply.Target {
		r.send(fallback, done)
		return
	}
	others := []string{""}
	for name := range r.world.config.Config.Services[r.spec.Service].Targets {
		if name != reply.Target {
			others = append(others, name)
		}
	}
	a, err := r.instance.balancer.Acquire(r.spec, others)
	if err != nil {
		done()
		r.fallBack(fallback)
		return
	}
	if fallback != nil {
		fallback.Done(proxy.Canceled, 0, proxy.Load{})
	}
	r.send(a, done)
}

func (r *request) fallBack(fallback proxy.Attempt) {
	if fallback == nil {
		var err error
		if fallback, err = r.instance.balancer.Acquire(r.spec, r.tried); err != nil {
			r.refused(false)
			return
		}
	}
	r.send(fallback, nil)
}

// heard takes what an answer says besides the target.
func (i *instance) heard(w *world, key releaseKey, reply *peerpb.ReserveReply) {
	if !reply.GetDispatcher() {
		i.path(key.to).Declined(w.engine.SinceBoot())
	}
	if reply.GetBusy() {
		i.busyUntil[key] = w.engine.SinceBoot() + dispatch.BusyFor
	}
}

// reserves tells whether the request asks for a slot before it is written.
func (r *request) reserves() bool {
	w := r.world
	switch {
	case w.policy == ReserveAll:
		return true
	case w.policy != ReserveNonIdempotent:
		return false
	case !r.spec.Idempotent:
		return true
	}
	for _, to := range w.dispatchers[r.spec.Service] {
		if to == r.instance {
			return true
		}
		if !r.instance.path(to).Unresponsive() {
			return w.engine.SinceBoot() < r.instance.busyUntil[releaseKey{to, r.spec.Service}]
		}
	}
	return false
}

func (i *instance) path(to *instance) *dispatch.Breaker {
	p := i.paths[to]
	if p == nil {
		p = &dispatch.Breaker{}
		i.paths[to] = p
	}
	return p
}

// release gives a slot back with the next message or by itself.
func (i *instance) release(w *world, key releaseKey, id uint64) {
	send := func(ids []uint64) {
		key.to.dispatcher.HandleReserve(&peerpb.ReserveRequest{
			From: i.incarnation(), Service: key.service, Released: ids, ReleaseOnly: true,
		})
	}
	if key.to == i {
		send([]uint64{id})
		return
	}
	i.releases[key] = append(i.releases[key], id)
	if i.flushing[key] {
		return
	}
	i.flushing[key] = true
	w.engine.After(dispatch.ReleaseDelay, func() {
		ids := i.releases[key]
		delete(i.releases, key)
		delete(i.flushing, key)
		if len(ids) == 0 {
			return
		}
		w.count(func(m *Result) { m.Calls++ })
		w.deliver(key.to, func() { send(ids) })
	})
}
