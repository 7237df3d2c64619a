package detour

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// Bytes of a target pass in frames: a length of 4 bytes, big endian, and as many bytes. A
// frame of length 0 says that the target has ended the connection in an orderly way. Without
// it the end of a connection proves nothing: it also ends when the instance in between does,
// and a response may be delimited by the end of its connection.
const frameHeaderBytes = 4

// framedConn is a connection whose received bytes come in frames.
type framedConn struct {
	net.Conn
	header [frameHeaderBytes]byte
	// received counts the bytes of header, left those of the frame that have not been read.
	received int
	left     uint32
	ended    bool
}

// NetConn returns the connection that the frames use.
func (c *framedConn) NetConn() net.Conn { return c.Conn }

// Read reads bytes of the target. The end of the connection without an end by the target is
// io.ErrUnexpectedEOF.
func (c *framedConn) Read(p []byte) (int, error) {
	for c.left == 0 && !c.ended {
		n, err := c.Conn.Read(c.header[c.received:])
		c.received += n
		if c.received == frameHeaderBytes {
			c.left, c.received = binary.BigEndian.Uint32(c.header[:]), 0
			c.ended = c.left == 0
		} else if err != nil {
			return 0, unexpected(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(uint32(len(p)), c.left)])
	c.left -= uint32(n)
	return n, unexpected(err)
}

// unexpected returns the error for a connection that ends within or before a frame.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// copyFrames passes the bytes of a target on in frames until it ends its connection. The
// error is that of either connection. The buffer is longer than a frame's header.
func copyFrames(to io.Writer, from io.Reader, buffer []byte) error {
	for {
		n, err := from.Read(buffer[frameHeaderBytes:])
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		// An end has no bytes, and is the frame that says so.
		if n > 0 || err != nil {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := to.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err != nil && n == 0 {
			return nil
		}
	}
}
