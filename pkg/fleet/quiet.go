package fleet

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// quietShare of the mean rate of the zone's serving instances is the rate below which
	// an instance becomes quiet, ownerShare the rate from which it is no longer.
	quietShare = 0.2
	ownerShare = 0.4
	// minQuietMean is the mean rate in requests per second from which instances are
	// compared.
	minQuietMean = 1.0
	// quietDelay is how long an instance must have had few requests before it becomes
	// quiet. One that starts to serve is quiet at once: callers keep using the addresses
	// and connections that they have.
	quietDelay = 2 * time.Second
)

// quietState tells whether this instance gets too few requests to keep targets in use.
// Each instance decides for itself and announces the result, so that all instances assign
// the targets in the same way. The zero value is that of an instance that does not serve.
type quietState struct {
	value, serving bool
	// fewSince is the time since boot from which the instance has had few requests, or 0
	// if it has not.
	fewSince time.Duration
}

// update decides for a new view. The caller holds the fleet's mutex.
func (q *quietState) update(f *Fleet, serving bool, now time.Duration) {
	old, begins := q.value, serving && !q.serving
	q.serving = serving
	if !serving {
		*q = quietState{}
		return
	}
	rate := f.Rate()
	mean := f.meanRateWith(rate, now)
	if mean < minQuietMean || rate >= ownerShare*mean {
		q.value, q.fewSince = false, 0
	} else {
		// Callers leave an instance without paths, and do not come back while it has none.
		q.value = begins || f.pathsLost() || q.becomesQuiet(rate < quietShare*mean, now)
	}
	if q.value != old {
		event.QuietChanged.Log(f.Log).Bool("quiet", q.value).Float64("rate", rate).Float64("zone_mean", mean).Send()
	}
}

// becomesQuiet reports whether an instance is quiet whose rate is too low for one that is
// quiet already to cease.
func (q *quietState) becomesQuiet(few bool, now time.Duration) bool {
	switch {
	case q.value:
		return true
	case !few:
		q.fewSince = 0
	case q.fewSince == 0:
		q.fewSince = now
	}
	return few && now-q.fewSince >= quietDelay
}

// meanRateWith returns the mean rate of the serving instances of this instance's zone,
// whose own rate is given.
func (f *Fleet) meanRateWith(own float64, now time.Duration) float64 {
	sum, count := own, 1.0
	for _, k := range f.zoneMembers() {
		if k.serving && !k.leaving && !k.pathsLost && now-k.lastReceived < unresponsiveTimeout {
			sum += k.rate
			count++
		}
	}
	return sum / count
}
