package http1

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Transport is the fasthttp.RoundTripper of clients that accept only what this package takes for a
// response. It closes connections that bring anything else, or more than a response. It heeds the
// timeout of a request and MaxResponseBodySize of the client, but not its ReadTimeout, WriteTimeout,
// MaxConnDuration, StreamResponseBody and DisableHeaderNamesNormalizing.
//
// Errors: *SyntaxError, *TooLongError, *InterimError, fasthttp.ErrTimeout, fasthttp.ErrBodyTooLarge,
// and those of the connection.
type Transport struct{}

var _ fasthttp.RoundTripper = Transport{}

// RoundTrip sends a request and reads its response. It does not ask for a retry of a request whose
// response has begun.
func (Transport) RoundTrip(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	var deadline time.Time
	if timeout := request.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	conn, err := client.AcquireConn(request.GetTimeOut(), request.ConnectionClose())
	if err != nil {
		return false, err
	}
	if err := conn.Conn().SetDeadline(deadline); err != nil {
		client.CloseConn(conn)
		return true, err
	}
	response.ParseNetConn(conn.Conn())
	if err := write(client, conn.Conn(), request); err != nil {
		client.CloseConn(conn)
		return true, asTimeout(err)
	}
	response.SkipBody = response.SkipBody || request.Header.IsHead()
	reader := client.AcquireReader(conn.Conn())
	defer client.ReleaseReader(reader)
	if err := readResponse(reader, response, client.MaxResponseBodySize); err != nil {
		client.CloseConn(conn)
		if errors.Is(err, io.EOF) {
			return true, io.EOF // which fasthttp compares with
		}
		return false, asTimeout(err)
	}
	if request.ConnectionClose() || response.ConnectionClose() || reader.Buffered() > 0 {
		client.CloseConn(conn)
	} else {
		client.ReleaseConn(conn)
	}
	return false, nil
}

// write sends a request.
func write(client *fasthttp.HostClient, conn net.Conn, request *fasthttp.Request) error {
	w := client.AcquireWriter(conn)
	defer client.ReleaseWriter(w)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// asTimeout returns fasthttp.ErrTimeout in place of the timeout of a connection.
func asTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}

// readResponse reads a response with a body of at most limit bytes; 0 means no limit.
func readResponse(r *bufio.Reader, response *fasthttp.Response, limit int) error {
	if err := ReadFinalHead(r, &response.Header); err != nil {
		return err
	}
	status := response.StatusCode()
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if response.Header.ContentLength() != ContentLengthChunked {
		return unexpectedEnd(errors.WithStack(response.ReadBody(r, limit)))
	}
	body := NewChunkedReader(r, &response.Header)
	if limit > 0 {
		body = io.LimitReader(body, int64(limit)+1)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if limit > 0 && len(data) > limit {
		return errors.WithStack(fasthttp.ErrBodyTooLarge)
	}
	response.SetBodyRaw(data)
	return nil
}
