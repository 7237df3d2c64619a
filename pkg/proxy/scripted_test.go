package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

const (
	// scriptedReceiveBuffer keeps the kernel from taking a long body whole. A buffer smaller than
	// a segment of the loopback interface would stall the connection.
	scriptedReceiveBuffer = 256 << 10
	// longBody exceeds what the buffers of both ends of a connection hold.
	longBody = 8 << 20
	// readOnPause is the time for which a target that has begun an early answer reads nothing, and
	// then the time for which it waits for the rest of the body. It is longer than the PollInterval
	// after which the proxy looks for an answer.
	readOnPause = 30 * time.Millisecond
	// bodyByte fills all bodies. No head of a request begins with it.
	bodyByte = 'b'
)

// answerKind is how a scripted target treats a request.
type answerKind int

const (
	// answers and fails run the request after its body has come, rejects reads the body and says
	// that it did not run it.
	answers answerKind = iota
	fails
	rejects
	// answersEarly, rejectsEarly and breaksEarly respond before they read the body, and read on.
	answersEarly
	rejectsEarly
	breaksEarly
	// runsAndCloses and runsAndBreaks run the request and bring no whole response.
	runsAndCloses
	runsAndBreaks
	// closes ends the connection without having run the request; nothing says so.
	closes
	answerKinds
)

// script is the behaviour of a target for one request. after is the delay of what it sends.
type script struct {
	kind  answerKind
	after time.Duration
}

// scriptedTargets are two targets on loopback that follow the scripts of the requests.
type scriptedTargets struct {
	addresses []string

	mu sync.Mutex
	// scripts holds what to do at the first and the second target, by the id of the request;
	// others are answered.
	scripts map[string][2]script
	// runs counts how often a request ran. foreign lists the bytes that were no part of the body
	// in which they came.
	runs    map[string]int
	foreign []string
}

func newScriptedTargets(t testing.TB) *scriptedTargets {
	s := &scriptedTargets{scripts: map[string][2]script{}, runs: map[string]int{}}
	for n := range 2 {
		listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (failed error) {
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, scriptedReceiveBuffer)
			})
			if err != nil {
				return err
			}
			return failed
		}}
		ln, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		s.addresses = append(s.addresses, ln.Addr().String())
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				go s.serve(c, n)
			}
		}()
	}
	return s
}

func (s *scriptedTargets) serve(c net.Conn, target int) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil || !s.handle(c, request, target) {
			return
		}
	}
}

// handle follows the script of one request. It returns false when the connection ends.
func (s *scriptedTargets) handle(c net.Conn, request *http.Request, target int) bool {
	id := request.Header.Get(requestIDHeader)
	s.mu.Lock()
	todo := s.scripts[id][target]
	s.mu.Unlock()
	early := todo.kind == answersEarly || todo.kind == rejectsEarly || todo.kind == breaksEarly
	if !early && !s.readBody(id, request.Body) {
		return false
	}
	if todo.kind != rejects && todo.kind != rejectsEarly && todo.kind != closes {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
	time.Sleep(todo.after)
	text, keep := answerText(todo.kind, id)
	if !early {
		_, err := io.WriteString(c, text)
		return err == nil && keep
	}
	return s.answerEarly(c, request.Body, id, text) && keep && s.readBody(id, request.Body)
}

// answerEarly begins the answer before it reads the body, and ends it when nothing more of the
// body comes.
func (s *scriptedTargets) answerEarly(c net.Conn, body io.Reader, id, text string) bool {
	if _, err := io.WriteString(c, text[:len(text)/2]); err != nil {
		return false
	}
	time.Sleep(readOnPause)
	_ = c.SetReadDeadline(time.Now().Add(readOnPause))
	whole := s.readBody(id, body)
	_ = c.SetReadDeadline(time.Time{})
	_, err := io.WriteString(c, text[len(text)/2:])
	return err == nil && (whole || len(s.foreignBytes()) == 0)
}

// answerText returns what a target sends, and whether it keeps the connection.
func answerText(kind answerKind, id string) (text string, keep bool) {
	status, lines, body := "200 OK", "", "ok "+id
	switch kind {
	case rejects, rejectsEarly:
		status, lines, body = "503 Full", "X-Not-Run: 1\r\n", ""
	case fails:
		status, body = "500 Internal Server Error", "no"
	case runsAndCloses, closes:
		return "", false
	}
	text = fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, requestIDHeader, id, lines, len(body), body)
	if kind == runsAndBreaks || kind == breaksEarly {
		return text[:len(text)-1], false
	}
	return text, true
}

// readBody reads a body, and notes bytes in it that are no part of it.
func (s *scriptedTargets) readBody(id string, body io.Reader) bool {
	buffer := make([]byte, 64<<10)
	for {
		n, err := body.Read(buffer)
		if other := bytes.TrimLeft(buffer[:n], string(bodyByte)); len(other) > 0 {
			line, _, _ := strings.Cut(string(other), "\r\n")
			s.mu.Lock()
			s.foreign = append(s.foreign, fmt.Sprintf("in the body of %s: %q", id, line))
			s.mu.Unlock()
			return false
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// set gives a request its scripts.
func (s *scriptedTargets) set(id string, first, second script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[id] = [2]script{first, second}
}

// ran reports whether a request has run.
func (s *scriptedTargets) ran(id string) bool { return s.runCount(id) > 0 }

// runCount returns how often a request has run.
func (s *scriptedTargets) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// foreignBytes returns what came inside of bodies to which it did not belong.
func (s *scriptedTargets) foreignBytes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign
}

// newScriptedProxy starts a proxy in front of scripted targets, with a route /get for requests
// that may be repeated once.
func newScriptedProxy(t testing.TB, s *scriptedTargets, timeout time.Duration, options Options) *testProxy {
	options.Dialect, options.PollInterval, options.MaxRequestBody = testDialect(), 10*time.Millisecond, 2*longBody
	options.NonIdempotentMaxIdle = time.Second
	r := newTestProxy(t, options, s.addresses...)
	r.publish(func(c *config.Config) {
		get := c.Routes["get"]
		get.TimeoutMS, get.MaxAttempts = int(timeout.Milliseconds()), 2
		c.Routes = map[string]config.Route{"get": get, "put": c.Routes["put"]}
	})
	return r
}

// idLine is the header line with the id of a request.
func idLine(id string) string { return requestIDHeader + ": " + id }
