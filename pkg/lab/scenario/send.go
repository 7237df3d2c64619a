package scenario

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// answerTimeout is longer than the deadline of a route and of the fence.
	answerTimeout = 10 * time.Second
	bodyBytes     = 256 // of an answer of a simulated target
)

// record is one request that a script sent.
type record struct {
	id         string
	team       string
	route      string
	idempotent bool
	sent       time.Time
	ended      time.Time
	status     int
	code       refusal.Code
	outcome    refusal.Outcome
	// whole tells that the answer is complete and belongs to the request.
	whole bool
	// dialed tells that the request reached a connection.
	dialed bool
	err    error
}

func (r *record) notRun() bool { return r.err == nil && r.outcome == refusal.OutcomeNotRun }

func (r *record) describe() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no answer: %v", r.id, r.err)
	}
	return fmt.Sprintf("%s: status %d, code %q, outcome %q, whole %t", r.id, r.status, r.code, r.outcome, r.whole)
}

// connection is a keep-alive connection of a caller.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// request is what a script sends.
type request struct {
	team  string
	key   string
	route string
	id    string
	// claim is the idempotency key.
	claim string
	// keepAlive leaves the connection open.
	keepAlive bool
}

// exchange writes the request and reads the answer.
func (c *connection) exchange(r request) (*http.Response, []byte, error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout)) // fails only on a closed connection
	var b bytes.Buffer
	method := http.MethodPost
	if r.route == readRoute {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: fleet\r\nX-Arbutus-Key: %s\r\nX-Request-Id: %s\r\n", method, r.route, r.id, r.key, r.id)
	if r.claim != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.claim)
	}
	if !r.keepAlive {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return nil, nil, errors.WithStack(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	body, err := io.ReadAll(response.Body)
	return response, body, errors.WithStack(err)
}

// send sends one request on a connection, or on one of its own when c is nil.
func (w *world) send(c *connection, address string, r request) *record {
	rec := &record{id: r.id, team: r.team, route: r.route, idempotent: r.route == readRoute, sent: time.Now()}
	w.add(rec)
	if c == nil {
		own, err := dial(address)
		if err != nil {
			rec.ended, rec.err = time.Now(), err
			return rec
		}
		defer own.close()
		c = own
	}
	response, body, err := c.exchange(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.ended, rec.dialed, rec.err = time.Now(), true, err
	if err != nil {
		return rec
	}
	rec.status = response.StatusCode
	rec.code = refusal.Code(response.Header.Get(refusal.CodeHeader))
	rec.outcome = refusal.Outcome(response.Header.Get(refusal.OutcomeHeader))
	rec.whole = rec.status == http.StatusOK && rec.code == "" && bytes.Equal(body, targetsim.Body(r.id, bodyBytes))
	return rec
}

func (w *world) add(r *record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return "r" + strconv.Itoa(w.nextID)
}

// expectation is what an answer must be; empty fields allow every value.
type expectation struct{ status, code, outcome string }

func expected(a *arguments) expectation {
	return expectation{status: a.text("status", ""), code: a.text("code", ""), outcome: a.text("outcome", "")}
}

func (e expectation) met(r *record) bool {
	if r.err != nil {
		return e.status == "none"
	}
	if r.status == http.StatusOK && !r.whole {
		return false
	}
	return among(e.status, strconv.Itoa(r.status)) && among(e.code, string(r.code)) && among(e.outcome, string(r.outcome))
}

// sendCommand sends requests that must each be answered as expected; with
// within, it repeats until one is, which must happen in that time from now, or
// from a mark that is given as since. With for, it repeats for that time from
// the mark.
func (w *world) sendCommand(a *arguments) error {
	r := request{
		team: a.text("team", "red"), route: a.text("route", readRoute), claim: a.text("claim", ""), id: a.text("id", ""),
	}
	r.key = a.text("key", w.keys[r.team])
	count, within, since, e := a.number("n", 1), a.duration("within", 0), a.text("since", ""), expected(a)
	parallel, lasting := a.has("parallel"), a.duration("for", 0)
	via := a.index(a.text("via", "1"))
	var c *connection
	if name := a.text("conn", ""); name != "" {
		if c = w.conns[name]; c == nil {
			a.fail(usage("there is no connection %q", name))
		}
		r.keepAlive = true
	}
	if err := a.finish(); err != nil {
		return err
	}
	address := w.fleet.Instances[via].Settings.CallerAddress
	if lasting > 0 {
		return w.sendFor(c, address, r, e, lasting, since)
	}
	if within > 0 {
		return w.sendUntil(c, address, r, e, within, since)
	}
	if parallel {
		return w.sendParallel(address, r, e, count)
	}
	for range count {
		if rec := w.send(c, address, w.numbered(r)); !e.met(rec) {
			return unmet("expected %+v, got %s", e, rec.describe())
		}
	}
	return nil
}

func (w *world) numbered(r request) request {
	if r.id == "" {
		r.id = w.newID()
	}
	return r
}

func (w *world) sendUntil(c *connection, address string, r request, e expectation, within time.Duration, since string) error {
	if since != "" {
		from, err := w.markOf(since)
		if err != nil {
			return err
		}
		within -= time.Since(from)
	}
	var last *record
	if !until(within, func() bool {
		last = w.send(c, address, w.numbered(r))
		return e.met(last)
	}) {
		return unmet("expected %+v in time, last got %s", e, last.describe())
	}
	return nil
}

// sendFor sends requests for a time from a mark; each must be answered as expected.
func (w *world) sendFor(c *connection, address string, r request, e expectation, lasting time.Duration, since string) error {
	from, err := w.markOf(since)
	if err != nil {
		return err
	}
	for time.Since(from) < lasting {
		if rec := w.send(c, address, w.numbered(r)); !e.met(rec) {
			return unmet("expected %+v, got %s, %s after %s", e, rec.describe(), rec.sent.Sub(from), since)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (w *world) sendParallel(address string, r request, e expectation, count int) error {
	records := make([]*record, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { records[i] = w.send(nil, address, w.numbered(r)) })
	}
	group.Wait()
	for _, rec := range records {
		if !e.met(rec) {
			return unmet("expected %+v, got %s", e, rec.describe())
		}
	}
	return nil
}
