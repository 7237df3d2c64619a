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
	sim := r.simulation
	message, sentAt := r.reserveRequest(), sim.engine.SinceBoot()
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
	sim.count(func(m *Result) { m.Calls++ })
	var inTime, abandoned bool
	sim.deliver(to, func() {
		reply := to.dispatcher.HandleReserve(message)
		sim.engine.After(sim.peerDelay(), func() {
			if sim.engine.SinceBoot()-sentAt > callTimeout {
				return
			}
			breaker.Answered(sim.engine.SinceBoot()-sentAt, !abandoned)
			r.instance.applyReplyFlags(sim, key, reply)
			if !abandoned {
				inTime = true
				r.handleReply(fallback, to, reply)
			}
		})
	})
	sim.engine.After(wait, func() {
		if !inTime {
			abandoned = true
			breaker.Failed(sim.engine.SinceBoot())
			sim.count(func(m *Result) { m.LateCalls++ })
			r.instance.release(sim, key, message.Id)
			r.fallBack(fallback)
		}
	})
}

// findDispatcher returns the dispatcher, or its stand-in while the dispatcher is
// unresponsive, and the maximum wait for its answer. It returns false if calls to
// it are paused.
func (r *request) findDispatcher() (*instance, time.Duration, bool) {
	for _, to := range r.simulation.dispatchers[r.spec.Service] {
		if to == r.instance {
			return to, 0, true
		}
		breaker := r.instance.breaker(to)
		if wait, ok := breaker.Allow(r.simulation.engine.SinceBoot()); ok {
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
	sim, i := r.simulation, r.instance
	sentAt := sim.engine.SinceBoot()
	to, wait, ok := r.findDispatcher()
	if !ok || to == i {
		return nil
	}
	key, breaker := dispatcherKey{to, r.spec.Service}, i.breaker(to)
	message := r.reserveRequest()
	message.Chosen = target
	message.Released = i.pendingReleases[key]
	delete(i.pendingReleases, key)
	sim.count(func(m *Result) { m.Calls++ })
	answeredInTime := false
	sim.engine.After(callTimeout, func() {
		if !answeredInTime {
			breaker.Failed(sim.engine.SinceBoot())
		}
	})
	sim.deliver(to, func() {
		reply := key.to.dispatcher.HandleReserve(message)
		sim.engine.After(sim.peerDelay(), func() {
			if sim.engine.SinceBoot()-sentAt > callTimeout {
				return
			}
			answeredInTime = true
			late := sim.engine.SinceBoot()-sentAt > wait
			breaker.Answered(sim.engine.SinceBoot()-sentAt, !late)
			if late {
				breaker.Failed(sim.engine.SinceBoot())
			}
			i.applyReplyFlags(sim, key, reply)
		})
	})
	return func() { i.release(sim, key, message.Id) }
}

// handleReply sends the request to the target of the reply or, without one, to
// that of the fallback. If the service is full, it asks again later or refuses the
// request.
func (r *request) handleReply(fallback proxy.Attempt, to *instance, reply *peerpb.ReserveReply) {
	sim := r.simulation
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
		if !reply.Waiting || sim.engine.SinceBoot()+retry >= min(r.askedAt+maxWait, r.spec.Deadline) {
			r.instance.release(sim, dispatcherKey{to, r.spec.Service}, r.id)
			r.countRefused(false)
			return
		}
		sim.engine.After(retry, func() { r.askDispatcher(nil) })
	}
}

// useGrant sends the request to the granted target, unless the balancer of the
// instance refuses it.
func (r *request) useGrant(fallback proxy.Attempt, key dispatcherKey, reply *peerpb.ReserveReply) {
	id := r.id
	done := func() { r.instance.release(r.simulation, key, id) }
	if fallback != nil && fallback.Target() == reply.Target {
		r.send(fallback, done)
		return
	}
	others := []string{""}
	for name := range r.simulation.config.Config.Services[r.spec.Service].Targets {
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
func (i *instance) applyReplyFlags(sim *simulation, key dispatcherKey, reply *peerpb.ReserveReply) {
	if !reply.GetDispatcher() {
		i.breaker(key.to).Declined(sim.engine.SinceBoot())
	}
	if reply.GetBusy() {
		i.busyUntil[key] = sim.engine.SinceBoot() + dispatch.BusyFor
	}
}

// needsReservation reports whether the request asks for a slot before it is
// written, according to the policy.
func (r *request) needsReservation() bool {
	sim := r.simulation
	switch {
	case sim.policy == ReserveAll:
		return true
	case sim.policy != ReserveNonIdempotent:
		return false
	case !r.spec.Idempotent:
		return true
	}
	for _, to := range sim.dispatchers[r.spec.Service] {
		if to == r.instance {
			return true
		}
		if !r.instance.breaker(to).Unresponsive() {
			return sim.engine.SinceBoot() < r.instance.busyUntil[dispatcherKey{to, r.spec.Service}]
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
func (i *instance) release(sim *simulation, key dispatcherKey, id uint64) {
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
	sim.engine.After(dispatch.ReleaseDelay, func() {
		ids := i.pendingReleases[key]
		delete(i.pendingReleases, key)
		delete(i.releaseScheduled, key)
		if len(ids) == 0 {
			return
		}
		sim.count(func(m *Result) { m.Calls++ })
		sim.deliver(key.to, func() { send(ids) })
	})
}
