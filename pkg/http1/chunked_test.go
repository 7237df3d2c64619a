package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// readChunked reads a chunked body, with CRLF in place of each LF, and what follows it. It arrives
// byte by byte if slow is set.
func readChunked(text string, slow bool) (body, rest string, h *fasthttp.ResponseHeader, err error) {
	var source io.Reader = strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n"))
	if slow {
		source = iotest.OneByteReader(source)
	}
	h = &fasthttp.ResponseHeader{}
	r := bufio.NewReaderSize(source, 256)
	data, err := io.ReadAll(NewChunkedReader(r, h))
	left, _ := io.ReadAll(r)
	return string(data), string(left), h, err
}

// Guards against a chunked body that is read otherwise than it was sent, and against the loss of
// its trailers or of what follows it.
func TestChunkedBody(t *testing.T) {
	for text, want := range map[string]string{
		"2\nok\n0\n\n": "ok", "0\n\n": "", "1\no\n00000001\nk\n00\n\n": "ok", "A\n0123456789\na\n0123456789\n0\n\n": "01234567890123456789",
		"2;a\nok\n0\n\n": "ok", "2;a=b;c=\"d;\\\"e\\\\ \"\nok\n0;x\n\n": "ok", "2 \t; a =\tb\nok\n0\n\n": "ok", "2;a ;b\nok\n0\n\n": "ok",
		"12c\n" + strings.Repeat("x", 300) + "\n0\n\n": strings.Repeat("x", 300), "2\nok\n0\nX-A: b\nX-C:\n\n": "ok",
	} {
		for _, slow := range []bool{false, true} {
			body, rest, h, err := readChunked(text+"next", slow)
			if err != nil || body != want || rest != "next" {
				t.Errorf("%q, byte by byte %t: %q, then %q, %v", text, slow, body, rest, err)
			}
			if strings.Contains(text, "X-A") && string(h.Peek("X-A"))+fmt.Sprint(len(h.PeekTrailerKeys())) != "b2" {
				t.Errorf("trailers: %q", h.PeekTrailerKeys())
			}
		}
	}
}

// Guards against a body that is malformed, cut short or without end and is taken for whole.
func TestMalformedChunkedBody(t *testing.T) {
	for text, want := range map[string]string{
		"2 \nok\n0\n\n":                              `malformed response: chunk line: the size is followed by something else than extensions: "2 "`,
		"x\nok\n0\n\n":                               `malformed response: chunk line: the size is no hexadecimal number of up to 16 digits: "x"`,
		"00000000000000002\nok\n0\n\n":               `malformed response: chunk line: the size is no hexadecimal number of up to 16 digits`,
		"2;\nok\n0\n\n":                              `malformed response: chunk line: the size is followed by something else than extensions: "2;"`,
		"2;a=\nok\n0\n\n":                            `malformed response: chunk line: the size is followed by something else than extensions: "2;a="`,
		"2;a=\"\x00\"\nok\n0\n\n":                    `malformed response: chunk line: the size is followed by something else than extensions`,
		"2;a=\"b\\\nok\n0\n\n":                       `malformed response: chunk line: the size is followed by something else than extensions`,
		"2\nokk\n0\n\n":                              `malformed response: chunk line: the data of the chunk before does not end with CRLF: "k\r"`,
		"2\nok\n0\nX A: b\n\n":                       `malformed response: trailer: the name is no token: "X A: b"`,
		"2\nok\n0\n X-A: b\n\n":                      `malformed response: trailer: the name is no token: " X-A: b"`,
		"2;a=" + strings.Repeat("b", 300):            "chunk line of more than 256 bytes",
		"2\nok\n0\nX-A: " + strings.Repeat("b", 300): "trailer of more than 256 bytes",
		strings.Repeat("1;a=\""+strings.Repeat("b", 200)+"\"\nx\n", 90): "chunk extensions of more than 16384 bytes",
	} {
		for _, slow := range []bool{false, true} {
			if body, _, _, err := readChunked(text, slow); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("%q, byte by byte %t: %q, %v", text, slow, body, err)
			}
		}
	}
	whole := "2\nok\n1;a\n!\n0\nX-A: b\n\n"
	for n := range len(whole) - 1 {
		if body, _, _, err := readChunked(whole[:n], false); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %q, %v", whole[:n], body, err)
		}
	}
	body, _, _, err := readChunked("2\nok", false)
	is.New(t).Equal(body, "ok")
	is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
}

// FuzzChunkedReader guards against a body that is read otherwise than by the standard library,
// which accepts more.
func FuzzChunkedReader(f *testing.F) {
	for _, seed := range []string{"2\r\nok\r\n0\r\n\r\n", "2;a=\"b\"\r\nok\r\n0\r\nX-A: b\r\n\r\n", "ffffffffffffffff\r\n", "2 \r\nok\r\n0\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := io.ReadAll(NewChunkedReader(bufio.NewReader(bytes.NewReader(data)), &fasthttp.ResponseHeader{}))
		if err != nil {
			return
		}
		if want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(data))); err != nil || !bytes.Equal(body, want) {
			t.Fatalf("%q is read as %q, by the standard library as %q, %v", data, body, want, err)
		}
	})
}

// BenchmarkChunkedReader compares the reader with that of the standard library, which checks less.
func BenchmarkChunkedReader(b *testing.B) {
	text := strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 64) + "0\r\n\r\n"
	for name, reader := range map[string]func(*bufio.Reader) io.Reader{
		"checked":          func(r *bufio.Reader) io.Reader { return NewChunkedReader(r, &fasthttp.ResponseHeader{}) },
		"standard library": func(r *bufio.Reader) io.Reader { return httputil.NewChunkedReader(r) },
	} {
		b.Run(name, func(b *testing.B) {
			source, buffer := strings.NewReader(text), make([]byte, 128<<10)
			r := bufio.NewReaderSize(source, 16<<10)
			for b.Loop() {
				source.Reset(text)
				r.Reset(source)
				if n, err := io.ReadFull(reader(r), buffer[:64<<10]); err != nil {
					b.Fatal(n, err)
				}
			}
		})
	}
}
