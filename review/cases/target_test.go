//go:build review

package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a target of the platform: it lists itself in the store, runs requests and answers
// them with their id and its signature.
type target struct {
	lab               *lab
	id, service, zone string
	address           string
	slots             int
	// work is how long a request takes; nil means 20 ms.
	work func(r *run) time.Duration
	// answer writes the answer; nil means writeAnswer. It reports whether the connection stays
	// open.
	answer func(c net.Conn, r *run) bool

	listener net.Listener
	born     int64

	mu    sync.Mutex
	state string
	seq   int
	runs  []*run
	// gone says that the target no longer reports, goneAt is when the store had removed its
	// entry.
	gone   bool
	goneAt time.Time
}

// run is a request that a target has run.
type run struct {
	id, method, path, host, target, service string
	header                                  http.Header
	body                                    []byte
	began, ended                            time.Time
	// callerLeft says that the connection closed while the request ran.
	callerLeft bool
}

func (l *lab) addTarget(id, service, zone string, slots int) *target {
	t := &target{lab: l, id: id, service: service, zone: zone, slots: slots, state: "ready", born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.fail("target: %v", err)
	}
	t.listener, t.address = listener, listener.Addr().String()
	go t.accept()
	t.report()
	go t.reportEach()
	return t
}

// report writes the target's entry into the store.
func (t *target) report() {
	t.mu.Lock()
	if t.gone {
		t.mu.Unlock()
		return
	}
	t.seq++
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup_left":"0ms"}}`,
		t.address, t.born, t.service, t.zone, t.slots, t.state, t.seq)
	t.mu.Unlock()
	t.lab.store.Put("servers", t.id, []byte(entry))
}

func (t *target) reportEach() {
	for {
		select {
		case <-t.lab.ctx.Done():
			_ = t.listener.Close()
			return
		case <-time.After(heartbeat):
			t.report()
		}
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !t.handle(c, reader, request, body) {
			return
		}
	}
}

// handle answers one request. It reports whether the connection stays open.
func (t *target) handle(c net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool {
	id := request.Header.Get("Arbutuslink-Request-Id")
	if named := request.Header.Get("Arbutuslink-Target-Instance"); named != "" && named != t.id {
		t.lab.line("target %s: %s is meant for %s, not run", t.id, id, named)
		return writeNotRun(c, id, http.StatusMisdirectedRequest)
	}
	if id == "" {
		return writeNotRun(c, id, http.StatusBadRequest)
	}
	r := &run{
		id: id, method: request.Method, path: request.RequestURI, host: request.Host, target: t.id, service: t.service,
		header: request.Header, body: body, began: time.Now(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, r)
	work, answer := t.work, t.answer
	t.mu.Unlock()
	t.lab.line("target %s of %s: runs %s %s %s tenant %q", t.id, t.service, id, r.method, r.path, request.Header["Arbutuslink-Tenant"])
	duration := 20 * time.Millisecond
	if work != nil {
		duration = work(r)
	}
	if !t.stayConnected(c, reader, duration) {
		r.callerLeft, r.ended = true, time.Now()
		t.lab.line("target %s: the connection of %s closed after %d ms of work", t.id, id, time.Since(r.began).Milliseconds())
		return false
	}
	r.ended = time.Now()
	t.lab.line("target %s: answers %s after %d ms", t.id, id, time.Since(r.began).Milliseconds())
	if answer != nil {
		return answer(c, r)
	}
	return writeAnswer(c, r)
}

// stayConnected waits for a duration. It reports whether the connection stayed open.
func (t *target) stayConnected(c net.Conn, reader *bufio.Reader, duration time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(duration))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	if err == nil {
		time.Sleep(duration)
		return true
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func writeNotRun(c net.Conn, id string, status int) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\nArbutuslink-Request-Id: "+id+
		"\r\nArbutuslink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// answerBody is the body of the answer to a request.
func answerBody(id, target string) string { return "answer to " + id + " by " + target }

func signature(id, target string) string { return target + "." + id }

func writeAnswer(c net.Conn, r *run) bool {
	body := answerBody(r.id, r.target)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nArbutuslink-Request-Id: %s\r\nArbutuslink-Server-Signature: %s\r\n\r\n%s",
		len(body), r.id, signature(r.id, r.target), body)
	return err == nil
}

// allRuns returns the requests that targets have run.
func allRuns(targets ...*target) []*run {
	var runs []*run
	for _, t := range targets {
		t.mu.Lock()
		runs = append(runs, t.runs...)
		t.mu.Unlock()
	}
	return runs
}
