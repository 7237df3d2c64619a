package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	edgefleet "github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// membersStream numbers the random draws of changeMembersInCalm.
	membersStream = 14
	// maxLateWrite is the longest time after which the store performs a write whose answer it lost.
	maxLateWrite = 6 * time.Second
	// maxRestoreDelay is the longest time from the first addition to the restore.
	maxRestoreDelay = 3 * time.Second
	// dumpInterval is the time between two comparisons of what the instances know.
	dumpInterval = 250 * time.Millisecond
)

// changeMembersInCalm restarts an instance while the answers of writes are lost and the writes
// performed late, restores the store, and adds instances around both. No instance is disturbed but
// the one that is restarted. All that serve must know each other within the bound that pkg/fleet
// states.
func (tb *testbed) changeMembersInCalm(ctx context.Context, report *Report) error {
	rng := rand.New(rand.NewPCG(tb.Seed, membersStream))
	lateBy := time.Duration(rng.Int64N(int64(maxLateWrite)))
	restoreDelay := time.Duration(rng.Int64N(int64(maxRestoreDelay)))
	restored := rng.IntN(3) > 0
	tb.addFault(report, fmt.Sprintf("members change: writes performed %.1f s late, instances added, store restored: %t, %.1f s after the first addition",
		lateBy.Seconds(), restored, restoreDelay.Seconds()))
	from := tb.store.Copy()
	endStop := tb.beginStoreFaults(storesim.Faults{LoseAnswers: true, ApplyDelay: lateBy})
	stopped := tb.instances[rng.IntN(len(tb.instances))]
	endSpan := tb.openSpan(&stopped.faultSpans)
	late := time.Now().Add(lateBy)
	tb.stopProcess(stopped, rng.IntN(2) == 0)
	endStop()
	if err := tb.startInstance(stopped, false); err != nil {
		return err
	}
	endSpan()
	if err := tb.addInstance(); err != nil {
		return err
	}
	if err := sleep(ctx, restoreDelay); err != nil {
		return err
	}
	var failed error
	add := func() { failed = tb.addInstance() }
	if restored {
		// The instance that was added before loses its entry.
		tb.restore(ctx, rng, from, rng.IntN(2) == 0, add)
	} else {
		add()
	}
	if failed != nil {
		return failed
	}
	if err := sleep(ctx, time.Until(late.Add(gracePeriod))); err != nil {
		return err
	}
	if err := tb.checkMembers(ctx); err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

// addInstance adds an instance to the fleet.
func (tb *testbed) addInstance() error {
	tb.mu.Lock()
	n := len(tb.instances)
	i := &instance{name: fmt.Sprintf("e-%d", n+1), zone: []string{"a", "b"}[n%2], ip: fmt.Sprintf("127.%s.%d", tb.Network, n+1)}
	tb.mu.Unlock()
	i.store = relay.New(relay.Options{Target: tb.store.Address()})
	if err := i.store.Start(); err != nil {
		return err
	}
	if err := tb.startInstance(i, false); err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.instances = append(slices.Clone(tb.instances), i)
	return nil
}

// checkMembers waits until all instances that serve know each other, and notes a violation if that takes
// longer than the bound.
func (tb *testbed) checkMembers(ctx context.Context) error {
	began, disagreement := time.Now(), ""
	for time.Since(began) < edgefleet.DisagreementBound {
		if disagreement = tb.disagreement(ctx); disagreement == "" {
			return nil
		}
		if err := sleep(ctx, dumpInterval); err != nil {
			return err
		}
	}
	tb.addViolation("instances know each other", "%.0f s after the last fault: %s", edgefleet.DisagreementBound.Seconds(), disagreement)
	return nil
}

// disagreement compares whom the serving instances take for serving with those that serve, and how
// many they know with those in the roster, which all run. It returns a difference, or nothing.
func (tb *testbed) disagreement(ctx context.Context) string {
	views, listed := map[string][]string{}, len(tb.store.Keys("members"))
	for _, i := range tb.instances {
		d, err := tb.dumpMembers(ctx, i)
		switch {
		case err != nil:
			return err.Error()
		case !d.Fleet.Serving:
			continue
		case d.Roster.Known < listed:
			return fmt.Sprintf("%s knows %d instances, %d are in the roster", i.name, d.Roster.Known, listed)
		}
		views[i.name] = []string{}
		for _, p := range d.Fleet.Peers {
			views[i.name] = append(views[i.name], p.Instance)
		}
	}
	serving := slices.Sorted(maps.Keys(views))
	for _, name := range serving {
		if !slices.Equal(views[name], serving) {
			return fmt.Sprintf("%s takes %v for serving, %v serve", name, views[name], serving)
		}
	}
	return ""
}

// membersDump is what the dump of an instance says of the others.
type membersDump struct {
	Fleet  edgefleet.View        `json:"fleet"`
	Roster edgefleet.RosterState `json:"roster"`
}

// dumpMembers returns what an instance knows of the others.
func (tb *testbed) dumpMembers(ctx context.Context, i *instance) (*membersDump, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.address(metricsPort)+"/dump", http.NoBody)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	var dump membersDump
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		return nil, errors.WithStack(err)
	}
	return &dump, nil
}
