package targetsim_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

func start(t *testing.T, o targetsim.Options) *targetsim.Server {
	t.Helper()
	target := targetsim.New(o)
	is.New(t).NoErr(target.Start())
	t.Cleanup(func() { is.New(t).NoErr(target.Close()) })
	return target
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// get sends one request on a new connection. headers alternates names and values.
func get(ctx context.Context, address, path string, headers ...string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not hold within 5 s")
}

// Guards against a target that accepts more requests than its slots and queue
// hold, and against executions recorded for shed requests.
func TestSlotsQueueAndShedding(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	target := start(t, targetsim.Options{Slots: 2, Queue: 1, MedianService: 300 * time.Millisecond})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { get(ctx, target.Addr(), "/work", "X-Team", "school") })
	}
	eventually(t, func() bool { s := target.Summary(); return s.InFlight == 2 && s.Queued == 1 })
	shed := get(ctx, target.Addr(), "/work", "X-Request-Id", "shed")
	is.Equal(shed.status, 503)
	is.Equal(shed.header.Get("X-Shed"), "true")
	is.Equal(shed.header.Get("X-Load"), "in_flight=2, queued=1")
	group.Wait()
	s := target.Summary()
	is.Equal(s.ExecutedByTeam, map[string]int{"school": 3})
	is.Equal([]int{s.Received, s.Executed, s.Shed, s.InFlight, s.ReceivedByID["shed"]}, []int{4, 3, 1, 0, 1})
	is.Equal(len(target.Executions("shed")), 0)
}

// Guards against executions that continue after the caller has closed the
// connection or the deadline has passed.
func TestCancellationAndDeadline(t *testing.T) {
	is := is.New(t)
	target := start(t, targetsim.Options{Slots: 1, MedianService: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer)
	go func() { done <- get(ctx, target.Addr(), "/work", "X-Request-Id", "closed") }()
	eventually(t, func() bool { return target.Summary().InFlight == 1 })
	queued := get(context.Background(), target.Addr(), "/work", "X-Deadline-Ms", "20", "X-Request-Id", "queued")
	is.Equal([]string{queued.header.Get("X-Shed")}, []string{"true"}) // it was not executed
	cancel()
	<-done
	eventually(t, func() bool { return target.Summary().InFlight == 0 })
	is.Equal(target.Executions("closed")[0].Outcome, targetsim.Cancelled)
	late := get(context.Background(), target.Addr(), "/work", "X-Deadline-Ms", "20", "X-Request-Id", "late")
	is.Equal(late.status, 504)
	is.Equal(target.Executions("late")[0].Outcome, targetsim.Expired)
	is.Equal(len(target.Executions("queued")), 0)
}

// Guards against faults that do not fail in the documented way, or whose failing
// requests are missing from the list of executions.
func TestGrayModes(t *testing.T) {
	tests := map[string]struct {
		faults  targetsim.Faults
		work    int // status of the response; 0 if there was no complete one
		health  string
		outcome targetsim.Outcome
	}{
		"none":           {targetsim.Faults{}, 200, `{"status":"ok"}`, targetsim.Completed},
		"stall":          {targetsim.Faults{Stall: 1}, 0, `{"status":"ok"}`, targetsim.Cancelled},
		"errors":         {targetsim.Faults{ErrorRate: 1}, 500, `{"status":"ok"}`, targetsim.Failed},
		"slow":           {targetsim.Faults{SlowFactor: 1000}, 0, "", targetsim.Cancelled},
		"silent":         {targetsim.Faults{Unresponsive: true}, 0, "", targetsim.Cancelled},
		"silent, lying":  {targetsim.Faults{Unresponsive: true, Health: "ok"}, 0, `{"status":"ok"}`, targetsim.Cancelled},
		"half":           {targetsim.Faults{HalfResponse: 1}, 0, `{"status":"ok"}`, targetsim.Truncated},
		"lying health":   {targetsim.Faults{Health: "cold"}, 200, `{"status":"cold"}`, targetsim.Completed},
		"failing health": {targetsim.Faults{Health: "failing"}, 200, "failing", targetsim.Completed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := start(t, targetsim.Options{Faults: test.faults})
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			work := make(chan answer)
			go func() { work <- get(ctx, target.Addr(), "/work", "X-Request-Id", "r") }()
			health := get(ctx, target.Addr(), "/health")
			a := <-work
			if a.err != nil {
				a.status = 0
			}
			is.Equal(a.status, test.work)
			is.Equal(health.body, test.health)
			eventually(t, func() bool {
				e := target.Executions("r")
				return len(e) == 1 && e[0].Outcome == test.outcome
			})
		})
	}
}

// Guards against flapping that never recovers or never fails.
func TestFlapping(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	target := start(t, targetsim.Options{MedianService: time.Millisecond, Faults: targetsim.Faults{FlapPeriodMS: 200}})
	seen := map[int]int{}
	for begin := time.Now(); time.Since(begin) < 600*time.Millisecond; {
		seen[get(ctx, target.Addr(), "/work").status]++
	}
	is.True(seen[200] > 0)
	is.True(seen[500] > 0)
}

// Guards against draining and cold starts that are not reported, and against
// requests that are as fast during a cold start as after it.
func TestDrainAndColdStart(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	target := start(t, targetsim.Options{MedianService: 10 * time.Millisecond, ColdFor: time.Minute, ColdFactor: 10})
	is.Equal(get(ctx, target.Addr(), "/health").body, `{"status":"cold"}`)
	begin := time.Now()
	get(ctx, target.Addr(), "/work")
	is.True(time.Since(begin) >= 100*time.Millisecond)
	response, err := http.Post("http://"+target.AdminAddr()+"/admin/drain", "", strings.NewReader(`{"draining":true}`))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(get(ctx, target.Addr(), "/health").body, `{"status":"draining"}`)
	a := get(ctx, target.Addr(), "/work")
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("X-Draining"), "true")
	is.True(!target.Summary().DrainingSince.IsZero())
}

// Guards against a caller key that reaches a target without being detected, and
// against other words that are detected as a key.
func TestKeysAreNoticed(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	target := start(t, targetsim.Options{MedianService: time.Millisecond})
	get(ctx, target.Addr(), "/work?file=final_report.pdf")
	is.Equal(target.Summary().KeysSeen, 0)
	get(ctx, target.Addr(), "/work?k=al_k1.c2VjcmV0")
	get(ctx, target.Addr(), "/work", "Authorization", "Bearer al_k1.c2VjcmV0")
	response, err := http.Post("http://"+target.Addr()+"/work", "", strings.NewReader(`{"key":"al_k1.c2VjcmV0"}`))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(target.Summary().KeysSeen, 3)
	var seen []bool
	for _, e := range target.Executions("") {
		seen = append(seen, e.KeySeen)
	}
	is.Equal(seen, []bool{false, true, true, true})
}

// Guards against a connection that watchDisconnect leaves unusable for its next
// request, also when requests are pipelined.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	target := start(t, targetsim.Options{MedianService: 5 * time.Millisecond})
	conn, err := net.Dial("tcp", target.Addr())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	reader := bufio.NewReader(conn)
	for _, pipelined := range []int{1, 1, 3} {
		_, err = io.WriteString(conn, strings.Repeat("GET /work HTTP/1.1\r\nHost: t\r\n\r\n", pipelined))
		is.NoErr(err)
		for range pipelined {
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, 200)
		}
	}
}

// Guards against initial faults that are out of range but accepted.
func TestFaultsAreValidated(t *testing.T) {
	var invalid *targetsim.FaultsError
	err := targetsim.New(targetsim.Options{Faults: targetsim.Faults{Stall: 2}}).Start()
	is.New(t).True(errors.As(err, &invalid))
}
