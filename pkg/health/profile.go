package health

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Profile holds the parameters of ejection for one service.
type Profile struct {
	// Window is the time over which failures are compared.
	Window time.Duration
	// MinFailures is the least number of failures and stalls in the window.
	MinFailures int
	// MinEvidence is the least evidence in nats (the negative logarithm of the
	// Chernoff bound) that the target fails more often than its peers.
	MinEvidence float64
	// MinInstances is the least number of instances that saw failures, unless
	// fewer instances report. It keeps one instance's broken path to a target
	// from ejecting the target for all.
	MinInstances int
	// ConfirmTime is the time for which failures must hold.
	ConfirmTime time.Duration
	// SlowWindow, MinSlowScore and SlowConfirmTime apply to latency alone.
	SlowWindow      time.Duration
	MinSlowScore    float64
	SlowConfirmTime time.Duration
	// MinTrialAnswers is the number of good answers that end a trial.
	MinTrialAnswers int
}

const (
	longWindow = 10 * time.Second
	// minFailureMargin is the least difference between the failure shares of a target
	// and its peers. Smaller differences cost less than a lost target.
	minFailureMargin = 0.10
	// shortWindowMargin is the least difference in the short window. When a shared
	// overload begins, the first targets reach 0.11 before their peers follow.
	shortWindowMargin = 0.25
	// completeFailureRatio is the failure share of a target that hardly works at all.
	completeFailureRatio = 0.75
	// Stalls of a target that still answers within partialStallWindow must hold for
	// partialStallConfirmTime. Requests that queue behind a long one stall together, so
	// their number says less than the same number of errors.
	partialStallWindow      = 500 * time.Millisecond
	partialStallConfirmTime = time.Second
	// coldFailureMargin is the least difference for a target that says it is cold.
	coldFailureMargin = 0.8
	// alwaysAllowedRatio is the failure share that every target is allowed.
	alwaysAllowedRatio = 0.02
	// minSlowdownLog2 is the least difference of mean binary logarithms of
	// latency: 1 is twice as slow.
	minSlowdownLog2 = 1.0
	// firstBackOff doubles with each ejection within flapWindow of a return.
	firstBackOff = 3 * time.Second
	maxBackOff   = 60 * time.Second
	flapWindow   = 60 * time.Second
	// probeOnlyTrialTime returns a target without idempotent traffic by probes alone.
	probeOnlyTrialTime = 10 * time.Second
	minOKProbes        = 5
	// A failing probe counts after this many failures over at least this time.
	minFailedProbes     = 3
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
	// localProfile is used by an instance without verdicts. It has a small part
	// of the evidence and cannot tell its own path from the target.
	localProfile = Profile{
		Window: longWindow, MinFailures: 5, MinEvidence: 18, MinInstances: 1, ConfirmTime: 500 * time.Millisecond,
		SlowWindow: longWindow, MinSlowScore: 12, SlowConfirmTime: 5 * time.Second, MinTrialAnswers: 3,
	}
)

func profileOf(s config.Service) Profile {
	if s.Profile == config.Fast {
		return fastProfile
	}
	return carefulProfile
}
