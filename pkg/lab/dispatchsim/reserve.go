package dispatchsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/dispatch"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// askDispatcher asks the dispatcher for a target, as dispatch.Balancer does.
// fallback is the attempt that the balancer of the instance chose, which is used
// without an answer in time; it is nil for a request that has waited for a slot.
func (r *request) askDispatcher(fallback proxy.Attempt) {
	w := r.world
	message, sentAt := r.reserveRequest(), w.engine.SinceBoot()
	to, wait, ok := r.findDispatcher()
	switch {
	case !ok:
		r.fallBack(fallback)
		return
	case to == r.instance:
		r.handleReply(fallback, to, to.dispatcher.HandleReserve(message))
		return
	}
	breaker := r.instance.breaker(to)
	key := dispatcherKey{to, r.spec.Service}
	message.Released = r.instance.pendingReleases[key]
	delete(r.instance.pendingReleases, key)
	w.count(func(m *Result) { m.Calls++ })
	var inTime, abandoned bool
	w.deliver(to, func() {
		reply := to.dispatcher.HandleReserve(message)
		w.engine.After(w.peerDelay(), func() {
			if w.engine.SinceBoot()-sentAt > callTimeout {
				return
			}
			breaker.Answered(w.engine.SinceBoot()-sentAt, !abandoned)
			r.instance.applyReplyFlags(w, key, reply)
			if !abandoned {
				inTime = true
				r.handleReply(fallback, to, reply)
			}
		})
	})
	w.engine.After(wait, func() {
		if !inTime {
			abandoned = true
			breaker.Failed(w.engine.SinceBoot())
			w.count(func(m *Result) { m.LateCalls++ })
			r.instance.release(w, key, message.Id)
			r.fallBack(fallback)
		}
	})
}

// findDispatcher returns the dispatcher, or its stand-in while the dispatcher is
// unresponsive, and the maximum wait for its answer. It returns false if calls to
// it are paused.
func (r *request) findDispatcher() (*instance, time.Duration, bool) {
	for _, to := range r.world.dispatchers[r.spec.Service] {
		if to == r.instance {
			return to, 0, true
		}
		breaker := r.instance.breaker(to)
		if wait, ok := breaker.Allow(r.world.engine.SinceBoot()); ok {
			return to, wait, true
		}
		if !breaker.Unresponsive() {
			break
		}
	}
	return nil, 0, false
}

// reportPlacement reports to the dispatcher which target the instance chose without
// asking it. done releases the slot; it is nil if nothing was reported.
func (r *request) reportPlacement(target string) (done func()) {
	w, i := r.world, r.instance
	sentAt := w.engine.SinceBoot()
	to, wait, ok := r.findDispatcher()
	if !ok || to == i {
		return nil
	}
	key, breaker := dispatcherKey{to, r.spec.Service}, i.breaker(to)
	message := r.reserveRequest()
	message.Chosen = target
	message.Released = i.pendingReleases[key]
	delete(i.pendingReleases, key)
	w.count(func(m *Result) { m.Calls++ })
	answeredInTime := false
	w.engine.After(callTimeout, func() {
		if !answeredInTime {
			breaker.Failed(w.engine.SinceBoot())
		}
	})
	w.deliver(to, func() {
		reply := key.to.dispatcher.HandleReserve(message)
		w.engine.After(w.peerDelay(), func() {
			if w.engine.SinceBoot()-sentAt > callTimeout {
				return
			}
			answeredInTime = true
			late := w.engine.SinceBoot()-sentAt > wait
			breaker.Answered(w.engine.SinceBoot()-sentAt, !late)
			if late {
				breaker.Failed(w.engine.SinceBoot())
			}
			i.applyReplyFlags(w, key, reply)
		})
	})
	return func() { i.release(w, key, message.Id) }
}

// handleReply sends the request to the target of the reply or, without one, to
// that of the fallback. If the service is full, it asks again later or refuses the
// request.
func (r *request) handleReply(fallback proxy.Attempt, to *instance, reply *peerpb.ReserveReply) {
	w := r.world
	switch {
	case reply.GetTarget() != "":
		r.useGrant(fallback, dispatcherKey{to, r.spec.Service}, reply)
	case !reply.GetFull():
		r.fallBack(fallback)
	default:
		if fallback != nil {
			fallback.Done(proxy.Canceled, 0, proxy.Load{})
		}
		retry := time.Duration(reply.RetryUs) * time.Microsecond
		if !reply.Waiting || w.engine.SinceBoot()+retry >= min(r.askedAt+maxWait, r.spec.Deadline) {
			r.instance.release(w, dispatcherKey{to, r.spec.Service}, r.id)
			r.countRefused(false)
			return
		}
		w.engine.After(retry, func() { r.askDispatcher(nil) })
	}
}

// useGrant sends the request to the granted target, unless the balancer of the
// instance refuses it.
func (r *request) useGrant(fallback proxy.Attempt, key dispatcherKey, reply *peerpb.ReserveReply) {
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

// fallBack sends the request to a target that the balancer of the instance chooses.
func (r *request) fallBack(fallback proxy.Attempt) {
	if fallback == nil {
		var err error
		if fallback, err = r.instance.balancer.Acquire(r.spec, r.tried); err != nil {
			r.countRefused(false)
			return
		}
	}
	r.send(fallback, nil)
}

// applyReplyFlags applies what a reply says besides the target: whether the
// instance is the service's dispatcher, and whether the service is busy.
func (i *instance) applyReplyFlags(w *world, key dispatcherKey, reply *peerpb.ReserveReply) {
	if !reply.GetDispatcher() {
		i.breaker(key.to).Declined(w.engine.SinceBoot())
	}
	if reply.GetBusy() {
		i.busyUntil[key] = w.engine.SinceBoot() + dispatch.BusyFor
	}
}

// needsReservation reports whether the request asks for a slot before it is
// written, according to the policy.
func (r *request) needsReservation() bool {
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
		if !r.instance.breaker(to).Unresponsive() {
			return w.engine.SinceBoot() < r.instance.busyUntil[dispatcherKey{to, r.spec.Service}]
		}
	}
	return false
}

// breaker returns the circuit breaker for calls to an instance; it creates it if
// necessary.
func (i *instance) breaker(to *instance) *dispatch.Breaker {
	p := i.breakers[to]
	if p == nil {
		p = &dispatch.Breaker{}
		i.breakers[to] = p
	}
	return p
}

// release gives a slot back to the dispatcher, with the next message to it or, after
// dispatch.ReleaseDelay, in a message of its own.
func (i *instance) release(w *world, key dispatcherKey, id uint64) {
	send := func(ids []uint64) {
		key.to.dispatcher.HandleReserve(&peerpb.ReserveRequest{
			From: i.incarnation(), Service: key.service, Released: ids, ReleaseOnly: true,
		})
	}
	if key.to == i {
		send([]uint64{id})
		return
	}
	i.pendingReleases[key] = append(i.pendingReleases[key], id)
	if i.releaseScheduled[key] {
		return
	}
	i.releaseScheduled[key] = true
	w.engine.After(dispatch.ReleaseDelay, func() {
		ids := i.pendingReleases[key]
		delete(i.pendingReleases, key)
		delete(i.releaseScheduled, key)
		if len(ids) == 0 {
			return
		}
		w.count(func(m *Result) { m.Calls++ })
		w.deliver(key.to, func() { send(ids) })
	})
}
