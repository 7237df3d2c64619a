package health

import (
	"math"
	"time"
)

// maxBackOffLevel bounds the shift; maxBackOff is reached before it.
const maxBackOffLevel = 8

// backOff is the time from an ejection to the trial.
func (t *targetHealth) backOff() time.Duration {
	return min(firstBackOff<<min(t.level, maxBackOffLevel), maxBackOff)
}

// judgeTrial ends a trial: after enough good answers the target returns, after
// failures it is ejected for longer. Probes alone return it only when no
// request at all tried it.
func (s *serviceHealth) judgeTrial(name string, t *targetHealth, now time.Duration, p Profile, sums map[string]tally) {
	sum := t.window.sum(now, longWindow, t.since)
	switch {
	case sum.bad() >= 2 && 5*sum.bad() > sum.answers, t.probe.failing(now) && sum.answers == 0:
		s.failTrial(name, t, now)
	case sum.answers >= p.TrialGood && 10*sum.bad() <= sum.answers:
		others := s.peersOf(name, sums)
		if !t.probe.warming(now) && others.slowCount >= s.minPeers() && sum.logMean()-others.logMean >= slowDoublings {
			t.cause = reasonSlow
			s.failTrial(name, t, now)
			return
		}
		s.move(name, t, active, now)
	case sum.total() == 0 && now-t.since >= trialByProbes && t.probe.goodRun >= minGoodProbes:
		s.move(name, t, active, now)
	}
}

func (s *serviceHealth) failTrial(name string, t *targetHealth, now time.Duration) {
	t.level++
	s.move(name, t, ejected, now)
}

// slowScore is the difference of mean logarithms in standard errors.
func slowScore(sum tally, difference float64) float64 {
	deviation := max(math.Sqrt(sum.logVariance()), minLogDeviation)
	return difference / (deviation / math.Sqrt(float64(sum.answers)))
}
