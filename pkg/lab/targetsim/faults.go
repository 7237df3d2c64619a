package targetsim

import (
	"fmt"
	"time"
)

// HealthReport is the status that the health path reports.
type HealthReport string

// Values of Faults.Health. All but HealthActual override the real status, and
// such a probe is answered in the normal time whatever the state of the target.
const (
	// HealthActual reports the real status.
	HealthActual   HealthReport = ""
	HealthOK       HealthReport = "ok"
	HealthDraining HealthReport = "draining"
	HealthCold     HealthReport = "cold"
	// HealthFailing answers 500.
	HealthFailing HealthReport = "failing"
)

// Faults are the faults of a target that can be switched at run time. Several may
// be active at once.
type Faults struct {
	// Stall is the fraction of requests, in [0, 1], that take a slot and do not
	// finish before their deadline, their cancellation or the next SetFaults.
	// While it is not 0, probes do not need a slot.
	Stall float64 `json:"stall"`
	// ErrorRate is the fraction of requests, in [0, 1], that are executed and
	// answered with 500.
	ErrorRate float64 `json:"error_rate"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FlapPeriodMS, if not 0, alternates between half a period without faults
	// and half a period with the other faults. If no other fault is set, all
	// requests and probes are answered with 500 in the second half.
	FlapPeriodMS int `json:"flap_period_ms"`
	// Unresponsive accepts connections and requests and never responds. Probes are
	// answered only if Health is set.
	Unresponsive bool `json:"silent"`
	// HalfResponse is the fraction of requests, in [0, 1], that are executed and
	// whose connection is closed after half of the response body.
	HalfResponse float64 `json:"half_response"`
	// CrashPath, if not empty, is the end of the path of requests that crash the target
	// halfway through their execution. It is back after a second.
	CrashPath string `json:"crash_path"`
	// Health overrides the status that the health path reports.
	Health HealthReport `json:"health"`
}

// FaultsError reports that a field of Faults is out of range.
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
	case HealthActual, HealthOK, HealthDraining, HealthCold, HealthFailing:
		return nil
	default:
		return &FaultsError{"health"}
	}
}

// inForce returns the faults that apply when the given time has passed since they
// were set, with flapping resolved.
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
