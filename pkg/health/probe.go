package health

import (
	"context"
	"encoding/json"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/cespare/xxhash/v2"
)

// ProbeStatus is what a target answers on its health path.
type ProbeStatus int

// Results of a probe.
const (
	// ProbeFailed means that no valid answer arrived in time.
	ProbeFailed ProbeStatus = iota
	ProbeOK
	ProbeDraining
	ProbeCold
)

// minExpediteInterval is the least time between two probes out of turn.
const minExpediteInterval = 2 * time.Second

// ProbeTimeout bounds one probe. A probe takes about 25 ms at a healthy target.
const ProbeTimeout = time.Second

// Prober sends one probe. ctx ends after ProbeTimeout.
type Prober interface {
	Probe(ctx context.Context, address, path string) ProbeStatus
}

// ParseProbe interprets an answer of the health path.
func ParseProbe(httpStatus int, body []byte) ProbeStatus {
	var answer struct {
		Status string `json:"status"`
	}
	if httpStatus != 200 || json.Unmarshal(body, &answer) != nil {
		return ProbeFailed
	}
	switch answer.Status {
	case "ok":
		return ProbeOK
	case "draining":
		return ProbeDraining
	case "cold":
		return ProbeCold
	default:
		return ProbeFailed
	}
}

// ProbeTask is one probe that is due.
type ProbeTask struct {
	Service, Target string
	Address, Path   string
}

type probeState struct {
	inFlight            bool
	scheduled           bool
	nextAt              time.Duration
	consecutiveOK       int
	consecutiveFailures int
	failingSince        time.Duration
	draining, cold      bool
	everCold            bool
	coldAt              time.Duration
	everExpedited       bool
	expeditedAt         time.Duration
}

// expedite asks for one probe at once, because a target that has restarted cold
// fails real work before its next regular probe. It does so at most every
// minExpediteInterval, so that an overload is not made worse by probes.
func (p *probeState) expedite(now time.Duration) {
	if p.everExpedited && now-p.expeditedAt < minExpediteInterval {
		return
	}
	p.everExpedited, p.expeditedAt = true, now
	p.nextAt = min(p.nextAt, now)
}

// wasCold tells whether the target was cold a short time ago.
func (p *probeState) wasCold(now time.Duration) bool { return p.everCold && now-p.coldAt < coldGrace }

// failing tells whether failures of probes have lasted. One failed probe says
// little: the health path lags or misleads.
func (p *probeState) failing(now time.Duration) bool {
	return p.consecutiveFailures >= minFailedProbes && now-p.failingSince >= minProbeFailureTime
}

func (p *probeState) done(status ProbeStatus, now time.Duration) {
	p.inFlight = false
	if status == ProbeFailed {
		if p.consecutiveFailures == 0 {
			p.failingSince = now
		}
		p.consecutiveFailures++
		p.consecutiveOK = 0
		return
	}
	p.consecutiveFailures = 0
	if status == ProbeOK {
		p.consecutiveOK++
	} else {
		p.consecutiveOK = 0
	}
	p.draining, p.cold = status == ProbeDraining, false
	if status == ProbeCold {
		p.markCold(now)
	}
}

func (p *probeState) markCold(now time.Duration) {
	p.cold, p.everCold, p.coldAt = true, true, now
}

// dueProbes returns the probes to send now. The phase of a target follows
// from its name, which spreads the probes over the interval. An evaluator of
// lower rank probes less often, since its verdicts are a reserve.
func (s *serviceHealth) dueProbes(now time.Duration, rank int, svc config.Service) []ProbeTask {
	interval := svc.ProbeInterval() * time.Duration(rank+1)
	if interval <= 0 || svc.HealthPath == "" {
		return nil
	}
	var due []ProbeTask
	for name, target := range svc.Targets {
		t := s.target(name, now)
		if !t.probe.scheduled {
			t.probe.scheduled = true
			t.probe.nextAt = now + time.Duration(xxhash.Sum64String(name)%uint64(interval))
		}
		if t.probe.inFlight || now < t.probe.nextAt || target.Leaving {
			continue
		}
		t.probe.inFlight = true
		t.probe.nextAt = now + interval
		due = append(due, ProbeTask{Service: s.name, Target: name, Address: target.Address, Path: svc.HealthPath})
	}
	return due
}
