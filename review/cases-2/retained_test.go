//go:build review2

package cases2

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// stableWindow and drain are the bounds of the deployment skyline-gw.
	stableWindow = 3 * time.Second
	drain        = 2 * time.Second
	// outage is how long the store is down; the site file has outages of 4.5 s.
	outage = 4200 * time.Millisecond
	// watched is how long the removed upstream serves on after the store is back.
	watched = stableWindow + 1200*time.Millisecond
	rounds  = 10
)

// removal is one round: an upstream's entry is removed while the store is stable, and the store is
// down right afterwards.
type removal struct {
	upstream *upstreamsim.Server
	// acked is when the store acknowledged the removal, back when it answered again.
	acked, back time.Time
}

// playRetained removes the entries of upstreams that never report draining, each just before a short
// outage of the store, and looks for requests that reach them once the store has been stable again for
// stable_window.
func playRetained(o options) ([]string, error) {
	f, err := newFleet(o.folder)
	if err != nil {
		return nil, err
	}
	defer f.close()
	const service = "booking-desk"
	if err := f.configure(1, []string{service}, rule("/safe/", "safe", service), rule("/unsafe/", "unsafe", service)); err != nil {
		return nil, err
	}
	zones := []string{"a", "b", "c"}
	for n := range 6 {
		if _, err := f.addUpstream(service, zones[n%len(zones)]); err != nil {
			return nil, err
		}
	}
	for _, zone := range zones {
		m, err := f.addMachine(zone)
		if err != nil {
			return nil, err
		}
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	rec := &record{began: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	c := newConsumers(f)
	go c.resolve(ctx)
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() { c.run(ctx, []string{"/safe/x", "/unsafe/x"}, 60*time.Millisecond) })
	}
	time.Sleep(2*time.Second + stableWindow)
	var removals []removal
	for n := range rounds {
		r, err := removeOne(f, rec, service, zones[n%len(zones)], o.trouble)
		if err != nil {
			cancel()
			return nil, err
		}
		removals = append(removals, r)
	}
	cancel()
	callers.Wait()
	for _, m := range f.machines {
		if !m.running() {
			return nil, fmt.Errorf("machine %s ended", m.name)
		}
	}
	broken := checkRemovals(removals, c)
	rec.addTraffic(c, f)
	for _, b := range broken {
		rec.add(time.Now(), "BROKEN: %s", b)
	}
	return broken, rec.write(o.record)
}

// removeOne plays one round.
func removeOne(f *fleet, rec *record, service, zone string, trouble bool) (removal, error) {
	f.mu.Lock()
	u := f.upstreams[len(f.upstreams)-6]
	f.mu.Unlock()
	f.store.Delete("servers", u.ID)
	r := removal{upstream: u, acked: time.Now()}
	rec.add(r.acked, "the store has removed the entry of %s", u.ID)
	if trouble {
		f.store.SetFaults(storesim.Faults{Status: http.StatusServiceUnavailable})
		rec.add(time.Now(), "the store answers 503 to every call")
	}
	time.Sleep(outage)
	f.store.SetFaults(storesim.Faults{})
	r.back = time.Now()
	rec.add(r.back, "the store serves all calls")
	if _, err := f.addUpstream(service, zone); err != nil {
		return r, err
	}
	time.Sleep(time.Until(r.back.Add(watched)))
	u.Close()
	rec.add(time.Now(), "%s has ended", u.ID)
	time.Sleep(500 * time.Millisecond)
	return r, nil
}

// checkRemovals returns the requests that were sent while the store had been stable for stableWindow and
// reached an upstream later than drain after its removal.
func checkRemovals(removals []removal, c *consumers) []string {
	var broken []string
	requests := c.byID()
	for _, r := range removals {
		for _, run := range r.upstream.Executions() {
			q := requests[run.ID]
			if q == nil || run.StartedAt.Before(r.acked.Add(drain)) || q.sent.Before(r.back.Add(stableWindow)) {
				continue
			}
			broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent to %s %d ms after the store was back, reached %s %d ms after its entry was removed",
				run.ID, q.machine, q.sent.Sub(r.back).Milliseconds(), run.Target, run.StartedAt.Sub(r.acked).Milliseconds()))
		}
	}
	return broken
}
