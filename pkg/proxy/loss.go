package proxy

import (
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// lossJoinPeriod is how long the end of a target is remembered, so that requests which
	// notice it later are judged together with the first ones.
	lossJoinPeriod = 250 * time.Millisecond
	// maxLossWait is how long a request waits to learn whether its target has ended before
	// it goes to another one. A round trip between zones takes 3 ms.
	maxLossWait = 50 * time.Millisecond
)

// lossChecks finds out whether targets that have lost the connection of a request have
// ended. It is safe for concurrent use.
type lossChecks struct {
	pool       *connPool
	quarantine *quarantine.List

	mu sync.Mutex
	// current holds the checks in progress by the address of the target, and those that
	// found a target ended within lossJoinPeriod.
	current map[string]*lossCheck
}

// lossCheck is the check of one target.
type lossCheck struct {
	// done is closed when the check has ended; ended then tells the result.
	done  chan struct{}
	ended bool
	// losses are the requests that the target lost, until the check has ended.
	losses []quarantine.Loss
	// mostCrashes is the greatest number of crashes known of one of them.
	mostCrashes uint32
}

func newLossChecks(pool *connPool, q *quarantine.List) *lossChecks {
	return &lossChecks{pool: pool, quarantine: q, current: map[string]*lossCheck{}}
}

// add begins a check of the target at an address, or joins the current one.
func (l *lossChecks) add(address string, loss quarantine.Loss) *lossCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	check := l.current[address]
	if check == nil {
		check = &lossCheck{done: make(chan struct{})}
		l.current[address] = check
		go l.run(address, check)
	}
	late := check.ended && loss.Known.Crashes >= check.mostCrashes
	check.mostCrashes = max(check.mostCrashes, loss.Known.Crashes)
	if late {
		l.quarantine.RecordCrash([]quarantine.Loss{loss})
	} else {
		check.losses = append(check.losses, loss)
	}
	return check
}

// run connects to the target. The connection is kept for a later request.
func (l *lossChecks) run(address string, check *lossCheck) {
	conn, err := l.pool.dial(address, time.Now().Add(l.pool.options.ConnectTimeout))
	if err == nil {
		l.pool.put(conn)
	}
	l.mu.Lock()
	check.ended = err != nil
	if check.ended {
		l.quarantine.RecordCrash(check.losses)
		time.AfterFunc(lossJoinPeriod, func() { l.forget(address) })
	} else {
		delete(l.current, address)
	}
	l.mu.Unlock()
	close(check.done)
}

func (l *lossChecks) forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, address)
}

// connectionLost reports whether an exchange failed because its connection ended, and
// not because of what the target sent or a timeout.
func connectionLost(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// observeLoss begins the check of the target of an exchange whose connection ended, and
// logs the request if the target has ended with it.
func (x *exchange) observeLoss() {
	// The call may end before the check does.
	p, check := x.p, x.p.lossChecks.add(x.attempt.Address(), quarantine.Loss{Digest: x.requestDigest(), Known: x.suspicion})
	x.loss = check
	line := lostRequest{
		id: x.requestID, service: x.request.Service, target: x.attempt.Target(), digest: x.requestDigest(), crashes: x.suspicion.Crashes,
		reused: x.conn.idleSince > 0, elapsed: p.Clock.SinceBoot() - x.beganAt,
	}
	go func() {
		<-check.done
		if check.ended {
			line.log(p)
		}
	}()
}

// mayRetryAfterLoss reports whether the request may go to another target, as far as the
// loss of its connection tells: one that crashes targets must not reach all of them within
// its own attempts.
func (x *exchange) mayRetryAfterLoss() bool {
	if x.loss == nil {
		return true
	}
	select {
	case <-x.loss.done:
	case <-time.After(maxLossWait):
	}
	known, _ := x.p.Quarantine.Lookup(x.requestDigest())
	return known.MayRetry()
}

// lostRequest describes a request whose target ended.
type lostRequest struct {
	id, service, target string
	digest              quarantine.Digest
	crashes             uint32
	reused              bool
	elapsed             time.Duration
}

func (r lostRequest) log(p *Proxy) {
	event.TargetEnded.Log(p.Log).Str("target", r.target).Str("service", r.service).Str("request_id", r.id).Stringer("digest", r.digest).
		Uint32("crashes_before", r.crashes).Bool("reused_connection", r.reused).Int64("elapsed_us", r.elapsed.Microseconds()).Send()
}

// requestDigest returns the digest of the caller's request.
func (c *call) requestDigest() quarantine.Digest {
	if !c.hasDigest {
		c.digest = quarantine.DigestOf(c.request.Team, c.method, c.host, string(c.caller.Request.Header.RequestURI()), c.caller.Request.Body())
		c.hasDigest = true
	}
	return c.digest
}

// admitSuspect refuses a request that has crashed targets.
func (c *call) admitSuspect() (err error) {
	if c.p.Quarantine.Empty() {
		return nil
	}
	if c.suspicion, c.trial, err = c.p.Quarantine.Admit(c.requestDigest()); err != nil {
		return quarantineRefusal(err)
	}
	return nil
}

// recheckSuspect is admitSuspect immediately before a write.
func (c *call) recheckSuspect() error {
	if c.trial || c.p.Quarantine.Empty() {
		return nil
	}
	known, err := c.p.Quarantine.Lookup(c.requestDigest())
	if err != nil {
		return quarantineRefusal(err)
	}
	c.suspicion = known
	return nil
}

// quarantineRefusal returns the refusal of a request in quarantine.
func quarantineRefusal(err error) error {
	r := refusal.New(refusal.Quarantined, err)
	var q *quarantine.QuarantinedError
	if errors.As(err, &q) {
		r.RetryAfter = q.RetryAfter
	}
	return r
}
