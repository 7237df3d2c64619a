package drpcpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"
)

// start serves the handler on a loopback address and returns the address and a
// client.
func start(t *testing.T, handler peer.Handler) (string, *Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, handler) }()
	client := NewClient()
	t.Cleanup(func() {
		cancel()
		_ = client.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String(), client
}

func echo(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Nonce: req.Nonce}, nil
}

// Guards against heartbeats waiting for loans whose handler hangs, against calls
// that never return, and against a connection being reused after a timeout.
func TestHeartbeatsDoNotWaitBehindLoans(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, client := start(t, peer.Handlers{
		OnExchange: echo,
		OnBorrow: func(_ context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
			if req.Team == "stuck" {
				<-release
			}
			return &peerpb.BorrowReply{Loan: 7}, nil
		},
	})
	var loans sync.WaitGroup
	for range 20 {
		loans.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := client.Borrow(ctx, address, &peerpb.BorrowRequest{Team: "stuck"})
			var unreachable *peer.UnreachableError
			is.True(errors.As(err, &unreachable))
		})
	}
	time.Sleep(50 * time.Millisecond)
	for nonce := range uint64(50) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		reply, err := client.Exchange(ctx, address, &peerpb.ExchangeRequest{Nonce: nonce})
		cancel()
		is.NoErr(err)
		is.Equal(reply.Nonce, nonce)
	}
	loans.Wait()
	close(release)
	reply, err := client.Borrow(t.Context(), address, &peerpb.BorrowRequest{})
	is.NoErr(err)
	is.Equal(reply.Loan, uint64(7))
}

// Guards against bytes not being counted or being counted for another kind of
// call, so that control traffic could not be distinguished from loans.
func TestTrafficByKind(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served, done := &Counters{}, make(chan error, 1)
	handlers := peer.Handlers{
		OnExchange: echo,
		OnBorrow: func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
			return &peerpb.BorrowReply{Loan: 1}, nil
		},
		OnReserve: func(_ context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
			return &peerpb.ReserveReply{Target: req.Service}, nil
		},
		OnReport: func(context.Context, *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
			return &peerpb.ReportReply{Verdicts: []*peerpb.Verdict{{Service: string(make([]byte, 50_000))}}}, nil
		},
	}
	go func() { done <- ServeCounted(ctx, listener, handlers, served) }()
	client, address := NewClient(), listener.Addr().String()
	for range 10 {
		_, err = client.Exchange(t.Context(), address, &peerpb.ExchangeRequest{})
		is.NoErr(err)
		_, err = client.Borrow(t.Context(), address, &peerpb.BorrowRequest{Team: "school"})
		is.NoErr(err)
		reserved, err := client.Reserve(t.Context(), address, &peerpb.ReserveRequest{Service: "portal"})
		is.NoErr(err)
		is.Equal(reserved.Target, "portal")
		_, err = client.Report(t.Context(), address, &peerpb.ReportRequest{From: string(make([]byte, 20_000))})
		is.NoErr(err)
	}
	is.NoErr(client.Close())
	cancel()
	is.NoErr(<-done)
	for kind, made := range client.Traffic() {
		got := served.Snapshot()[kind]
		is.Equal(got.Calls, made.Calls)
		// The client's last message of a call may arrive after the request was counted.
		is.True(made.SentBytes-got.ReceivedBytes < 100 && got.ReceivedBytes-made.SentBytes < 100)
		is.True(made.ReceivedBytes-got.SentBytes < 100 && got.SentBytes-made.ReceivedBytes < 100)
	}
	calls := client.Traffic()
	is.True(calls["report"].SentBytes > 200_000 && calls["report"].ReceivedBytes > 500_000)
	is.True(calls["borrow"].SentBytes < 2000 && calls["borrow"].ReceivedBytes < 2000)
	is.True(calls["reserve"].Calls == 10 && calls["reserve"].SentBytes < 2000 && calls["reserve"].ReceivedBytes < 2000)
	is.Equal(calls["fetch"], CallCounts{})
}

// Guards against large configurations exceeding drpc's default message limit.
func TestLargeFetch(t *testing.T) {
	is := is.New(t)
	address, client := start(t, peer.Handlers{
		OnFetch: func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
			return &peerpb.FetchReply{Config: make([]byte, 16<<20)}, nil
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := client.Fetch(ctx, address, &peerpb.FetchRequest{})
	is.NoErr(err)
	is.Equal(len(reply.Config), 16<<20)
}

// Guards against an instance staying unreachable through connections that no
// longer respond, although new connections to it work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	backend, client := start(t, peer.Handlers{OnExchange: echo})
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = relay.Close() }()
	go func() {
		for first := true; ; first = false {
			conn, err := relay.Accept()
			if err != nil {
				return
			}
			if !first {
				go forward(conn, backend)
			}
		}
	}()
	address := relay.Addr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Exchange(ctx, address, &peerpb.ExchangeRequest{Nonce: 1})
	is.True(err != nil)
	reply, err := client.Exchange(t.Context(), address, &peerpb.ExchangeRequest{Nonce: 2})
	is.NoErr(err)
	is.Equal(reply.Nonce, uint64(2))
}

func forward(conn net.Conn, address string) {
	defer func() { _ = conn.Close() }()
	backend, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = backend.Close() }()
	go func() { _, _ = backend.(*net.TCPConn).ReadFrom(conn) }()
	_, _ = conn.(*net.TCPConn).ReadFrom(backend)
}

// blockedReader is a connection that is never read from, like that of a client
// that has stopped reading.
type blockedReader struct {
	net.Conn
	closed chan struct{}
}

// Read blocks until the connection is closed.
func (s blockedReader) Read([]byte) (int, error) {
	<-s.closed
	return 0, net.ErrClosed
}

// Close closes the connection.
func (s blockedReader) Close() error {
	close(s.closed)
	return s.Conn.Close()
}

// pipeListener is a listener in memory, for tests in simulated time.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Guards against holding a reply in memory for every instance of the fleet at
// once after a configuration change, and against clients that do not read their
// reply occupying the bounded number of served fetches.
func TestServedFetchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := newPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		var active, maxActive atomic.Int64
		handlers := peer.Handlers{OnFetch: func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
			maxActive.Store(max(maxActive.Load(), active.Add(1)))
			time.Sleep(10 * time.Millisecond)
			active.Add(-1)
			return &peerpb.FetchReply{Config: make([]byte, 8<<20)}, nil
		}}
		done := make(chan error, 1)
		go func() { done <- Serve(ctx, listener, handlers) }()
		for range maxServedFetches {
			raw, err := listener.dial(ctx, "", "")
			is.NoErr(err)
			conn := drpcconn.NewWithOptions(blockedReader{raw, make(chan struct{})}, drpcconn.Options{Manager: managerOptions()})
			defer func() { _ = conn.Close() }()
			go func() { _, _ = peerpb.NewDRPCPeerClient(conn).Fetch(ctx, &peerpb.FetchRequest{}) }()
		}
		synctest.Wait()
		began := time.Now()
		var clients sync.WaitGroup
		for range 3 * maxServedFetches {
			clients.Go(func() {
				client := NewClient()
				client.dial = listener.dial
				ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
				defer cancel()
				reply, err := client.Fetch(ctx, "pipe", &peerpb.FetchRequest{})
				is.NoErr(err)
				is.Equal(len(reply.Config), 8<<20)
				_ = client.Close()
			})
		}
		clients.Wait()
		is.True(time.Since(began) > fetchWriteTimeout) // The blocked clients held all fetches.
		is.True(maxActive.Load() > 1 && maxActive.Load() <= maxServedFetches)
		cancel()
		is.NoErr(<-done)
	})
}

// Guards against one call whose handler panics ending the process.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	address, client := start(t, peer.Handlers{
		OnExchange: func(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
			if req.Nonce == 0 {
				panic("unforeseen")
			}
			return echo(context.Background(), req)
		},
	})
	_, err := client.Exchange(t.Context(), address, &peerpb.ExchangeRequest{})
	is.True(err != nil)
	reply, err := client.Exchange(t.Context(), address, &peerpb.ExchangeRequest{Nonce: 7})
	is.NoErr(err)
	is.Equal(reply.Nonce, uint64(7))
}
