package health

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Profile holds the parameters of ejection for one service.
type Profile struct {
	// Window is the time over which failures are compared.
	Window time.Duration
	// MinBad is the least number of failures and stalls in the window.
	MinBad int
	// Evidence is the least evidence in nats (the negative logarithm of the
	// Chernoff bound) that the target fails more often than its peers.
	Evidence float64
	// MinInstances is the least number of instances that saw failures, unless
	// fewer instances report. It keeps one instance's broken path to a target
	// from ejecting the target for all.
	MinInstances int
	// Confirm is the time for which failures must hold.
	Confirm time.Duration
	// SlowWindow, SlowScore and SlowConfirm apply to latency alone.
	SlowWindow  time.Duration
	SlowScore   float64
	SlowConfirm time.Duration
	// TrialGood is the number of good answers that end a trial.
	TrialGood int
}

const (
	longWindow = 10 * time.Second
	// minMargin is the least difference between the failure shares of a target
	// and its peers. Smaller differences cost less than a lost target.
	minMargin = 0.10
	// suddenMargin is the least difference in the short window. When a shared
	// overload begins, the first targets reach 0.11 before their peers follow.
	suddenMargin = 0.25
	// completeShare is the failure share of a target that hardly works at all.
	completeShare = 0.75
	// Stalls of a target that still answers within partialWindow must hold for
	// partialConfirm. Requests that queue behind a long one stall together, so
	// their number says less than the same number of errors.
	partialWindow  = 500 * time.Millisecond
	partialConfirm = time.Second
	// coldMargin is the least difference for a target that says it is cold.
	coldMargin = 0.8
	// peerFloor is the failure share that every target is allowed.
	peerFloor = 0.02
	// slowDoublings is the least difference of mean binary logarithms of
	// latency: 1 is twice as slow.
	slowDoublings = 1.0
	// firstBackOff doubles with each ejection within flapMemory of a return.
	firstBackOff = 3 * time.Second
	maxBackOff   = 60 * time.Second
	flapMemory   = 60 * time.Second
	// trialByProbes returns a target without idempotent traffic by probes alone.
	trialByProbes = 10 * time.Second
	minGoodProbes = 5
	// A failing probe counts after this many failures over at least this time.
	minBadProbes  = 3
	probeMustLast = 3 * time.Second
)

var (
	carefulProfile = Profile{
		Window: 4 * time.Second, MinBad: 6, Evidence: 21, MinInstances: 3, Confirm: 500 * time.Millisecond,
		SlowWindow: longWindow, SlowScore: 8, SlowConfirm: 3 * time.Second, TrialGood: 20,
	}
	fastProfile = Profile{
		Window: 2 * time.Second, MinBad: 4, Evidence: 14, MinInstances: 2,
		SlowWindow: 4 * time.Second, SlowScore: 8, SlowConfirm: time.Second, TrialGood: 10,
	}
	// aloneProfile is used by an instance without verdicts. It has a small part
	// of the evidence and cannot tell its own path from the target.
	aloneProfile = Profile{
		Window: longWindow, MinBad: 5, Evidence: 18, MinInstances: 1, Confirm: 500 * time.Millisecond,
		SlowWindow: longWindow, SlowScore: 12, SlowConfirm: 5 * time.Second, TrialGood: 3,
	}
)

func profileOf(s config.Service) Profile {
	if s.Profile == config.Fast {
		return fastProfile
	}
	return carefulProfile
}
