package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
)

// target starts a listener and returns its address and the connections that it
// accepts.
func target(t *testing.T) (address string, accepted <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	conns := make(chan net.Conn, 8)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	})
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	return listener.Addr().String(), conns
}

// pair is the two ends of a relayed connection.
type pair struct{ client, target net.Conn }

// start starts a relay and returns a function that opens a connection through it.
func start(t *testing.T) (*relay.Relay, func() pair) {
	t.Helper()
	is := is.New(t)
	address, accepted := target(t)
	r := relay.New(relay.Options{Target: address, AdminAddress: "127.0.0.1:0"})
	is.NoErr(r.Start())
	t.Cleanup(func() { is.NoErr(r.Close()) })
	return r, func() pair {
		client, err := net.Dial("tcp", r.Addr())
		is.NoErr(err)
		p := pair{client, <-accepted}
		t.Cleanup(func() { _ = p.client.Close(); _ = p.target.Close() })
		return p
	}
}

// passes sends text and reports whether it arrives within the limit.
func passes(t *testing.T, from, to net.Conn, text string, limit time.Duration) bool {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(from, text)
	is.NoErr(err)
	return arrives(t, to, text, limit)
}

// arrives reports whether text arrives within the limit. It fails the test if the
// connection ends instead.
func arrives(t *testing.T, to net.Conn, text string, limit time.Duration) bool {
	t.Helper()
	is := is.New(t)
	is.NoErr(to.SetReadDeadline(time.Now().Add(limit)))
	got := make([]byte, len(text))
	n, err := io.ReadFull(to, got)
	if err != nil {
		is.Equal(n, 0)
		var timeout net.Error
		is.True(asNetError(err, &timeout) && timeout.Timeout()) // the connection stays open
		return false
	}
	is.Equal(string(got), text)
	return true
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	*target = e
	return ok
}

const (
	// arrivalLimit bounds the wait for bytes that must arrive.
	arrivalLimit = 5 * time.Second
	// holdCheckTime is the wait after which bytes count as held.
	holdCheckTime = 100 * time.Millisecond
)

// Guards against a one-way cut that also stops the other direction, that closes
// the connection, or that loses bytes when it ends.
func TestOneWayCut(t *testing.T) {
	for _, toTarget := range []bool{true, false} {
		is := is.New(t)
		r, dial := start(t)
		p := dial()
		from, to := p.client, p.target
		if !toTarget {
			from, to = to, from
		}
		is.True(passes(t, from, to, "before", arrivalLimit))
		is.NoErr(r.SetFaults(relay.Faults{CutToTarget: toTarget, CutToClient: !toTarget}))
		is.True(!passes(t, from, to, "held", holdCheckTime))
		is.True(passes(t, to, from, "other way", arrivalLimit))
		is.NoErr(r.SetFaults(relay.Faults{}))
		is.True(arrives(t, to, "held", arrivalLimit))
	}
}

// Guards against a cut that forwards the end of a connection. Across a real
// partition, one side does not detect that the other has closed.
func TestCutHoldsClose(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	p := dial()
	is.NoErr(r.SetFaults(relay.Faults{CutToTarget: true, CutToClient: true}))
	is.NoErr(p.client.Close())
	is.True(!arrives(t, p.target, "x", holdCheckTime))
	is.NoErr(r.SetFaults(relay.Faults{}))
	is.NoErr(p.target.SetReadDeadline(time.Now().Add(arrivalLimit)))
	_, err := p.target.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against blackholed connections that forward bytes again, and against
// new connections that are blackholed too.
func TestSilenceExisting(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	existing := dial()
	is.True(passes(t, existing.client, existing.target, "before", arrivalLimit))
	response, err := http.Post("http://"+r.AdminAddr()+"/admin/silence", "", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(!passes(t, existing.client, existing.target, "a", holdCheckTime))
	is.True(!passes(t, existing.target, existing.client, "b", holdCheckTime))
	later := dial()
	is.True(passes(t, later.client, later.target, "a", arrivalLimit))
	is.True(passes(t, later.target, later.client, "b", arrivalLimit))
	is.Equal(r.Stats(), relay.Stats{Accepted: 2, Open: 2, Blackholed: 1})
	is.NoErr(existing.client.Close())
	is.NoErr(existing.target.Close())
	for end := time.Now().Add(arrivalLimit); r.Stats().Open != 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.Stats().Open, 1) // a blackholed connection is freed when both ends have closed
}

// Guards against a delay that is applied to one chunk after the other, which
// would limit the throughput instead of only adding latency.
func TestDelay(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	p := dial()
	is.NoErr(r.SetFaults(relay.Faults{DelayMS: 100}))
	begin := time.Now()
	data := strings.Repeat("x", 256<<10) // 16 chunks or more
	is.True(passes(t, p.client, p.target, data, arrivalLimit))
	took := time.Since(begin)
	is.True(took >= 100*time.Millisecond)
	is.True(took < 1600*time.Millisecond)
}
