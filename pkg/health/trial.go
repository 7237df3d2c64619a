package health

import (
	"math"
	"time"
)

// maxBackOffLevel keeps the shift in backOff from overflowing. maxBackOff is reached
// at a lower level.
const maxBackOffLevel = 8

// backOff returns the time from an ejection to the trial.
func (t *targetHealth) backOff() time.Duration {
	return min(firstBackOff<<min(t.backOffLevel, maxBackOffLevel), maxBackOff)
}

// judgeTrial ends a trial when there are enough results. After enough good answers
// the target becomes active; after failures, or when it is still slow, it is ejected
// for longer. Probes alone make it active only when it received no request at all.
func (s *serviceHealth) judgeTrial(name string, t *targetHealth, now time.Duration, p Profile, sums map[string]tally) {
	sum := t.window.sum(now, longWindow, t.since)
	switch {
	case sum.failures() >= 2 && 5*sum.failures() > sum.answers, t.probe.failing(now) && sum.answers == 0:
		s.failTrial(name, t, now)
	case sum.answers >= p.MinTrialAnswers && 10*sum.failures() <= sum.answers:
		others := s.peerStatsOf(name, sums)
		if !t.probe.wasCold(now) && others.latencyCount >= s.minPeers() && sum.meanLatencyLog2()-others.meanLatencyLog2 >= minSlowdownLog2 {
			t.cause = causeSlow
			s.failTrial(name, t, now)
			return
		}
		s.setState(name, t, active, now)
	case sum.total() == 0 && now-t.since >= probeOnlyTrialTime && t.probe.consecutiveOK >= minOKProbes:
		s.setState(name, t, active, now)
	}
}

// failTrial ejects the target again with a longer back-off.
func (s *serviceHealth) failTrial(name string, t *targetHealth, now time.Duration) {
	t.backOffLevel++
	s.setState(name, t, ejected, now)
}

// slowScore returns a difference of mean log2 latencies as a multiple of the standard
// error of the target's mean.
func slowScore(sum tally, difference float64) float64 {
	deviation := max(math.Sqrt(sum.latencyLog2Variance()), minLog2Deviation)
	return difference / (deviation / math.Sqrt(float64(sum.answers)))
}
