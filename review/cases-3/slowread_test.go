//go:build review3

package cases3

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// largeAnswer is the size of an answer, receiveWindow that of the slow caller's receive buffer.
	// It reads readStep bytes in readInterval at most.
	largeAnswer   = 16 << 20
	receiveWindow = 192 << 10
	readStep      = 64 << 10
	readInterval  = 5 * time.Millisecond
	// sentAfter is the time from the SIGTERM to the request, readPauseEnd that from the request to
	// the end of the caller's pause.
	sentAfter    = 2300 * time.Millisecond
	readPauseEnd = 3700 * time.Millisecond
	// longTimeout is the route's timeout in the second version of the configuration, and the caller's
	// time limit.
	longTimeout = 5 * time.Second
	// workEnd is the time after the SIGTERM at which the last sixth of the grace period begins.
	workEnd = grace * 5 / 6
)

// runSlowReader stops an instance in a planned way (with trouble). A caller that holds its address
// sends a request after the SIGTERM. It reads the answer until the target has written it whole,
// pauses, and reads the rest, all within its time limit.
func runSlowReader(b *bed, trouble bool) (broken bool, err error) {
	body := bytes.Repeat([]byte("0123456789abcdef"), largeAnswer/16)
	var writtenAt atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		t := &target{}
		t.serve = func(c net.Conn, _ *bufio.Reader, q targetRequest) bool {
			b.record.printf("target %s runs %s %s", t.id, q.method, q.path)
			_, err := c.Write(append([]byte(t.answerHead(q, 200, len(body))), body...))
			writtenAt.Store(time.Now().UnixNano())
			b.record.printf("target %s has written the whole answer to %s (error: %v)", t.id, q.path, err)
			return err == nil
		}
		if err := b.startTarget(id, t); err != nil {
			return false, err
		}
	}
	b.store.Put("op", "config", operatorConfig(2, longTimeout))
	for range 2 {
		if _, err := b.startEdge(true); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	e, stoppedAt := b.edges[0], time.Now()
	if trouble {
		b.record.printf("platform: SIGTERM")
		e.process.Signal(syscall.SIGTERM)
	}
	time.Sleep(sentAfter)
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		return false, err
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(receiveWindow); err != nil {
		return false, err
	}
	sentAt := time.Now()
	if _, err := fmt.Fprintf(c, "%s\r\n", requestHead("GET", "/safe/large", "large", longTimeout)); err != nil {
		return false, err
	}
	b.record.printf("caller: sends GET /safe/large with a time limit of %v", longTimeout)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "GET"})
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	got, buffer, paused := 0, make([]byte, readStep), false
	for err == nil {
		if !paused && writtenAt.Load() != 0 {
			paused = true
			b.record.printf("caller: pauses with %d bytes read", got)
			time.Sleep(time.Until(sentAt.Add(readPauseEnd)))
		}
		var n int
		n, err = response.Body.Read(buffer)
		got += n
		if !paused {
			time.Sleep(readInterval)
		}
	}
	elapsed, workTime := time.Since(sentAt), time.Unix(0, writtenAt.Load()).Sub(stoppedAt)
	b.record.printf("caller: %d, %d of %d bytes, after %v (%v)", response.StatusCode, got, response.ContentLength, elapsed.Round(time.Millisecond), err)
	b.record.printf("the target ended its work %v after the SIGTERM", workTime.Round(time.Millisecond))
	if response.StatusCode != http.StatusOK || elapsed >= longTimeout || workTime >= workEnd {
		return false, fmt.Errorf("the rule does not judge this run: status %d, %v elapsed, the target worked until %v", response.StatusCode, elapsed, workTime)
	}
	return got < largeAnswer, nil
}
