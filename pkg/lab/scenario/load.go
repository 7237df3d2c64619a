package scenario

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/caller"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// load sends requests in the background as a Poisson process for each team.
type load struct {
	testbed *testbed
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

const (
	// maxCallerTries bounds the addresses that a caller tries for one request.
	maxCallerTries = 3
	// maxRequestsInProgress bounds the requests in progress of one team.
	maxRequestsInProgress = 200
)

// startLoad starts the load of each team. The argument rate is in requests per
// second per team. Callers use the addresses of the directory, or only the
// instances that the argument via names.
func (tb *testbed) startLoad(a *arguments) error {
	teams, routes := a.list("team", "red"), a.list("routes", readRoute+","+writeRoute)
	rate := a.number("rate", 40)
	var seeds []string
	for _, word := range a.list("via", "") {
		if n := a.index(word); n < len(tb.fleet.Instances) {
			seeds = append(seeds, tb.fleet.Instances[n].Settings.CallerAddress)
		}
	}
	if err := a.validate(); err != nil {
		return err
	}
	options := caller.Options{Seeds: seeds, Pinned: len(seeds) > 0, MaxTries: maxCallerTries, Timeout: answerTimeout, Seed: tb.options.Seed}
	if !options.Pinned {
		options.Seeds = tb.fleet.CallerAddresses()
	}
	if options.Pinned {
		options.MaxTries = len(seeds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{testbed: tb, cancel: cancel}
	tb.loads = append(tb.loads, l)
	for index, team := range teams {
		options.Team, options.Key = team, tb.keys[team]
		client := caller.New(options)
		rng := rand.New(rand.NewPCG(tb.options.Seed, uint64(index)))
		l.group.Go(func() { l.run(ctx, client, rng, team, routes, float64(rate)) })
	}
	return nil
}

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

func (l *load) run(ctx context.Context, client *caller.Caller, rng *rand.Rand, team string, routes []string, rate float64) {
	inProgress := make(chan struct{}, maxRequestsInProgress)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		route := routes[rng.IntN(len(routes))]
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		inProgress <- struct{}{}
		l.group.Go(func() {
			l.send(client, team, route)
			<-inProgress
		})
	}
}

// send sends one request and records it.
func (l *load) send(client *caller.Caller, team, route string) {
	tb := l.testbed
	rec := &record{id: tb.newID(), team: team, route: route, idempotent: route == readRoute, sentAt: time.Now(), connected: true}
	tb.add(rec)
	method := http.MethodPost
	if rec.idempotent {
		method = http.MethodGet
	}
	// The request is not canceled when the load stops, so that its answer is
	// recorded.
	answer := client.Do(context.Background(), caller.Request{ID: rec.id, Method: method, Path: "/" + route + "/" + rec.id})
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rec.endedAt, rec.status, rec.code, rec.outcome, rec.err = time.Now(), answer.Status, answer.Code, answer.Outcome, answer.Err
	rec.complete = answer.Err == nil && answer.Status == http.StatusOK && answer.Code == "" &&
		bytes.Equal(answer.Body, targetsim.Body(rec.id, answerBytes))
	var dialError *caller.DialError
	var noAddressError *caller.NoAddressError
	if errors.As(answer.Err, &dialError) || errors.As(answer.Err, &noAddressError) {
		rec.connected = false
	}
}

// stopLoad ends all load and waits for the requests in progress.
func (tb *testbed) stopLoad() {
	for _, l := range tb.loads {
		l.stop()
	}
	tb.loads = nil
}
