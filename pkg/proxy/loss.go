package proxy

import (
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
)

// lossChecks finds out whether targets that have lost the connection of a request still
// accept connections. It is safe for concurrent use.
type lossChecks struct {
	pool *connPool

	mu sync.Mutex
	// running holds the checks in progress by the address of the target.
	running map[string]*lossCheck
}

// lossCheck is the check of one target.
type lossCheck struct {
	// done is closed when the check has ended; ended tells the result.
	done  chan struct{}
	ended bool
}

func newLossChecks(pool *connPool) *lossChecks {
	return &lossChecks{pool: pool, running: map[string]*lossCheck{}}
}

// start begins a check of the target at an address, or returns the one in progress.
func (l *lossChecks) start(address string) *lossCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	check := l.running[address]
	if check == nil {
		check = &lossCheck{done: make(chan struct{})}
		l.running[address] = check
		go l.run(address, check)
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
	delete(l.running, address)
	l.mu.Unlock()
	check.ended = err != nil
	close(check.done)
}

// connectionLost reports whether an exchange failed because its connection ended, and
// not because of what the target sent or a timeout.
func connectionLost(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// observeLoss checks the target of an exchange whose connection ended, and logs the
// request if the target has ended with it.
func (x *exchange) observeLoss() {
	// The call may end before the check does.
	p := x.p
	check := p.lossChecks.start(x.attempt.Address())
	line := lostRequest{
		id: x.requestID, service: x.request.Service, target: x.attempt.Target(), digest: x.digest(),
		reused: x.conn.idleSince > 0, elapsed: p.Clock.SinceBoot() - x.beganAt,
	}
	go func() {
		<-check.done
		if check.ended {
			line.log(p)
		}
	}()
}

// lostRequest describes a request whose target ended.
type lostRequest struct {
	id, service, target string
	digest              quarantine.Digest
	reused              bool
	elapsed             time.Duration
}

func (r lostRequest) log(p *Proxy) {
	event.TargetEnded.Log(p.Log).Str("target", r.target).Str("service", r.service).Str("request_id", r.id).
		Stringer("digest", r.digest).Bool("reused_connection", r.reused).Int64("elapsed_us", r.elapsed.Microseconds()).Send()
}

// digest returns the digest of the caller's request.
func (c *call) digest() quarantine.Digest {
	return quarantine.DigestOf(c.request.Team, c.method, c.host, string(c.caller.Request.Header.RequestURI()), c.caller.Request.Body())
}
