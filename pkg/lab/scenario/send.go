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
	// answerTimeout is longer than the timeout of a route and than the fence
	// validity.
	answerTimeout = 10 * time.Second
	// answerBytes is the size of the body of a simulated target's answer.
	answerBytes = 256
)

// record is one request that a script sent, and its result. endedAt is zero while
// the request is in progress.
type record struct {
	id         string
	team       string
	route      string
	idempotent bool
	sentAt     time.Time
	endedAt    time.Time
	status     int
	code       refusal.Code
	outcome    refusal.Outcome
	// complete is true if the answer has status 200, is complete and belongs to the
	// request.
	complete bool
	// connected is true if a connection to an instance was open for the request.
	connected bool
	err       error
}

// notRun reports whether the answer states that no target ran the request.
func (r *record) notRun() bool { return r.err == nil && r.outcome == refusal.OutcomeNotRun }

func (r *record) describe() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no answer: %v", r.id, r.err)
	}
	return fmt.Sprintf("%s: status %d, code %q, outcome %q, complete %t", r.id, r.status, r.code, r.outcome, r.complete)
}

// connection is a connection of a caller to an instance.
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

// request describes a request that a script sends.
type request struct {
	team  string
	key   string
	route string
	id    string
	// idempotencyKey is sent as a header if it is not empty.
	idempotencyKey string
	// keepAlive leaves the connection open after the answer.
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
	if r.idempotencyKey != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.idempotencyKey)
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

// send sends one request on c, or on a new connection to address if c is nil, and
// records it.
func (tb *testbed) send(c *connection, address string, r request) *record {
	rec := &record{id: r.id, team: r.team, route: r.route, idempotent: r.route == readRoute, sentAt: time.Now()}
	tb.add(rec)
	if c == nil {
		own, err := dial(address)
		if err != nil {
			rec.endedAt, rec.err = time.Now(), err
			return rec
		}
		defer own.close()
		c = own
	}
	response, body, err := c.exchange(r)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rec.endedAt, rec.connected, rec.err = time.Now(), true, err
	if err != nil {
		return rec
	}
	rec.status = response.StatusCode
	rec.code = refusal.Code(response.Header.Get(refusal.CodeHeader))
	rec.outcome = refusal.Outcome(response.Header.Get(refusal.OutcomeHeader))
	rec.complete = rec.status == http.StatusOK && rec.code == "" && bytes.Equal(body, targetsim.Body(r.id, answerBytes))
	return rec
}

func (tb *testbed) add(r *record) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.records = append(tb.records, r)
}

func (tb *testbed) newID() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.nextID++
	return "r" + strconv.Itoa(tb.nextID)
}

// expectation describes the allowed answers. Each field is a comma-separated list
// of values; an empty one allows every value. An answer with status 200 must also be
// complete. The status "none" matches requests without an answer.
type expectation struct{ status, code, outcome string }

func parseExpectation(a *arguments) expectation {
	return expectation{status: a.text("status", ""), code: a.text("code", ""), outcome: a.text("outcome", "")}
}

func (e expectation) matches(r *record) bool {
	if r.err != nil {
		return e.status == "none"
	}
	if r.status == http.StatusOK && !r.complete {
		return false
	}
	return inList(e.status, strconv.Itoa(r.status)) && inList(e.code, string(r.code)) && inList(e.outcome, string(r.outcome))
}

// sendCommand sends requests that must each be answered as expected. With the
// argument within, it repeats the request until the answer is as expected, at most
// for that time from now or from the mark in since. With the argument for, it
// repeats the request for that time from the mark.
func (tb *testbed) sendCommand(a *arguments) error {
	r := request{
		team: a.text("team", "red"), route: a.text("route", readRoute), idempotencyKey: a.text("claim", ""), id: a.text("id", ""),
	}
	r.key = a.text("key", tb.keys[r.team])
	count, within, since, e := a.number("n", 1), a.duration("within", 0), a.text("since", ""), parseExpectation(a)
	parallel, repeatFor := a.has("parallel"), a.duration("for", 0)
	via := a.index(a.text("via", "1"))
	var c *connection
	if name := a.text("conn", ""); name != "" {
		if c = tb.conns[name]; c == nil {
			a.fail(usage("no connection is named %q", name))
		}
		r.keepAlive = true
	}
	if err := a.validate(); err != nil {
		return err
	}
	address := tb.fleet.Instances[via].Settings.CallerAddress
	if repeatFor > 0 {
		return tb.sendFor(c, address, r, e, repeatFor, since)
	}
	if within > 0 {
		return tb.sendUntil(c, address, r, e, within, since)
	}
	if parallel {
		return tb.sendParallel(address, r, e, count)
	}
	for range count {
		if rec := tb.send(c, address, tb.withID(r)); !e.matches(rec) {
			return unmet("expected %+v, got %s", e, rec.describe())
		}
	}
	return nil
}

// withID gives the request a new id unless it has one.
func (tb *testbed) withID(r request) request {
	if r.id == "" {
		r.id = tb.newID()
	}
	return r
}

// sendUntil repeats a request until it is answered as expected, at most for within
// from now, or from the mark in since if there is one.
func (tb *testbed) sendUntil(c *connection, address string, r request, e expectation, within time.Duration, since string) error {
	if since != "" {
		from, err := tb.markTime(since)
		if err != nil {
			return err
		}
		within -= time.Since(from)
	}
	var last *record
	if !pollUntil(within, func() bool {
		last = tb.send(c, address, tb.withID(r))
		return e.matches(last)
	}) {
		return unmet("expected %+v in time, last answer: %s", e, last.describe())
	}
	return nil
}

// sendFor sends requests for a time from a mark; each must be answered as expected.
func (tb *testbed) sendFor(c *connection, address string, r request, e expectation, repeatFor time.Duration, since string) error {
	from, err := tb.markTime(since)
	if err != nil {
		return err
	}
	for time.Since(from) < repeatFor {
		if rec := tb.send(c, address, tb.withID(r)); !e.matches(rec) {
			return unmet("expected %+v, got %s, %s after mark %s", e, rec.describe(), rec.sentAt.Sub(from), since)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// sendParallel sends count requests at once, each on a connection of its own.
func (tb *testbed) sendParallel(address string, r request, e expectation, count int) error {
	records := make([]*record, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { records[i] = tb.send(nil, address, tb.withID(r)) })
	}
	group.Wait()
	for _, rec := range records {
		if !e.matches(rec) {
			return unmet("expected %+v, got %s", e, rec.describe())
		}
	}
	return nil
}
