package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// BenchmarkHandleReserve measures a reservation and its release among 30 targets.
func BenchmarkHandleReserve(b *testing.B) {
	r := newFixture(30, Options{})
	var released []uint64
	b.ReportAllocs()
	for b.Loop() {
		request := &peerpb.ReserveRequest{Team: "clerks", Batch: "big", Released: released, LifeMs: 2000}
		r.reserve(request)
		released = []uint64{request.Id}
	}
}

// BenchmarkReserveCall measures a reservation and its release as two calls over
// loopback: the bytes in both directions and the CPU time of both ends.
func BenchmarkReserveCall(b *testing.B) {
	v, ranked := fleetView(30)
	s := &standings{}
	states := make([]peerpb.TargetState, 30)
	for i := range states {
		states[i] = active
	}
	s.set(states...)
	d := NewDispatcher(clock.System{}, v, s, Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() {
		served <- drpcpeer.Serve(ctx, listener, peer.Handlers{
			OnReserve: func(_ context.Context, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
				reply := d.HandleReserve(request)
				reply.Versions = request.Versions
				return reply, nil
			},
		})
	}()
	client := drpcpeer.NewClient()
	versions := &peerpb.Versions{Revision: 30_000, Config: 20_000, Membership: 10_000, Delivered: true}
	call := func(request *peerpb.ReserveRequest) *peerpb.ReserveReply {
		request.From, request.Versions, request.Service = ranked[1].Incarnation+"-0123456789abcdef", versions, "s"
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		reply, err := client.Reserve(ctx, listener.Addr().String(), request)
		if err != nil {
			b.Fatal(err)
		}
		return reply
	}
	b.ReportAllocs()
	before := cpuTime(b)
	id := uint64(1 << 20)
	for b.Loop() {
		id++
		if call(&peerpb.ReserveRequest{Team: "clerks", Batch: "big", LifeMs: 2000, Id: id}).Target == "" {
			b.Fatal("no slot was reserved")
		}
		call(&peerpb.ReserveRequest{Released: []uint64{id}, ReleaseOnly: true})
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/request")
	traffic := client.Traffic()["reserve"]
	b.ReportMetric(float64(traffic.SentBytes+traffic.ReceivedBytes)/float64(b.N), "bytes/request")
	_ = client.Close()
	cancel()
	if err := <-served; err != nil {
		b.Fatal(err)
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
