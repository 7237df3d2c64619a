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

// record is one finished request of a caller.
type record struct {
	id         string
	team       string
	idempotent bool
	sent       time.Time
	answer     caller.Answer
	// whole is set when the complete and correct answer arrived.
	whole bool
	// entitled is set when a single token bucket of the team would admit the
	// request without a wait.
	entitled bool
	// addedLatency is the latency minus the time that the target had the request.
	addedLatency time.Duration
}

// load is an open-loop generator: it sends requests at Poisson intervals,
// independent of the answers.
type load struct {
	run *Run
	// callers are keyed by team.
	callers map[string][]*caller.Caller

	mu         sync.Mutex
	records    []record
	requests   sync.WaitGroup
	inProgress chan struct{}
}

const (
	callersPerTeam = 6
	// callerTimeout applies to each try, maxCallerTries to each request.
	callerTimeout  = 5 * time.Second
	maxCallerTries = 3
	// maxOpenRequests bounds the requests in progress; when it is reached, the
	// next request is sent late rather than dropped.
	maxOpenRequests = 4000
)

// newLoad creates the callers of all teams. A pinned caller uses the first
// instance only; the others start with different instances.
func newLoad(r *Run) *load {
	l := &load{run: r, callers: map[string][]*caller.Caller{}, inProgress: make(chan struct{}, maxOpenRequests)}
	addresses := r.Fleet.CallerAddresses()
	for index, team := range r.Options.Deployment.Teams {
		for n := range callersPerTeam {
			seeds := rotate(addresses, index*callersPerTeam+n)
			pinned := r.scenario.pinnedFraction > 0 && float64(n) < r.scenario.pinnedFraction*callersPerTeam
			if pinned {
				seeds = addresses
			}
			l.callers[team.Name] = append(l.callers[team.Name], caller.New(caller.Options{
				Team: team.Name, Key: r.Keys[team.Name], Seeds: seeds, Pinned: pinned, MaxTries: maxCallerTries, Timeout: callerTimeout,
				Seed: r.Options.Seed + uint64(index*callersPerTeam+n),
			}))
		}
	}
	return l
}

// rotate returns a copy of values that begins with the element at index by,
// modulo the length.
func rotate(values []string, by int) []string {
	by %= len(values)
	return append(append([]string(nil), values[by:]...), values[:by]...)
}

// start sends the load of every team in the background until ctx ends.
func (l *load) start(ctx context.Context) {
	for index, team := range l.run.Options.Deployment.Teams {
		l.requests.Add(1)
		go func() {
			defer l.requests.Done()
			l.sendTeamLoad(ctx, team, rand.New(rand.NewPCG(l.run.Options.Seed, uint64(index))))
		}()
	}
}

// wait returns the records once all requests have ended.
func (l *load) wait() []record {
	l.requests.Wait()
	return l.records
}

// sendTeamLoad sends the requests of one team until ctx ends.
func (l *load) sendTeamLoad(ctx context.Context, team deployment.Team, rng *rand.Rand) {
	next := time.Now()
	for n := int64(0); ; n++ {
		rate := l.run.offeredRate(team.Name)
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		route := l.run.pickRoute(rng)
		sender := l.callers[team.Name][rng.IntN(callersPerTeam)]
		if !sleepUntil(ctx, next) {
			return
		}
		l.inProgress <- struct{}{}
		l.requests.Add(1)
		go func() {
			defer l.requests.Done()
			l.send(sender, team.Name, route, caller.NewID(l.run.Options.Name+"-"+team.Name, n))
			<-l.inProgress
		}()
	}
}

// sleepUntil waits until t. It returns false when ctx ends first.
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

// send sends one request and records its result.
func (l *load) send(sender *caller.Caller, team string, route deployment.Route, id string) {
	rec := record{id: id, team: team, idempotent: route.Idempotent, sent: time.Now()}
	// Requests in progress are completed after the load stops, so ctx does not apply.
	rec.answer = sender.Do(context.Background(), caller.Request{ID: id, Method: route.Method, Path: route.Path + "/" + id})
	rec.whole = rec.answer.Err == nil && rec.answer.Status == 200 && rec.answer.Code == "" &&
		string(rec.answer.Body) == string(targetsim.Body(id, targetBodyBytes))
	rec.addedLatency = rec.answer.Latency - rec.answer.TargetTime
	rec.answer.Body = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, rec)
}

// targetBodyBytes is the size of the body that a simulated target answers with.
const targetBodyBytes = 256

// refused reports whether the fleet, not the target, refused the request.
func (r *record) refused() bool { return r.answer.Code != "" }

// notRun reports whether the answer states that the request did not run.
func (r *record) notRun() bool {
	return r.answer.Err == nil && r.answer.Outcome == refusal.OutcomeNotRun
}
