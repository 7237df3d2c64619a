// Package report defines the result of an experiment, compares two results and
// draws them.
package report

import (
	"encoding/json"
	"math"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Report is the result of one run of one experiment.
type Report struct {
	Experiment string            `json:"experiment"`
	Deployment string            `json:"deployment"`
	Policy     string            `json:"policy"`
	Seed       uint64            `json:"seed"`
	Started    time.Time         `json:"started"`
	Seconds    float64           `json:"seconds"`
	Settings   map[string]string `json:"settings"`

	Requests  Requests   `json:"requests"`
	Teams     []Team     `json:"teams"`
	Detection *Quantiles `json:"detection_ms,omitempty"`
	Ejections Ejections  `json:"ejections"`
	Floor     Floor      `json:"floor"`
	Safety    Safety     `json:"safety"`
	Added     *Quantiles `json:"added_latency_ms,omitempty"`
	// Direct is the same measure for calls to targets without the fleet.
	Direct      *Quantiles  `json:"direct_latency_ms,omitempty"`
	Latency     Quantiles   `json:"latency_ms"`
	ControlCost ControlCost `json:"control_cost"`
	Samples     []Sample    `json:"samples"`
}

// Requests counts requests by their end.
type Requests struct {
	Offered int64 `json:"offered"`
	Whole   int64 `json:"whole"`
	// Refused counts refusals by code.
	Refused map[string]int64 `json:"refused"`
	// NoAnswer counts requests without a complete answer from an instance.
	NoAnswer int64 `json:"no_answer"`
	// Corrupt counts answers that were not whole or belonged to another request.
	Corrupt int64 `json:"corrupt"`
}

// Team is the service that one team received.
type Team struct {
	Team    string `json:"team"`
	Offered int64  `json:"offered"`
	Whole   int64  `json:"whole"`
	// Entitled is the number of offered requests that a single bucket with the
	// team's rate and burst would have admitted.
	Entitled int64 `json:"entitled"`
	// FalseRefusals are refusals for the rate beyond those of the single bucket.
	FalseRefusals int64 `json:"false_refusals"`
	// Share is Whole over Entitled.
	Share float64 `json:"share"`
}

// Quantiles of a distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Ejections counts ejections of targets without a fault.
type Ejections struct {
	False              int64   `json:"false"`
	FalseTargetSeconds float64 `json:"false_target_seconds"`
	True               int64   `json:"true"`
}

// Floor compares the lowest capacity in use with the floor, in slots.
type Floor struct {
	LowestSlots int `json:"lowest_slots"`
	FloorSlots  int `json:"floor_slots"`
	// Crossed counts observations in which an ejection left less than the floor.
	Crossed int64 `json:"crossed"`
}

// Safety counts violations of the guarantees as seen at the targets.
type Safety struct {
	OverLimit     int64 `json:"over_limit"`
	MaxExecutions int64 `json:"max_executions_non_idempotent"`
	KeysSeen      int64 `json:"keys_seen_by_targets"`
	// RanAfterNotRun counts requests that ran although the refusal said "not run".
	RanAfterNotRun int64 `json:"ran_after_not_run"`
	AfterExpiry    int64 `json:"ran_after_expiry"`
	Cut            int64 `json:"cut_by_shutdown"`
}

// ControlCost is the mean cost of control per instance.
type ControlCost struct {
	Instances      int     `json:"instances"`
	CPUPercent     float64 `json:"cpu_percent"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	MemoryMB       float64 `json:"memory_mb"`
}

// Sample is one second of a run.
type Sample struct {
	Second  int   `json:"second"`
	Whole   int64 `json:"whole"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Ejected int   `json:"ejected"`
}

// FileError says that a report could not be read or written.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return "report " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NotReportError says that a JSON document is no report.
type NotReportError struct{}

// Error names the member that every report has.
func (*NotReportError) Error() string { return "the document names no experiment, so it is no report" }

// Write stores the report as JSON. The error is a *FileError.
func (r *Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(file, append(data, '\n'), 0o644)
	}
	if err != nil {
		return errors.WithStack(&FileError{File: file, Cause: err})
	}
	return nil
}

// Read loads a report. The error is a *FileError.
func Read(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&FileError{File: file, Cause: err})
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.WithStack(&FileError{File: file, Cause: err})
	}
	if r.Experiment == "" {
		return nil, errors.WithStack(&FileError{File: file, Cause: &NotReportError{}})
	}
	return r, nil
}

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns a histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// Summarize returns the quantiles of a histogram of microseconds. A quantile is
// the smallest value that at least that share of the values does not exceed;
// the histogram's own rounding to the nearest rank understates p99 of few values.
func Summarize(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	n := float64(h.TotalCount())
	at := func(share float64) float64 { return ms(h.ValueAtQuantile(100 * math.Ceil(share*n) / max(n, 1))) }
	return Quantiles{Count: h.TotalCount(), P50: at(0.5), P99: at(0.99), Max: ms(h.Max())}
}
