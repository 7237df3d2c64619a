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
	// ProbeOK means that the target takes requests.
	ProbeOK
	// ProbeDraining means that the target is leaving.
	ProbeDraining
	// ProbeCold means that the target has started and is still warming up.
	ProbeCold
)

// minExpediteInterval is the minimum time between two expedited probes of a target.
const minExpediteInterval = 2 * time.Second

// ProbeTimeout bounds one probe. A probe takes about 25 ms at a healthy target.
const ProbeTimeout = time.Second

// Prober sends one probe to the path at the target's address. ctx ends after
// ProbeTimeout.
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

// probeState holds the schedule and the results of the probes of one target.
type probeState struct {
	inFlight bool
	// nextAt is the time of the next probe. It is valid when scheduled is true.
	scheduled bool
	nextAt    time.Duration
	// consecutiveOK and consecutiveFailures count the latest probes with this result.
	consecutiveOK       int
	consecutiveFailures int
	// failingSince is the time of the first of the consecutive failures.
	failingSince time.Duration
	// draining and cold are what the latest answer reports.
	draining, cold bool
	// coldAt is the time of the latest cold signal. It is valid when everCold is true.
	everCold bool
	coldAt   time.Duration
	// expeditedAt is the time of the latest expedited probe. It is valid when
	// everExpedited is true.
	everExpedited bool
	expeditedAt   time.Duration
}

// expedite makes the next probe due now, because a target that has restarted cold
// fails real requests before its next regular probe. It does so at most every
// minExpediteInterval, so that probes do not make an overload worse.
func (p *probeState) expedite(now time.Duration) {
	if p.everExpedited && now-p.expeditedAt < minExpediteInterval {
		return
	}
	p.everExpedited, p.expeditedAt = true, now
	p.nextAt = min(p.nextAt, now)
}

// wasCold reports whether the target was cold within the last coldGrace.
func (p *probeState) wasCold(now time.Duration) bool { return p.everCold && now-p.coldAt < coldGrace }

// failing reports whether probes have failed for some time. A single failed probe is
// weak evidence, because the health path can lag or be wrong.
func (p *probeState) failing(now time.Duration) bool {
	return p.consecutiveFailures >= minProbeRun && now-p.failingSince >= minProbeFailureTime
}

// done records the result of the probe in flight.
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

// markCold records a cold signal.
func (p *probeState) markCold(now time.Duration) {
	p.cold, p.everCold, p.coldAt = true, true, now
}

// dueProbes returns the probes to send now and marks them as in flight. A hash of the
// target's name determines the phase, which spreads the probes over the interval. An
// evaluator of lower rank probes less often, because its verdicts are only used when
// those of a higher rank are missing.
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
		if t.probe.inFlight || now < t.probe.nextAt || target.OutOfUse() {
			continue
		}
		t.probe.inFlight = true
		t.probe.nextAt = now + interval
		due = append(due, ProbeTask{Service: s.name, Target: name, Address: target.Address, Path: svc.HealthPath})
	}
	return due
}
