package health

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Profile holds the parameters by which the targets of a service are ejected and
// returned.
type Profile struct {
	// Window is the time over which failures are compared.
	Window time.Duration
	// MinFailures is the minimum number of errors and stalls in the window.
	MinFailures int
	// MinEvidence is the minimum evidence, in nats (the negative logarithm of the
	// Chernoff bound), that the target fails more often than its peers.
	MinEvidence float64
	// MinInstances is the minimum number of instances that reported failures, or all
	// instances when fewer report. It prevents one instance's broken path to a
	// target from ejecting the target for all.
	MinInstances int
	// ConfirmTime is the time for which failures must persist before an ejection.
	ConfirmTime time.Duration
	// SlowWindow, MinSlowScore and SlowConfirmTime are the window, the minimum
	// slowScore and the confirm time for targets that are only slow.
	SlowWindow      time.Duration
	MinSlowScore    float64
	SlowConfirmTime time.Duration
	// MinTrialAnswers is the minimum number of good answers in a successful trial.
	MinTrialAnswers int
}

const (
	// longWindow is the longest time over which observations are kept and compared.
	longWindow = 10 * time.Second
	// minFailureMargin is the minimum difference between the failure ratios of a
	// target and its peers for an ejection. A smaller difference costs less than the
	// loss of the target's capacity.
	minFailureMargin = 0.10
	// shortWindowMargin is the minimum difference in the profile's Window. When a
	// shared overload begins, the first targets reach a difference of 0.11 before
	// their peers fail too.
	shortWindowMargin = 0.25
	// completeFailureRatio is the failure ratio from which a target counts as hardly
	// working at all.
	completeFailureRatio = 0.75
	// partialStallConfirmTime is the time for which stalls must persist when the
	// target still answered requests in the last partialStallWindow. Requests that
	// queue behind a long one stall together, so their number is weaker evidence than
	// the same number of errors.
	partialStallWindow      = 500 * time.Millisecond
	partialStallConfirmTime = time.Second
	// coldFailureMargin replaces minFailureMargin and shortWindowMargin for a target
	// that reports that it is cold.
	coldFailureMargin = 0.8
	// alwaysAllowedRatio is the failure ratio that is never evidence against a target.
	alwaysAllowedRatio = 0.02
	// minSlowdownLog2 is the minimum difference between the mean log2 latencies of a
	// slow target and its peers; 1 is twice as slow.
	minSlowdownLog2 = 1.0
	// firstBackOff is the time from an ejection to the trial. It doubles, up to
	// maxBackOff, with each failed trial and with each ejection within flapWindow of a
	// return.
	firstBackOff = 3 * time.Second
	maxBackOff   = 60 * time.Second
	flapWindow   = 60 * time.Second
	// probeOnlyTrialTime is the time after which a trial without any request, for
	// example for lack of idempotent traffic, succeeds when the last minOKProbes
	// probes answered "ok".
	probeOnlyTrialTime = 10 * time.Second
	minOKProbes        = 5
	// Probes count as failing after minProbeRun consecutive failures over at least
	// minProbeFailureTime. After minProbeRun consecutive "ok" answers a drain signal
	// expires earlier.
	minProbeRun         = 3
	minProbeFailureTime = 3 * time.Second
)

var (
	carefulProfile = Profile{
		Window: 4 * time.Second, MinFailures: 6, MinEvidence: 21, MinInstances: 3, ConfirmTime: 500 * time.Millisecond,
		SlowWindow: longWindow, MinSlowScore: 8, SlowConfirmTime: 3 * time.Second, MinTrialAnswers: 20,
	}
	fastProfile = Profile{
		Window: 2 * time.Second, MinFailures: 4, MinEvidence: 14, MinInstances: 2,
		SlowWindow: 4 * time.Second, MinSlowScore: 8, SlowConfirmTime: time.Second, MinTrialAnswers: 10,
	}
	// localProfile is used by an instance without a recent verdict. One instance has
	// only a small fraction of the evidence and cannot distinguish a fault of its own
	// path from a fault of the target.
	localProfile = Profile{
		Window: longWindow, MinFailures: 5, MinEvidence: 18, MinInstances: 1, ConfirmTime: 500 * time.Millisecond,
		SlowWindow: longWindow, MinSlowScore: 12, SlowConfirmTime: 5 * time.Second, MinTrialAnswers: 3,
	}
)

// profileOf returns the parameters for the profile that the service configures.
func profileOf(s config.Service) Profile {
	if s.Profile == config.ProfileFast {
		return fastProfile
	}
	return carefulProfile
}
