//go:build review3

package cases3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longBody is the size of the long requests, an eighth of the configured max_body_bytes.
	longBody = 8 << 20
	// readPause is the time without a byte after which a target that has begun its answer early
	// ends it and reads on.
	readPause = 100 * time.Millisecond
	// usualWork and slowFactor are the work of a request and how many times as long it takes at a
	// slow target, both as in the site file.
	usualWork  = 320 * time.Millisecond
	slowFactor = 12
	// earlyTargets is the number of targets, of which slowTargets are slow.
	earlyTargets, slowTargets = 5, 2
	earlyRounds               = 3
)

// runEarlyAnswer sends long requests that may be repeated to targets that answer such requests
// before they have read the body. With trouble, two of the five targets are slow.
func runEarlyAnswer(b *bed, trouble bool) (broken bool, err error) {
	var foreign atomic.Int64
	for n := range earlyTargets {
		t := &target{}
		slow := trouble && n < slowTargets
		t.serve = func(c net.Conn, r *bufio.Reader, q targetRequest) bool {
			b.record.printf("target %s gets %s %s from %s", t.id, q.method, q.path, c.RemoteAddr())
			switch {
			case slow:
				return t.answer(c, r, q, slowFactor*usualWork)
			case q.length >= longBody:
				return t.answerEarly(c, r, q, &foreign)
			default:
				return t.answer(c, r, q, usualWork/8)
			}
		}
		if err := b.startTarget(fmt.Sprintf("i-%d", n+1), t); err != nil {
			return false, err
		}
	}
	for range 2 {
		if _, err := b.startEdge(true); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	for n := range earlyRounds {
		var round sync.WaitGroup
		for i, e := range b.edges {
			round.Go(func() { b.sendLongAndShort(e, fmt.Sprintf("%d-%d", i+1, n+1)) })
		}
		round.Wait()
	}
	b.record.printf("%d times a target got other bytes where the rest of a body was due", foreign.Load())
	return foreign.Load() > 0, nil
}

// sendLongAndShort sends long requests at the same time, and then short ones.
func (b *bed) sendLongAndShort(e *edge, name string) {
	body := bytes.Repeat([]byte("b"), longBody)
	send := func(method, path, id string, body []byte) {
		a := b.call(e, method, path+id, id, body)
		b.record.printf("caller: %s %s%s answered %v", method, path, id, a)
	}
	var calls sync.WaitGroup
	for k := range 3 {
		calls.Go(func() { send("POST", "/safe/", fmt.Sprintf("long-%s-%d", name, k+1), body) })
	}
	calls.Wait()
	for k := range 3 {
		calls.Go(func() { send("GET", "/safe/", fmt.Sprintf("read-%s-%d", name, k+1), nil) })
		calls.Go(func() { send("POST", "/unsafe/", fmt.Sprintf("order-%s-%d", name, k+1), []byte("one seat")) })
	}
	calls.Wait()
}

// answerEarly writes the first part of the answer, reads what has come of the body, writes the
// rest of the answer, and reads on.
func (t *target) answerEarly(c net.Conn, r *bufio.Reader, q targetRequest, foreign *atomic.Int64) bool {
	body := "body of " + q.id
	if _, err := io.WriteString(c, t.answerHead(q, 200, len(body))+body[:4]); err != nil {
		return false
	}
	t.record.printf("target %s begins its answer to %s before it has read the body", t.id, q.path)
	time.Sleep(2 * readPause)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	ended := false
	buffer := make([]byte, 64<<10)
	for left := q.length; left > 0; {
		_ = c.SetReadDeadline(time.Now().Add(readPause))
		if ended {
			_ = c.SetReadDeadline(time.Now().Add(routeTimeout))
		}
		n, err := r.Read(buffer[:min(left, len(buffer))])
		if other := bytes.TrimLeft(buffer[:n], "b"); len(other) > 0 {
			foreign.Add(1)
			line, _, _ := strings.Cut(string(other), "\r\n")
			t.record.printf("target %s: with %d bytes of the body of %s due, it gets %q", t.id, left, q.path, line)
			return false
		}
		left -= n
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !ended {
			ended = true
			_, err = io.WriteString(c, body[4:])
		}
		if err != nil {
			t.record.printf("target %s: the connection ends with %d bytes of the body of %s due: %v", t.id, left, q.path, err)
			return false
		}
	}
	if !ended {
		_, err := io.WriteString(c, body[4:])
		return err == nil
	}
	return true
}

// call sends one request on a new connection.
func (b *bed) call(e *edge, method, path, id string, body []byte) answer {
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * routeTimeout))
	head := requestHead(method, path, id, routeTimeout)
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}
