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

// load sends requests at Poisson intervals in the background.
type load struct {
	world  *world
	cancel context.CancelFunc
	group  sync.WaitGroup
}

const (
	callerTries = 3
	// maxOpen bounds the requests in progress of one team.
	maxOpen = 200
)

// startLoad starts load of each team, at rate requests per second per team.
// Callers follow the directory unless via names the instances that they use.
func (w *world) startLoad(a *arguments) error {
	teams, routes := a.list("team", "red"), a.list("routes", readRoute+","+writeRoute)
	rate := a.number("rate", 40)
	var seeds []string
	for _, word := range a.list("via", "") {
		if n := a.index(word); n < len(w.fleet.Instances) {
			seeds = append(seeds, w.fleet.Instances[n].Settings.CallerAddress)
		}
	}
	if err := a.finish(); err != nil {
		return err
	}
	options := caller.Options{Seeds: seeds, Pinned: len(seeds) > 0, MaxTries: callerTries, Timeout: answerTimeout, Seed: w.options.Seed}
	if !options.Pinned {
		options.Seeds = w.fleet.CallerAddresses()
	}
	if options.Pinned {
		options.MaxTries = len(seeds)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{world: w, cancel: cancel}
	w.loads = append(w.loads, l)
	for index, team := range teams {
		options.Team, options.Key = team, w.keys[team]
		from := caller.New(options)
		rng := rand.New(rand.NewPCG(w.options.Seed, uint64(index)))
		l.group.Go(func() { l.run(ctx, from, rng, team, routes, float64(rate)) })
	}
	return nil
}

func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

func (l *load) run(ctx context.Context, from *caller.Caller, rng *rand.Rand, team string, routes []string, rate float64) {
	open := make(chan struct{}, maxOpen)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		route := routes[rng.IntN(len(routes))]
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		open <- struct{}{}
		l.group.Go(func() {
			l.send(from, team, route)
			<-open
		})
	}
}

func (l *load) send(from *caller.Caller, team, route string) {
	w := l.world
	rec := &record{id: w.newID(), team: team, route: route, idempotent: route == readRoute, sent: time.Now(), dialed: true}
	w.add(rec)
	method := http.MethodPost
	if rec.idempotent {
		method = http.MethodGet
	}
	// A request that was sent is followed to its end, also when the load stops.
	answer := from.Do(context.Background(), caller.Request{ID: rec.id, Method: method, Path: "/" + route + "/" + rec.id})
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.ended, rec.status, rec.code, rec.outcome, rec.err = time.Now(), answer.Status, answer.Code, answer.Outcome, answer.Err
	rec.whole = answer.Err == nil && answer.Status == http.StatusOK && answer.Code == "" &&
		bytes.Equal(answer.Body, targetsim.Body(rec.id, bodyBytes))
	var dialing *caller.DialError
	var nobody *caller.NoAddressError
	if errors.As(answer.Err, &dialing) || errors.As(answer.Err, &nobody) {
		rec.dialed = false
	}
}

// stopLoad ends all load and waits for the requests in progress.
func (w *world) stopLoad() {
	for _, l := range w.loads {
		l.stop()
	}
	w.loads = nil
}
