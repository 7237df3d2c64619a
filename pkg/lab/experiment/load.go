package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/caller"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// record is one finished request.
type record struct {
	id         string
	team       string
	idempotent bool
	sent       time.Time
	answer     caller.Answer
	whole      bool
	// entitled is set when the request need not wait at one central bucket.
	entitled bool
	// added is the latency beyond the time that the target had the request.
	added time.Duration
}

// load sends requests at Poisson intervals, independent of the answers.
type load struct {
	run     *Run
	callers map[string][]*caller.Caller

	mu      sync.Mutex
	records []record
	group   sync.WaitGroup
	slots   chan struct{}
}

const (
	callersPerTeam = 6
	callerTimeout  = 5 * time.Second
	callerTries    = 3
	// maxOpen bounds the requests in progress; a request beyond it is late, not lost.
	maxOpen = 4000
)

func newLoad(r *Run) *load {
	l := &load{run: r, callers: map[string][]*caller.Caller{}, slots: make(chan struct{}, maxOpen)}
	addresses := r.Fleet.CallerAddresses()
	for index, team := range r.Options.Deployment.Teams {
		for n := range callersPerTeam {
			seeds := rotate(addresses, index*callersPerTeam+n)
			pinned := r.scenario.pinnedShare > 0 && float64(n) < r.scenario.pinnedShare*callersPerTeam
			if pinned {
				seeds = addresses
			}
			l.callers[team.Name] = append(l.callers[team.Name], caller.New(caller.Options{
				Team: team.Name, Key: r.Keys[team.Name], Seeds: seeds, Pinned: pinned, MaxTries: callerTries, Timeout: callerTimeout,
				Seed: r.Options.Seed + uint64(index*callersPerTeam+n),
			}))
		}
	}
	return l
}

func rotate(values []string, by int) []string {
	by %= len(values)
	return append(append([]string(nil), values[by:]...), values[:by]...)
}

// start begins to send for every team until ctx ends.
func (l *load) start(ctx context.Context) {
	for index, team := range l.run.Options.Deployment.Teams {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.team(ctx, team, rand.New(rand.NewPCG(l.run.Options.Seed, uint64(index))))
		}()
	}
}

// wait returns the records once all requests have ended.
func (l *load) wait() []record {
	l.group.Wait()
	return l.records
}

func (l *load) team(ctx context.Context, team deployment.Team, rng *rand.Rand) {
	next := time.Now()
	for n := int64(0); ; n++ {
		rate := l.run.offered(team.Name)
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		route := l.run.pickRoute(rng)
		from := l.callers[team.Name][rng.IntN(callersPerTeam)]
		if !sleepUntil(ctx, next) {
			return
		}
		l.slots <- struct{}{}
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.send(from, team.Name, route, caller.NewID(l.run.Options.Name+"-"+team.Name, n))
			<-l.slots
		}()
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *load) send(from *caller.Caller, team string, route deployment.Route, id string) {
	rec := record{id: id, team: team, idempotent: route.Idempotent, sent: time.Now()}
	// A request that was sent is followed to its end, also when the load stops.
	rec.answer = from.Do(context.Background(), caller.Request{ID: id, Method: route.Method, Path: route.Path + "/" + id})
	rec.whole = rec.answer.Err == nil && rec.answer.Status == 200 && rec.answer.Code == "" &&
		string(rec.answer.Body) == string(targetsim.Body(id, defaultBody))
	rec.added = rec.answer.Latency - rec.answer.TargetTime
	rec.answer.Body = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, rec)
}

// defaultBody is the size of a simulated target's answer.
const defaultBody = 256

// refused tells whether the fleet itself refused the request.
func (r *record) refused() bool { return r.answer.Code != "" }

func (r *record) notRun() bool {
	return r.answer.Err == nil && r.answer.Outcome == refusal.OutcomeNotRun
}
