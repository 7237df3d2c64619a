// Package rawhttp simulates HTTP servers that answer with given bytes, which may be no HTTP.
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Malformed returns answers that RFC 9110 and RFC 9112 do not permit, by what is wrong with them. A
// lenient reader takes each for one with status 200, or 000, and the body. fields are further field
// lines, each with its CRLF.
func Malformed(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + fields + length + "\r\n" + body,
		"status 099 first":       "HTTP/1.1 099 Soon\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body,
		"HTTP/2.0":               "HTTP/2.0 200 OK\r\n" + fields + length + "\r\n" + body,
		"NUL in the reason":      "HTTP/1.1 200 \x00\r\n" + fields + length + "\r\n" + body,
		"blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\n" + fields + length + "\r\n" + body,
		"blank before the colon": "HTTP/1.1 200 OK\r\nX-A : b\r\n" + fields + length + "\r\n" + body,
		"malformed interim head": "HTTP/1.1 103 Early\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body,
		"two lengths":            "HTTP/1.1 200 OK\r\n" + fields + chunked + length + "\r\n" + chunk(body) + "0\r\n\r\n",
		"blank after the size":   "HTTP/1.1 200 OK\r\n" + fields + chunked + "\r\n" + chunk(body) + "0 \r\n\r\n",
		"blank in a trailer":     "HTTP/1.1 200 OK\r\n" + fields + chunked + "\r\n" + chunk(body) + "0\r\nX A: b\r\n\r\n",
	}
}

// ReadByNetHTTP names the answers of Malformed whose framing net/http accepts, so that its clients
// cannot tell.
var ReadByNetHTTP = map[string]bool{"two lengths": true, "blank after the size": true}

// chunk returns data as a chunk.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// Server answers each request with the same bytes. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	closing  bool

	mu     sync.Mutex
	answer string
	conns  []net.Conn
}

// Start serves on a free port of 127.0.0.1 until Close. With closing, it closes each connection
// after an answer.
func Start(answer string, closing bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{listener: listener, closing: closing, answer: answer}
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve answers the requests of a connection.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.mu.Lock()
		answer := s.answer
		s.mu.Unlock()
		if _, err := io.WriteString(c, answer); err != nil || s.closing {
			return
		}
	}
}

// Addr returns the IP:port of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetAnswer replaces the answer.
func (s *Server) SetAnswer(answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Conns returns the number of connections that were opened.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
