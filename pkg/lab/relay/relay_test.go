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

// target accepts one connection at a time and hands each one out.
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

type pair struct{ client, target net.Conn }

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

// passes sends text and tells whether it arrives within the limit.
func passes(t *testing.T, from, to net.Conn, text string, limit time.Duration) bool {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(from, text)
	is.NoErr(err)
	return arrives(t, to, text, limit)
}

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
	soon  = 5 * time.Second
	never = 100 * time.Millisecond
)

// Guards against a one-way cut that also stops the other direction, closes the
// connection or loses bytes when it ends.
func TestOneWayCut(t *testing.T) {
	for _, toTarget := range []bool{true, false} {
		is := is.New(t)
		r, dial := start(t)
		p := dial()
		from, to := p.client, p.target
		if !toTarget {
			from, to = to, from
		}
		is.True(passes(t, from, to, "before", soon))
		is.NoErr(r.SetFaults(relay.Faults{CutToTarget: toTarget, CutToClient: !toTarget}))
		is.True(!passes(t, from, to, "held", never))
		is.True(passes(t, to, from, "other way", soon))
		is.NoErr(r.SetFaults(relay.Faults{}))
		is.True(arrives(t, to, "held", soon))
	}
}

// Guards against a cut that lets the end of a connection pass, which would
// tell one side of a partition about the other.
func TestCutHoldsClose(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	p := dial()
	is.NoErr(r.SetFaults(relay.Faults{CutToTarget: true, CutToClient: true}))
	is.NoErr(p.client.Close())
	is.True(!arrives(t, p.target, "x", never))
	is.NoErr(r.SetFaults(relay.Faults{}))
	is.NoErr(p.target.SetReadDeadline(time.Now().Add(soon)))
	_, err := p.target.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against silenced connections that recover, and against new
// connections that are silent too.
func TestSilenceExisting(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	old := dial()
	is.True(passes(t, old.client, old.target, "before", soon))
	response, err := http.Post("http://"+r.AdminAddr()+"/admin/silence", "", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(!passes(t, old.client, old.target, "a", never))
	is.True(!passes(t, old.target, old.client, "b", never))
	fresh := dial()
	is.True(passes(t, fresh.client, fresh.target, "a", soon))
	is.True(passes(t, fresh.target, fresh.client, "b", soon))
	is.Equal(r.Stats(), relay.Stats{Accepted: 2, Open: 2, Silenced: 1})
	is.NoErr(old.client.Close())
	is.NoErr(old.target.Close())
	for end := time.Now().Add(soon); r.Stats().Open != 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.Stats().Open, 1) // a silenced connection is freed when both ends have closed
}

// Guards against a delay that is added per chunk in sequence, which would
// limit the throughput instead of adding latency.
func TestDelay(t *testing.T) {
	is := is.New(t)
	r, dial := start(t)
	p := dial()
	is.NoErr(r.SetFaults(relay.Faults{DelayMS: 100}))
	begin := time.Now()
	data := strings.Repeat("x", 256<<10) // 16 chunks or more
	is.True(passes(t, p.client, p.target, data, soon))
	took := time.Since(begin)
	is.True(took >= 100*time.Millisecond)
	is.True(took < 1600*time.Millisecond)
}
