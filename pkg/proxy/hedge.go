package proxy

import "time"

// hedge writes the request to a second target. It returns nil when there is no
// budget or no target for it; the first attempt then goes on alone.
func (x *exchange) hedge(now time.Time) *exchange {
	if !x.timeLeft() || !x.p.Balancer.MayRetry(x.request) {
		return nil
	}
	attempt, err := x.p.Balancer.Acquire(x.request, x.tried)
	if err != nil {
		return nil
	}
	x.tried = append(x.tried, attempt.Target())
	// The first response may arrive meanwhile, so connecting must not take long.
	conn, err := x.p.pool.get(attempt.Address(), 0, earliest(now.Add(x.p.options.PollInterval), x.ioDeadline))
	if err != nil {
		attempt.Done(NotSent, 0, Load{})
		return nil
	}
	if err := x.recheck(); err != nil {
		x.giveUp(conn, attempt)
		return nil
	}
	second := &exchange{call: x.call, conn: conn, attempt: attempt, began: x.p.Clock.SinceBoot()}
	if err := second.write(); err != nil {
		second.drop(err)
		return nil
	}
	return second
}

// drop closes an exchange that does not give the response.
func (x *exchange) drop(err error) {
	x.p.pool.discard(x.conn)
	_ = x.fail(err)
}

// raceEvent tells that a response has begun, or that the wait for it failed.
type raceEvent struct {
	x   *exchange
	err error
}

// race waits for the first byte from either target and makes x the exchange
// that got it. The other connection is closed, which cancels its request.
func (x *exchange) race(second *exchange) error {
	first := *x
	events := make(chan raceEvent, 2)
	for _, contender := range []*exchange{&first, second} {
		// The goroutine ends with the deadline or with the connection.
		go func() {
			err := contender.conn.SetReadDeadline(contender.ioDeadline)
			if err == nil {
				_, err = contender.conn.reader.Peek(1)
			}
			events <- raceEvent{contender, err}
		}()
	}
	ticker := time.NewTicker(x.p.options.PollInterval)
	defer ticker.Stop()
	running, gone := 2, false
	for {
		select {
		case e := <-events:
			running--
			if gone {
				e.err = &CallerGoneError{}
			}
			other := second
			if e.x == second {
				other = &first
			}
			x.conn, x.attempt, x.began = e.x.conn, e.x.attempt, e.x.began
			if e.err == nil && running == 1 {
				_ = other.conn.Close()
				<-events
				other.drop(&CallerGoneError{})
			}
			if e.err == nil || running == 0 {
				return e.raceError()
			}
			e.x.drop(e.raceError())
		case <-ticker.C:
			if peek(x.caller.Conn()) != closedByPeer {
				continue
			}
			gone = true
			_, _ = first.conn.Close(), second.conn.Close()
		}
	}
}

func (e raceEvent) raceError() error {
	if e.err == nil {
		return nil
	}
	return exchangeError(AwaitingAnswer, e.err)
}
