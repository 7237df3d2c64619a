//go:build review

package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// connection is a caller's open connection to an instance.
type connection struct {
	net.Conn
	lab    *lab
	reader *bufio.Reader
}

// outcome is what the caller has seen of one request.
type outcome struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	sentAt   time.Time
	endedAt  time.Time
}

func (l *lab) connect(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, lab: l, reader: bufio.NewReader(c)}, nil
}

// request returns the bytes of a request. extra are further header lines, each with CRLF.
func request(method, path, id, key string, timeout time.Duration, extra, body string) string {
	authorization := ""
	if key != "" {
		authorization = "Authorization: Bearer " + key + "\r\n"
	}
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nArbutuslink-Request-Id: %s\r\nArbutuslink-Timeout-Ms: %d\r\n%s%s%s\r\n%s",
		method, path, id, timeout.Milliseconds(), authorization, extra, length, body)
}

// exchange sends the bytes of a request and reads the answer.
func (c *connection) exchange(id, bytes string, timeout time.Duration) outcome {
	o := outcome{sentAt: time.Now()}
	_ = c.SetDeadline(time.Now().Add(timeout))
	c.lab.line("caller: sends %s", id)
	if _, o.err = io.WriteString(c, bytes); o.err == nil {
		o.read(c)
	}
	o.endedAt = time.Now()
	if o.complete {
		c.lab.line("caller: %s is answered %d after %d ms: %q", id, o.status, o.endedAt.Sub(o.sentAt).Milliseconds(), short(o.body))
	} else {
		c.lab.line("caller: %s has no complete answer after %d ms: %v", id, o.endedAt.Sub(o.sentAt).Milliseconds(), o.err)
	}
	return o
}

func (o *outcome) read(c *connection) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	o.status, o.header, o.body, o.err, o.complete = response.StatusCode, response.Header, string(body), err, err == nil
}

func short(s string) string { return s[:min(len(s), 60)] }

// send opens a connection, sends one request and closes it.
func (l *lab) send(address, id, bytes string, timeout time.Duration) outcome {
	c, err := l.connect(address)
	if err != nil {
		l.line("caller: %s: no connection: %v", id, err)
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.exchange(id, bytes, timeout)
}
