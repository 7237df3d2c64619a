package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// The platform's bound for a request that crashes the targets which run it: from
// deadlySettled after it has crashed deadlyCrashes of them, it may reach targets
// deadlyLater times more, from instances without faults.
const (
	deadlyCrashes = 3
	deadlySettled = 3 * time.Second
	deadlyLater   = 3
	// deadlyMark is a part of the paths of such requests.
	deadlyMark = "/deadly-"
	// maxDownTime is the longest time after which a crashed target is back.
	maxDownTime = 2 * time.Second
)

// crash ends a target because of a request, and starts another one at its address.
func (tb *testbed) crash(s *upstreamsim.Server) {
	tb.mu.Lock()
	n := slices.IndexFunc(tb.targets, func(t *target) bool { return t.Server == s })
	if n < 0 {
		// Another fault replaces it.
		tb.mu.Unlock()
		s.Close()
		return
	}
	t := tb.targets[n]
	tb.targets = slices.Delete(tb.targets, n, n+1)
	tb.removedTargets = append(tb.removedTargets, t)
	tb.mu.Unlock()
	_ = t.pathRelay.Close()
	s.Close()
	tb.activeFaults.Go(func() {
		time.Sleep(maxDownTime/4 + rand.N(maxDownTime*3/4))
		tb.store.Delete("servers", t.ID)
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if _, err := tb.addTarget(t.Service, t.pathRelay.Addr()); err != nil {
			tb.violations = append(tb.violations, Violation{"soak", err.Error()})
		}
	})
}

// injectDeadlyRequests sends requests that crash targets, one at a time and again and again,
// to random instances until ctx ends. The draws are apart from those of the other faults.
func (tb *testbed) injectDeadlyRequests(ctx context.Context, c *callers, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		if sleep(ctx, startupTime+time.Duration(rng.Int64N(int64(4*time.Second)))) != nil {
			return
		}
		team, prefix := teams[rng.IntN(len(teams))], []string{safeRoute, unsafeRoute}[rng.IntN(2)]
		path := prefix + strings.TrimPrefix(deadlyMark, "/") + fmt.Sprint(n)
		gap, end := 50*time.Millisecond+time.Duration(rng.Int64N(int64(time.Second))), time.Now().Add(2*deadlySettled)
		tb.addFault(report, fmt.Sprintf("request %s crashes targets, each %.2f s", path, gap.Seconds()))
		for k := 0; ctx.Err() == nil && time.Now().Before(end); k++ {
			tb.mu.Lock()
			keys, i := tb.config.keys[team], tb.instances[rng.IntN(len(tb.instances))]
			tb.mu.Unlock()
			r := &request{id: fmt.Sprintf("d%d-%d", n, k), team: team, key: keys[len(keys)-1], path: path, safe: prefix == safeRoute}
			sender := &caller{callers: c, testbed: tb, rng: rng, addresses: []string{i.address(callerPort)}, addressesExpire: end.Add(time.Hour)}
			sender.send(r)
			sender.closeConnection()
			r.endedAt = time.Now()
			c.add(r)
			_ = sleep(ctx, gap)
		}
	}
}

// checkDeadlyRequests checks that no request crashed more targets than the bound allows,
// and that no other one was refused for that.
func (tb *testbed) checkDeadlyRequests(runs []upstreamsim.Execution, requests map[string]*request) {
	byPath := map[string][]upstreamsim.Execution{}
	for _, run := range runs {
		if strings.Contains(run.Path, deadlyMark) {
			byPath[run.Path] = append(byPath[run.Path], run)
		}
	}
	for path, crashes := range byPath {
		slices.SortFunc(crashes, func(a, b upstreamsim.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
		later := 0
		for n, run := range crashes {
			r := requests[run.ID]
			if n >= deadlyCrashes && r != nil && run.StartedAt.Sub(crashes[deadlyCrashes-1].StartedAt) > deadlySettled && !tb.hadFault(r.ip, run.StartedAt, run.StartedAt) {
				later++
			}
		}
		if later > deadlyLater {
			tb.addViolation("requests that crash targets reach few", "%s reached %d targets, %d of them later than %s after the third", path, len(crashes), later, deadlySettled)
		}
	}
	for _, r := range requests {
		if !strings.Contains(r.path, deadlyMark) && bytes.HasPrefix(r.responseBody, []byte("request_quarantined")) {
			tb.addViolation("only requests that crash targets are in quarantine", "%s was refused", r.id)
		}
	}
}
