package http1

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// readHead reads one head, with CRLF in place of each LF, that arrives byte by byte if slow is set.
func readHead(text string, slow bool) (*fasthttp.ResponseHeader, error) {
	var r io.Reader = strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n"))
	if slow {
		r = iotest.OneByteReader(r)
	}
	var h fasthttp.ResponseHeader
	return &h, ReadFinalHead(bufio.NewReaderSize(r, 256), &h)
}

// Guards against an error that does not name what is wrong with a head.
func TestErrorsNameThePart(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 000 x\n\n":                     `malformed response: status line: the status does not exist: "HTTP/1.1 000 x`,
		"HTTP/2.0 200 x\n\n":                     `malformed response: status line: the protocol is not HTTP/1: "HTTP/2`,
		"HTTP/1.1 2x0 x\n\n":                     `malformed response: status line: the status is no number of three digits: "HTTP/1.1 2x0 x`,
		"HTTP/1.1 200 \x00\n\n":                  `malformed response: status line: the reason phrase has a control character: "HTTP/1.1 200 \x00`,
		"HTTP/1.1 200 x\nX A: b\n\n":             `malformed response: field line: the name is no token: "X A: b"`,
		"HTTP/1.1 200 x\nX-A : b\n\n":            `malformed response: field line: the name is no token: "X-A : b"`,
		"HTTP/1.1 200 x\nX-A: \x00\n\n":          `malformed response: field line: the value has a control character: "X-A: \x00"`,
		"HTTP/1.1 200 x\nX-A\n\n":                `malformed response: field line: it has no colon: "X-A"`,
		"HTTP/1.1 103 x\nX A: b\n\n":             `malformed response: field line: the name is no token: "X A: b"`,
		"garbage":                                `malformed response: status line: the protocol is not HTTP/1: "g`,
		"HTTP/1.1 200 x\nContent-Length: +2\n\n": `malformed response: framing: the length is no decimal number of up to 18 digits: "Content-Length: +2"`,
		"HTTP/1.1 200 x\nContent-Length: 2\nTransfer-Encoding: chunked\n\n": `malformed response: framing: the length is given more than once: "Transfer-Encoding: chunked"`,
		"HTTP/1.0 200 x\nTransfer-Encoding: chunked\n\n":                    `malformed response: framing: HTTP/1.0 has no Transfer-Encoding: "Transfer-Encoding: chunked"`,
		"HTTP/1.1 101 x\n\n": "unexpected interim response with status 101",
		strings.Repeat("HTTP/1.1 103 x\n\n", maxInterimResponses+1): "unexpected interim response with status 103",
		"HTTP/1.1 200 x\nX-A: " + strings.Repeat("x", 300):          "head of more than 256 bytes",
		"HTTP/1.1 103 x\n\n":     "unexpected EOF",
		"HTTP/1.1 200 x\nX-A: b": "unexpected EOF",
		"":                       "EOF",
	} {
		for _, slow := range []bool{false, true} {
			_, err := readHead(text, slow)
			if err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("%q, byte by byte %t: %v", text, slow, err)
			}
		}
	}
}

// Guards against a head that is read otherwise than it was sent.
func TestSoundHead(t *testing.T) {
	for _, slow := range []bool{false, true} {
		is := is.New(t)
		h, err := readHead("HTTP/1.1 100 \n\nHTTP/1.1 404 No \xe4\t!\nX-A:\t b c \t\nX-B:\n\n", slow)
		is.NoErr(err)
		is.Equal(h.StatusCode(), fasthttp.StatusNotFound)
		is.Equal(string(h.StatusMessage()), "No \xe4\t!")
		is.Equal(string(h.Peek("X-A")), "b c")
		is.Equal(h.PeekAll("X-B"), [][]byte{{}})
	}
}

// Guards against a wait for the rest of bytes that cannot become a head, and against a timeout
// that is not reported as one.
func TestHopelessBeginning(t *testing.T) {
	for _, beginning := range []string{"g", "HTTP/2", "\r\n", "HTTP/1.1 000 x\r\n", "HTTP/1.1 200 x\n"} {
		here, there := net.Pipe()
		go func() { _, _ = there.Write([]byte(beginning)) }()
		_ = here.SetReadDeadline(time.Now().Add(time.Second))
		var h fasthttp.ResponseHeader
		var syntax *SyntaxError
		if err := ReadHead(bufio.NewReader(here), &h); !errors.As(err, &syntax) {
			t.Errorf("%q: %v", beginning, err)
		}
		_ = here.SetReadDeadline(time.Now())
		var timeout net.Error
		if err := ReadHead(bufio.NewReader(here), &h); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("after %q: %v", beginning, err)
		}
		_, _ = here.Close(), there.Close()
	}
}

// BenchmarkReadHead compares ReadHead with the parser of fasthttp alone.
func BenchmarkReadHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 03:40:46 GMT\r\nContent-Type: application/json\r\nContent-Length: 1234\r\n" +
		"Arbutuslink-Request-Id: 90cc2cf2aae6a8e76d12da1f08632168\r\nArbutuslink-Server-Signature: c2lnbmF0dXJl\r\nArbutuslink-Server-Load: 3,0,8\r\n\r\n"
	for name, read := range map[string]func(*bufio.Reader, *fasthttp.ResponseHeader) error{
		"checked": ReadHead, "fasthttp": func(r *bufio.Reader, h *fasthttp.ResponseHeader) error { return h.Read(r) },
	} {
		b.Run(name, func(b *testing.B) {
			var h fasthttp.ResponseHeader
			source := strings.NewReader(head)
			r := bufio.NewReader(source)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(head)
				r.Reset(source)
				if err := read(r, &h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
