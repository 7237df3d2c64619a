package targetsim

import (
	"fmt"
	"time"
)

// HealthReport overrides the answer of the health path.
type HealthReport string

// Health reports. The statuses are answered in the normal time, whatever the
// state of the target is.
const (
	// HealthHonest reports the real state.
	HealthHonest   HealthReport = ""
	HealthOK       HealthReport = "ok"
	HealthDraining HealthReport = "draining"
	HealthCold     HealthReport = "cold"
	// HealthFailing answers 500.
	HealthFailing HealthReport = "failing"
)

// Faults are the modes that can be switched at run time. Several may be on.
type Faults struct {
	// Stall is the fraction of requests, in [0, 1], that take a slot and do not
	// finish before their deadline, their cancellation or the end of the mode.
	// The health path answers without a slot meanwhile.
	Stall float64 `json:"stall"`
	// ErrorRate is the fraction of requests, in [0, 1], that are run and
	// answered with 500.
	ErrorRate float64 `json:"error_rate"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FlapPeriodMS, if not 0, alternates between half a period without faults
	// and half a period with the other faults. If no other fault is set, all
	// work and all probes are answered with 500 in the second half.
	FlapPeriodMS int `json:"flap_period_ms"`
	// Silent accepts connections and requests and never answers. Probes are
	// answered only if Health is set.
	Silent bool `json:"silent"`
	// HalfResponse is the fraction of requests, in [0, 1], that are run and
	// whose connection closes after half of the body.
	HalfResponse float64 `json:"half_response"`
	// Health makes the health path lie.
	Health HealthReport `json:"health"`
}

// FaultsError says that a field of Faults is out of range.
type FaultsError struct{ Field string }

// Error names the field.
func (e *FaultsError) Error() string { return fmt.Sprintf("targetsim: %s is out of range", e.Field) }

func (f Faults) validate() error {
	fractions := []struct {
		field string
		value float64
	}{{"stall", f.Stall}, {"error_rate", f.ErrorRate}, {"half_response", f.HalfResponse}}
	for _, fraction := range fractions {
		// The negated form also refuses NaN.
		if !(fraction.value >= 0 && fraction.value <= 1) {
			return &FaultsError{fraction.field}
		}
	}
	switch {
	case !(f.SlowFactor >= 0):
		return &FaultsError{"slow_factor"}
	case f.FlapPeriodMS < 0:
		return &FaultsError{"flap_period_ms"}
	}
	switch f.Health {
	case HealthHonest, HealthOK, HealthDraining, HealthCold, HealthFailing:
		return nil
	default:
		return &FaultsError{"health"}
	}
}

// inForce returns the faults that hold at the given time after the faults were
// set, with flapping resolved.
func (f Faults) inForce(sinceSet time.Duration) Faults {
	if f.FlapPeriodMS == 0 {
		return f
	}
	period := time.Duration(f.FlapPeriodMS) * time.Millisecond
	f.FlapPeriodMS = 0
	if sinceSet%period < period/2 {
		return Faults{}
	}
	if f == (Faults{}) {
		return Faults{ErrorRate: 1, Health: HealthFailing}
	}
	return f
}
