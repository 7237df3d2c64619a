package clock

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an estimate that excludes the true time, whatever the delays of calls and
// answers, and against one that does not come closer with faster calls.
func TestRemoteBoundsHoldTheTrueTime(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const ahead = 3 * time.Hour
	var r Remote
	_, _, _, ok := r.At(0)
	is.True(!ok)
	now := 10 * time.Second
	for range 500 {
		sentAt := now
		readAt := sentAt + time.Duration(rng.Int64N(int64(2*time.Second)))
		now = readAt + time.Duration(rng.Int64N(int64(2*time.Second)))
		r.Observe(1, readAt+ahead, sentAt, now)
		_, earliest, latest, ok := r.At(now)
		is.True(ok)
		is.True(earliest <= now+ahead && now+ahead <= latest)
	}
	r.Observe(1, now+2*time.Millisecond+ahead, now, now+4*time.Millisecond)
	for range 3 {
		_, earliest, latest, _ := r.At(now)
		is.True(latest-earliest <= 4*time.Millisecond)
		r.Observe(1, now+ahead, now-time.Second, now+time.Second) // a slow call takes nothing away
	}
}

// Guards against readings from before an outage of hours that exclude the true time, because the
// clocks have drifted since.
func TestRemoteAfterLongSilence(t *testing.T) {
	is := is.New(t)
	var r Remote
	r.Observe(1, time.Hour, 0, 400*time.Millisecond) // shown as the call was sent
	at := 2 * time.Hour
	const drift = -450 * time.Millisecond
	r.Observe(1, at+time.Hour+drift, at-200*time.Millisecond, at+200*time.Millisecond)
	_, earliest, latest, _ := r.At(at)
	is.True(earliest <= at+time.Hour+drift && at+time.Hour+drift <= latest)
}

// Guards against bounds of a clock that drifts, that went back in a restore, or that has jumped
// without one, from readings that no longer hold.
func TestRemoteForgetsOldReadings(t *testing.T) {
	is := is.New(t)
	const drift = 50 * time.Microsecond // in a second
	var r Remote
	observe := func(era int64, reading, at time.Duration) {
		r.Observe(era, reading, at-2*time.Millisecond, at+2*time.Millisecond)
	}
	for s := range 600 {
		at := time.Duration(s) * time.Second
		observe(1, time.Hour+at+time.Duration(s)*drift, at)
		_, earliest, latest, _ := r.At(at)
		is.True(earliest-(time.Hour+at+time.Duration(s)*drift) <= 10*time.Millisecond)
		is.True((time.Hour+at+time.Duration(s)*drift)-latest <= 10*time.Millisecond)
	}
	at := 601 * time.Second
	observe(2, time.Minute, at)
	observe(1, 2*time.Hour, at)
	era, _, latest, _ := r.At(at)
	is.Equal(era, int64(2))
	is.Equal(latest, time.Minute+2*time.Millisecond)
	observe(2, time.Second, at)
	_, _, latest, _ = r.At(at)
	is.Equal(latest, time.Second+2*time.Millisecond)
}
