//go:build review3

package cases3

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// targetRequest is the head of a request at a target.
type targetRequest struct {
	method, path, id string
	length           int
}

// target is a stand-in for a target that serves one request at a time on a connection.
type target struct {
	id       string
	listener net.Listener
	record   *record
	// serve answers one request, whose body has not been read, and reports whether the
	// connection stays open.
	serve func(c net.Conn, r *bufio.Reader, q targetRequest) bool
	// malformed is called for bytes that are no head of a request.
	malformed func(line string)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (b *bed) startTarget(id string, t *target) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.id, t.listener, t.record, t.conns = id, listener, b.record, map[net.Conn]bool{}
	b.closers = append(b.closers, t.close)
	go t.accept()
	b.list(id, listener.Addr().String(), 4)
	return nil
}

func (t *target) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				t.mu.Lock()
				delete(t.conns, c)
				t.mu.Unlock()
			}()
			r := bufio.NewReaderSize(c, 64<<10)
			for {
				q, line, err := readHead(r)
				if line != "" && err != nil && t.malformed != nil {
					t.malformed(line)
				}
				if err != nil || !t.serve(c, r, q) {
					return
				}
			}
		}()
	}
}

// readHead reads the head of a request. line is the line that is wrong, if one is.
func readHead(r *bufio.Reader) (q targetRequest, line string, err error) {
	for first := true; ; first = false {
		line, err = r.ReadString('\n')
		if err != nil {
			return q, line, err
		}
		text := strings.TrimRight(line, "\r\n")
		if first {
			parts := strings.Split(text, " ")
			if len(parts) != 3 || parts[2] != "HTTP/1.1" {
				return q, line, fmt.Errorf("no request line: %.60q", line)
			}
			q.method, q.path = parts[0], parts[1]
			continue
		}
		if text == "" {
			return q, "", nil
		}
		name, value, _ := strings.Cut(text, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if q.length, err = strconv.Atoi(value); err != nil {
				return q, line, err
			}
		case "arbutuslink-request-id":
			q.id = value
		}
	}
}

// answerHead returns the head of a target's answer.
func (t *target) answerHead(q targetRequest, status, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nArbutuslink-Request-Id: %s\r\nArbutuslink-Server-Signature: %s.%s\r\nArbutuslink-Server-Load: 1,0,4\r\nContent-Length: %d\r\n\r\n",
		status, q.id, t.id, q.id, length)
}

// answer reads the body and answers after the work.
func (t *target) answer(c net.Conn, r *bufio.Reader, q targetRequest, work time.Duration) bool {
	if _, err := r.Discard(q.length); err != nil {
		return false
	}
	time.Sleep(work)
	body := "body of " + q.id
	_, err := c.Write([]byte(t.answerHead(q, 200, len(body)) + body))
	return err == nil
}
