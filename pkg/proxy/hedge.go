package proxy

import "time"

// hedge writes the request to a second target and returns that exchange. It
// returns nil if the retry budget, the time left or the lack of a usable target
// prevents it; the first attempt then continues alone.
func (x *exchange) hedge(now time.Time) *exchange {
	if !x.hasTimeForRetry() || x.suspicion.Crashes > 0 || !x.p.Balancer.TakeRetry(x.request) {
		return nil
	}
	attempt, err := x.p.Balancer.Acquire(x.request, x.triedTargets)
	if err != nil {
		return nil
	}
	x.triedTargets = append(x.triedTargets, attempt.Target())
	// The first response may arrive meanwhile, so connecting is limited to PollInterval.
	conn, err := x.p.pool.get(attempt.Address(), 0, earliest(now.Add(x.p.options.PollInterval), x.ioDeadline))
	if err != nil {
		attempt.Done(NotSent, 0, Load{})
		return nil
	}
	if err := x.recheckAdmission(); err != nil {
		x.releaseUnwritten(conn, attempt)
		return nil
	}
	second := &exchange{call: x.call, conn: conn, attempt: attempt, beganAt: x.p.Clock.SinceBoot(), suspicion: x.call.suspicion}
	if err := second.write(); err != nil {
		second.abort(err)
		return nil
	}
	return second
}

// abort closes the connection of an exchange whose response will not be used,
// and reports its result.
func (x *exchange) abort(err error) {
	x.p.pool.discard(x.conn)
	_ = x.reportFailure(err)
}

// raceResult says that the response to an exchange has begun, or with err that
// the wait for it failed.
type raceResult struct {
	x   *exchange
	err error
}

// race waits for the first byte from either target and copies the exchange that
// received it into x. The other connection is closed, which cancels its request.
func (x *exchange) race(second *exchange) error {
	first := *x
	events := make(chan raceResult, 2)
	for _, contender := range []*exchange{&first, second} {
		// The goroutine ends at the deadline or when the connection is closed.
		go func() {
			err := contender.conn.SetReadDeadline(contender.ioDeadline)
			if err == nil {
				_, err = contender.conn.reader.Peek(1)
			}
			events <- raceResult{contender, err}
		}()
	}
	ticker := time.NewTicker(x.p.options.PollInterval)
	defer ticker.Stop()
	pending, callerGone := 2, false
	for {
		select {
		case e := <-events:
			pending--
			if callerGone {
				e.err = &CallerGoneError{}
			}
			other := second
			if e.x == second {
				other = &first
			}
			x.conn, x.attempt, x.beganAt, x.suspicion = e.x.conn, e.x.attempt, e.x.beganAt, e.x.suspicion
			if e.err == nil && pending == 1 {
				_ = other.conn.Close()
				<-events
				other.abort(&CallerGoneError{})
			}
			if e.err == nil || pending == 0 {
				return e.asExchangeError()
			}
			e.x.abort(e.asExchangeError())
		case <-ticker.C:
			if peek(x.caller.Conn()) != closedByPeer {
				continue
			}
			callerGone = true
			_, _ = first.conn.Close(), second.conn.Close()
		}
	}
}

// asExchangeError returns err as an ExchangeError of the wait for a response.
func (e raceResult) asExchangeError() error {
	if e.err == nil {
		return nil
	}
	return newExchangeError(AwaitingResponse, e.err)
}
