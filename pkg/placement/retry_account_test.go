package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// newRetryFixture is a fixture with the rule of the users' deployment C.
func newRetryFixture(share float64) *fixture {
	f := newFixture(4)
	f.SetRetryRule(retrySimRule)
	f.view.FixedShare = share
	return f
}

// takeHedge takes a retry for a hedge.
func (f *fixture) takeHedge() bool {
	s := f.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	f.setRetryShare(s, f.clock.SinceBoot())
	return s.TakeHedge(f.clock.SinceBoot())
}

// arrive lets n requests arrive that are answered at once.
func (f *fixture) arrive(t *testing.T, n int) {
	t.Helper()
	for range n {
		a, err := f.Acquire(f.request(true), nil)
		if err != nil {
			t.Fatal(err)
		}
		a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
	}
}

// Guards against retries of less urgent requests that take what urgent ones need.
func TestRetryClasses(t *testing.T) {
	const typical = 100 * time.Millisecond
	for _, row := range []struct {
		name       string
		priority   int
		idempotent bool
		left       time.Duration
		want       retryClass
	}{
		{"urgent", 0, true, time.Second, 0},
		{"less urgent", 1, true, time.Second, 1},
		{"the caller cannot repeat it", 2, false, time.Second, 1},
		{"urgent and not idempotent", 0, false, time.Second, 0},
		{"little time", 0, true, 150 * time.Millisecond, 1},
		{"too little time", 0, true, 50 * time.Millisecond, retryClasses - 1},
		{"great priority", 9, true, time.Second, retryClasses - 1},
		{"negative priority", -1, true, time.Second, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := proxy.Request{Priority: row.priority, Idempotent: row.idempotent, Deadline: time.Hour + row.left}
			is.New(t).Equal(classOf(r, typical, time.Hour), row.want)
		})
	}
}

// Guards against a refused retry that urgent requests do not need, and against one that is
// granted although they do.
func TestLessUrgentRetriesLeaveTheRest(t *testing.T) {
	is := is.New(t)
	f := newRetryFixture(0)
	f.arrive(t, 100) // 10 retries
	low, urgent := f.request(true), f.request(true)
	low.Priority = 2
	is.True(f.TakeRetry(low)) // nobody else wants any
	for range 3 {
		is.True(f.TakeRetry(urgent))
	}
	granted := 0
	for range 20 {
		if f.TakeRetry(low) {
			granted++
		}
	}
	is.True(granted < 6)
	for range 6 - granted {
		is.True(f.TakeRetry(urgent))
	}
	is.True(!f.TakeRetry(urgent))
	counts := f.Retries()[0].Counts
	is.Equal(counts.Granted[0]+counts.Granted[2], uint64(10))
	is.Equal(counts.Refused, [retryClasses]uint64{1, 0, uint64(20 - granted), 0})
}

// Guards against hedges that are sent before retries and trials have what they need, or
// while retries are refused here or at another instance.
func TestHedgesComeLast(t *testing.T) {
	is := is.New(t)
	f := newRetryFixture(0)
	f.arrive(t, 40) // 4 retries
	r := f.request(true)
	is.True(f.takeHedge())
	is.True(f.takeHedge())
	is.True(!f.takeHedge()) // two are left for trials
	is.True(f.TakeRetry(r))
	is.True(!f.service("s").mayTry(f.clock.SinceBoot()))
	is.True(f.TakeRetry(r))

	f = newRetryFixture(0)
	f.arrive(t, 400)
	is.True(f.takeHedge())
	f.Merge("e2", &peerpb.Heartbeat{Retries: []*peerpb.ServiceRetries{{Service: "s", Refused: 1}}})
	is.True(!f.takeHedge())
	f.clock.Advance(hedgeRest)
	is.True(f.takeHedge())
	f.service("s").queue.enqueue(&waiter{wake: make(chan struct{}, 1)})
	is.True(!f.takeHedge()) // a request waits for a target
	counts := f.Retries()[0].Counts
	is.Equal([2]uint64{counts.Hedges, counts.HedgesRefused}, [2]uint64{2, 2})
}

// Guards against retries after rejections for load, and against refused ones after
// rejections by chance or after other failures.
func TestRejectionsForLoad(t *testing.T) {
	for _, row := range []struct {
		name     string
		running  int
		previous proxy.Result
		granted  bool
	}{
		{"rejected by full targets", 2, proxy.Shed, false},
		{"rejected by chance", 1, proxy.Shed, true},
		{"failed at full targets", 2, proxy.ServerError, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newRetryFixture(0)
			f.arrive(t, 100)
			for range 6 {
				a, err := f.Acquire(f.request(true), nil)
				is.NoErr(err)
				a.Done(proxy.Shed, time.Millisecond, proxy.Load{Known: true, InFlight: row.running})
			}
			r := f.request(true)
			r.Previous = row.previous
			is.Equal(f.TakeRetry(r), row.granted)
		})
	}
}

// Guards against an instance that refuses retries while another one has some to spare.
func TestInstanceBorrowsRetries(t *testing.T) {
	is := is.New(t)
	lender, borrower := newRetryFixture(0), newRetryFixture(0)
	lender.arrive(t, 1000)
	borrower.arrive(t, 10)
	for range 8 {
		borrower.TakeRetry(borrower.request(true))
	}
	is.True(!borrower.TakeRetry(borrower.request(true)))
	for range 4 {
		exchangeRetries(borrower, lender)
	}
	r, granted := borrower.request(true), 0
	for borrower.TakeRetry(r) {
		granted++
	}
	is.True(granted >= 3)
	is.True(lender.Retries()[0].Counts.Lent >= float64(granted))
	borrower.clock.Advance(3 * time.Second)
	is.True(borrower.Retries()[0].Level < 2) // loans end
}

// exchangeRetries sends a heartbeat from a to b and one back, a quarter of a second later.
func exchangeRetries(a, b *fixture) {
	for _, pair := range [][2]*fixture{{a, b}, {b, a}} {
		h := &peerpb.Heartbeat{Serving: true}
		pair[0].Fill(h, fleet.SameZonePeers)
		pair[1].Merge("from", h)
	}
	a.clock.Advance(250 * time.Millisecond)
	b.clock.Advance(250 * time.Millisecond)
}

// Guards against heartbeats that an instance of the last release cannot read, or that change
// what it does, and against a new instance that needs the field of an old one.
func TestRetriesBesideLastRelease(t *testing.T) {
	is := is.New(t)
	f := newRetryFixture(0)
	f.arrive(t, 10)
	r := f.request(true)
	for range 9 {
		f.TakeRetry(r)
	}
	h := &peerpb.Heartbeat{Instance: "e1", Serving: true}
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(len(h.Retries), 1)
	is.True(h.Retries[0].Wanted > 0)
	data, err := proto.Marshal(h)
	is.NoErr(err)
	// The last release's message has no field 29.
	old := dynamicpb.NewMessage(withoutField(t, h.ProtoReflect().Descriptor(), "retries"))
	is.NoErr(proto.Unmarshal(data, old))
	want := proto.CloneOf(h)
	want.Retries = nil
	is.Equal(len(old.GetUnknown()) > 0, true)
	old.SetUnknown(nil)
	kept, err := proto.MarshalOptions{Deterministic: true}.Marshal(old)
	is.NoErr(err)
	readBack := &peerpb.Heartbeat{}
	is.NoErr(proto.Unmarshal(kept, readBack))
	is.True(proto.Equal(readBack, want))
	// A heartbeat of the last release neither lends nor asks, and refuses nothing.
	f.Merge("old", readBack)
	is.True(!f.TakeRetry(r))
	is.Equal(f.Retries()[0].Counts.Borrowed, 0.0)
}

// withoutField returns a message's descriptor without one of its fields.
func withoutField(t *testing.T, d protoreflect.MessageDescriptor, name string) protoreflect.MessageDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(d.ParentFile())
	message := file.MessageType[d.Index()]
	var fields []*descriptorpb.FieldDescriptorProto
	for _, field := range message.Field {
		if field.GetName() != name {
			fields = append(fields, field)
		}
	}
	message.Field = fields
	changed, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return changed.Messages().Get(d.Index())
}

// Guards against heartbeats that outgrow a datagram because many instances borrow: 1,400
// bytes is the goal for all that a heartbeat carries.
func TestLoansFitHeartbeat(t *testing.T) {
	is := is.New(t)
	f := newRetryFixture(0)
	f.arrive(t, 4000)
	for n := range 60 {
		f.Merge(string(rune('A'+n)), &peerpb.Heartbeat{Retries: []*peerpb.ServiceRetries{{Service: "s", Ask: 1 << 60 >> n, Wanted: 1}}})
	}
	h := &peerpb.Heartbeat{}
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(len(h.Retries[0].Loans), maxLoansReported)
	is.True(proto.Size(&peerpb.Heartbeat{Retries: h.Retries}) < 400)
}

// Guards against values in a heartbeat that are no numbers of retries.
func TestUnusableRetryReports(t *testing.T) {
	is := is.New(t)
	f := newRetryFixture(0)
	f.arrive(t, 1000)
	nan := float32(0)
	nan /= nan
	f.Merge("e2", &peerpb.Heartbeat{Retries: []*peerpb.ServiceRetries{
		{Service: "s", Ask: 1, Wanted: nan, Spare: nan}, {Service: "s", Ask: 2, Wanted: -1, Spare: -1}, {Service: "other"},
	}})
	h := &peerpb.Heartbeat{}
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(len(h.Retries), 1)
	is.Equal(len(h.Retries[0].Loans), 0)
	is.True(h.Retries[0].Spare > 0)
}
