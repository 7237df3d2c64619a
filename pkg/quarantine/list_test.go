package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/health"
)

func newTestList() (*List, *clock.Manual) {
	c := clock.NewManual(time.Unix(0, 0))
	log := zerolog.Nop()
	return New(c, &log), c
}

func digest(n int) Digest { return DigestOf("t", "GET", "h", fmt.Sprint("/", n), nil) }

// crash makes a target end under requests that were admitted just before.
func crash(l *List, digests ...Digest) {
	var losses []Loss
	for _, d := range digests {
		known, _, _ := l.Admit(d)
		losses = append(losses, Loss{d, known})
	}
	l.RecordCrash(losses)
}

func quarantined(l *List, d Digest) bool {
	_, _, err := l.Admit(d)
	return err != nil
}

// Guards against the quarantine of a request that is open at many targets when they end
// together, as when a zone loses power.
func TestTargetsThatEndTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	l, _ := newTestList()
	for range 3 {
		known, _, err := l.Admit(digest(1))
		is.NoErr(err)
		for range 20 {
			l.RecordCrash([]Loss{{digest(1), known}})
		}
	}
	is.True(quarantined(l, digest(1))) // the third such event is too much
	l, _ = newTestList()
	for range 20 {
		l.RecordCrash([]Loss{{digest(1), Suspicion{}}})
	}
	is.True(!quarantined(l, digest(1)))
}

// Guards against the quarantine of requests that are open beside one that crashes targets.
func TestRequestsBesideTheCulpritAreAdmitted(t *testing.T) {
	is := is.New(t)
	l, _ := newTestList()
	crash(l, digest(1), digest(2))
	crash(l, digest(1))
	crash(l, digest(1), digest(2), digest(3)) // the one with the most crashes is held responsible
	is.True(quarantined(l, digest(1)))
	is.True(!quarantined(l, digest(2)))
	known, err := l.Lookup(digest(3))
	is.NoErr(err)
	is.Equal(known, Suspicion{})
}

// Guards against a quarantine that a success does not end, and that knowledge from before
// the success brings back.
func TestSuccessClears(t *testing.T) {
	is := is.New(t)
	l, _ := newTestList()
	other, _ := newTestList()
	crash(l, digest(1))
	known, _, _ := l.Admit(digest(1))
	crash(l, digest(1))
	crash(l, digest(1))
	other.Merge("l", l.Messages())
	is.True(quarantined(l, digest(1)) && quarantined(other, digest(1)))
	l.RecordSuccess(digest(1), Suspicion{}) // began before the first crash
	is.True(quarantined(l, digest(1)))
	l.RecordSuccess(digest(1), known)
	is.True(!quarantined(l, digest(1)))
	l.Merge("other", other.Messages())
	is.True(!quarantined(l, digest(1)))
	other.Merge("l", l.Messages())
	is.True(!quarantined(other, digest(1)))
	for range maxCrashes {
		crash(other, digest(1))
	}
	is.True(quarantined(other, digest(1))) // it counts anew
}

// Guards against requests that stay in quarantine although the targets were mended, and
// against trials without end.
func TestTrials(t *testing.T) {
	is := is.New(t)
	l, c := newTestList()
	for range maxCrashes {
		crash(l, digest(1))
	}
	owned := false
	l.Owns = func(Digest) bool { return owned }
	for n, delay := range []time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour} {
		c.Advance(delay - time.Second)
		owned = true
		_, _, err := l.Admit(digest(1))
		var q *QuarantinedError
		is.True(errors.As(err, &q))
		is.Equal(q.RetryAfter, time.Second)
		c.Advance(time.Second)
		owned = false
		is.True(quarantined(l, digest(1))) // another instance tries it
		owned = true
		known, trial, err := l.Admit(digest(1))
		is.NoErr(err)
		is.True(trial)
		is.Equal(known.Crashes, uint32(maxCrashes+n))
		is.True(quarantined(l, digest(1))) // only one at a time
		l.RecordCrash([]Loss{{digest(1), known}})
	}
	c.Advance(23 * time.Hour)
	is.True(quarantined(l, digest(1)))
	c.Advance(forgetAfter)
	is.True(!quarantined(l, digest(1)))
}

// Guards against memory and messages that grow with the number of requests.
func TestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	l, c := newTestList()
	for range maxCrashes {
		crash(l, digest(0))
	}
	for n := range 3 * maxEntries {
		crash(l, digest(n+1))
		if n%100 == 0 {
			c.Advance(time.Second)
		}
	}
	is.Equal(len(l.entries), maxEntries)
	is.Equal(l.recent.Len(), maxEntries)
	is.True(len(l.Messages()) <= maxRecentPerMessage+maxOlderPerMessage)
	is.True(quarantined(l, digest(0))) // suspects go first
	c.Advance(changeTTL)
	is.Equal(len(l.Messages()), maxOlderPerMessage)
}

// Guards against a request that crashes more targets than there are instances which cannot
// have heard of the third crash, at any rate, with messages that are late, lost and passed
// on, and against other requests that are refused.
func TestFleetStopsACulprit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := zerolog.Nop()
		c := clock.NewManual(time.Unix(0, 0))
		instances := make([]*List, rapid.IntRange(1, 12).Draw(t, "instances"))
		for n := range instances {
			instances[n] = New(c, &log)
		}
		step := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms between requests")) * time.Millisecond
		lossPercent := rapid.IntRange(0, 50).Draw(t, "lost messages in percent")
		// rapid favours small numbers, which would lose far more messages than stated.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of the losses"), 0))
		exchange := func() {
			for from, l := range instances {
				for to := range instances {
					if to != from && random.IntN(100) >= lossPercent {
						instances[to].Merge("peer", l.Messages())
					}
				}
			}
		}
		var third time.Duration
		crashes, later, nextExchange := 0, 0, health.ReportInterval
		for n := range 200 {
			arrival := c.SinceBoot() + step
			for ; nextExchange <= arrival; nextExchange += health.ReportInterval {
				c.Advance(nextExchange - c.SinceBoot())
				exchange()
			}
			c.Advance(arrival - c.SinceBoot())
			l := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "at")]
			known, _, err := l.Admit(digest(0))
			if err == nil {
				crashes++
				if crashes == maxCrashes {
					third = c.SinceBoot()
				}
				if crashes > maxCrashes && c.SinceBoot()-third > 3*time.Second {
					later++
				}
				l.RecordCrash([]Loss{{digest(0), known}, {digest(n + 1), Suspicion{}}})
			}
			if quarantined(l, digest(n+1)) {
				t.Fatalf("request %d is refused", n+1)
			}
		}
		if later > 0 {
			t.Fatalf("%d crashes, %d of them later than 3 s after the third", crashes, later)
		}
	})
}
