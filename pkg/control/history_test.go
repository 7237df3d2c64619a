package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/memory"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// request proposes a change that adds the key, or reads the configuration when
// key is empty.
type request struct {
	expected int64
	key      string
}

// outcome is the result of a request: unknown when the answer was lost, stale
// when the change was refused because of another version.
type outcome struct {
	unknown, stale bool
	version        int64
	// newest is the author of the version that was read.
	newest string
}

// register is the state of the sequential model: the current version and its
// author.
type register struct {
	version int64
	newest  string
}

// configModel is the sequential behaviour of the configuration: one accepted
// change per version; a change that expects another version is refused.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(request), output.(outcome)
		written := register{s.version + 1, in.key}
		switch {
		case in.key == "":
			if out.unknown || (out.version == s.version && out.newest == s.newest) {
				return []any{s}
			}
		case out.unknown && in.expected == s.version:
			return []any{s, written}
		case out.unknown:
			return []any{s}
		case out.stale:
			if in.expected != s.version && out.version == s.version {
				return []any{s}
			}
		case in.expected == s.version && out.version == written.version:
			return []any{written}
		}
		return nil
	},
}

// loopFleet is a set of running loops that share a platform.
type loopFleet struct {
	loops    []*Loop
	platform *fakePlatform
}

// startLoops runs n loops with the system clock, connected by an in-process
// network or TCP.
func startLoops(t *testing.T, n int, tcp bool) *loopFleet {
	f := &loopFleet{platform: newFakePlatform()}
	network := memory.NewNetwork()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		var transport peer.Transport = network.Transport(address)
		var listener net.Listener
		if tcp {
			var err error
			if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			client := drpcpeer.NewClient()
			t.Cleanup(func() { _ = client.Close() })
			address, transport = listener.Addr().String(), client
		}
		l := New(Options{
			Self:      membership.Member{Instance: address, Zone: string(rune('a' + i%3)), PeerAddress: address},
			Store:     head.NewStore(fakeTable{f.platform}, fakeObjects{f.platform}, clock.System{}),
			Transport: transport, Clock: clock.System{},
		})
		handler := peer.Handlers{OnExchange: l.HandleExchange, OnFetch: l.HandleFetch}
		network.Register(address, handler)
		if tcp {
			running.Go(func() { _ = drpcpeer.Serve(ctx, listener, handler) })
		}
		f.loops = append(f.loops, l)
		running.Go(func() { _ = l.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

// await waits until the condition holds for all loops.
func (f *loopFleet) await(t *testing.T, what string, condition func(*Loop) bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, l := range f.loops {
		for !condition(l) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not reached: %+v", what, l.View().Head)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// run proposes the change of a request through the loop, or reads from its store.
func (f *loopFleet) run(l *Loop, in request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	store := l.core.options.Store
	if in.key == "" {
		row, err := store.Read(ctx)
		if err != nil {
			return outcome{unknown: true}
		}
		doc, err := store.Config(ctx, row)
		switch {
		case err != nil:
			return outcome{unknown: true}
		case doc == nil:
			return outcome{}
		}
		return outcome{version: row.ConfigVersion, newest: doc.Author}
	}
	version, err := l.ProposeConfig(ctx, in.expected, addKey(in.key), head.Metadata{Author: in.key})
	var stale *head.StaleError
	switch {
	case err == nil:
		return outcome{version: version}
	case errors.As(err, &stale):
		return outcome{stale: true, version: stale.Current}
	default:
		return outcome{unknown: true}
	}
}

// Guards against two operators succeeding on the same version, a refused change
// that took effect, and a read that returns an older version than an earlier
// read, while answers are lost.
func TestConfigHistoryIsLinearizable(t *testing.T) {
	is := is.New(t)
	f := startLoops(t, 3, false)
	f.await(t, "joined", (*Loop).MayServe)
	random := rand.New(rand.NewPCG(1, 2))
	f.platform.mu.Lock()
	f.platform.fault = func(string, bool) bool { return random.IntN(4) == 0 }
	f.platform.mu.Unlock()
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Go(func() {
			l := f.loops[client%len(f.loops)]
			known := int64(0)
			for i := range 8 {
				in := request{}
				if i%2 == 1 {
					in = request{expected: known, key: fmt.Sprintf("c%d-%d", client, i)}
				}
				call := time.Since(begin)
				out := f.run(l, in)
				end := time.Since(begin)
				if !out.unknown {
					known = out.version
				} else if in.key != "" {
					// A write of unknown outcome may take effect later.
					end = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	var accepted, stale, unknown int
	for _, op := range history {
		switch out := op.Output.(outcome); {
		case out.unknown:
			unknown++
		case out.stale:
			stale++
		case op.Input.(request).key != "":
			accepted++
		}
	}
	t.Logf("%d accepted, %d stale, %d unknown of %d in %v", accepted, stale, unknown, len(history), time.Since(begin))
	is.True(accepted > 0 && stale > 0)
	is.Equal(porcupine.CheckOperationsTimeout(configModel.ToModel(), history, 10*time.Second), porcupine.Ok)
}
