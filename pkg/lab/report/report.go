// Package report defines the result of an experiment, compares two results and
// plots them.
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

	Requests Requests `json:"requests"`
	Teams    []Team   `json:"teams"`
	// Detection is the time from a fault of a target to its ejection.
	Detection *Quantiles `json:"detection_ms,omitempty"`
	Ejections Ejections  `json:"ejections"`
	Floor     Floor      `json:"floor"`
	Safety    Safety     `json:"safety"`
	// AddedLatency is the latency beyond the time that the target had the request,
	// for requests that need not wait for a token and succeed at the first try.
	AddedLatency *Quantiles `json:"added_latency_ms,omitempty"`
	// DirectLatency is the added latency of calls to targets without the fleet.
	DirectLatency *Quantiles  `json:"direct_latency_ms,omitempty"`
	Latency       Quantiles   `json:"latency_ms"`
	ControlCost   ControlCost `json:"control_cost"`
	Samples       []Sample    `json:"samples"`
}

// Requests counts requests by their result.
type Requests struct {
	Offered int64 `json:"offered"`
	// Whole counts requests with a complete and correct answer.
	Whole int64 `json:"whole"`
	// Refused counts refusals by refusal code, and other error statuses as
	// "status N".
	Refused map[string]int64 `json:"refused"`
	// NoAnswer counts requests without a complete answer from an instance.
	NoAnswer int64 `json:"no_answer"`
	// Corrupt counts successful answers with an incomplete body or that of another
	// request.
	Corrupt int64 `json:"corrupt"`
}

// Team is the result of one team, warm-up included.
type Team struct {
	Team    string `json:"team"`
	Offered int64  `json:"offered"`
	Whole   int64  `json:"whole"`
	// Entitled is the number of offered requests that a single token bucket with
	// the team's rate and burst would have admitted.
	Entitled int64 `json:"entitled"`
	// FalseRefusals are refusals beyond the number that the single bucket would
	// have refused.
	FalseRefusals int64 `json:"false_refusals"`
	// ServedFraction is Whole divided by Entitled, at most 1.
	ServedFraction float64 `json:"share"`
}

// Quantiles describes a distribution of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Ejections counts ejections of targets without a fault (False) and with one
// (True), over all polled instances. FalseTargetSeconds is the time that targets
// were ejected without a fault, as the mean per polled instance.
type Ejections struct {
	False              int64   `json:"false"`
	FalseTargetSeconds float64 `json:"false_target_seconds"`
	True               int64   `json:"true"`
}

// Floor gives the slots in use and the floor of a service at the observation with
// the smallest margin between the two.
type Floor struct {
	LowestSlots int `json:"lowest_slots"`
	FloorSlots  int `json:"floor_slots"`
	// Crossed counts observations in which ejections left fewer slots than the floor.
	Crossed int64 `json:"crossed"`
}

// Safety counts violations of the guarantees as seen at the targets.
type Safety struct {
	// OverLimit counts requests that certainly exceeded their team's rate and burst.
	OverLimit int64 `json:"over_limit"`
	// MaxExecutions is the highest number of executions of one non-idempotent request.
	MaxExecutions int64 `json:"max_executions_non_idempotent"`
	// KeysSeen counts requests and probes that reached a target with a caller key.
	KeysSeen int64 `json:"keys_seen_by_targets"`
	// RanAfterNotRun counts requests that ran although the refusal said "not run".
	RanAfterNotRun int64 `json:"ran_after_not_run"`
	// RanAfterExpiry counts requests that reached a target although the batch of
	// their team had expired when they were sent.
	RanAfterExpiry int64 `json:"ran_after_expiry"`
	CutByShutdown  int64 `json:"cut_by_shutdown"`
}

// ControlCost is the mean cost per instance of a fleet without requests.
// BytesPerSecond counts the bytes that the process writes, log lines included.
type ControlCost struct {
	Instances      int     `json:"instances"`
	CPUPercent     float64 `json:"cpu_percent"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	MemoryMB       float64 `json:"memory_mb"`
}

// Sample counts the requests sent in one second of a run. Ejected is the highest
// number of targets that one polled instance had ejected.
type Sample struct {
	Second  int   `json:"second"`
	Whole   int64 `json:"whole"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Ejected int   `json:"ejected"`
}

// FileError reports that a report could not be read or written.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return "report " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NotAReportError reports that a JSON document is not a report.
type NotAReportError struct{}

// Error names the field that every report has.
func (*NotAReportError) Error() string { return "not a report: field experiment is missing" }

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
		return nil, errors.WithStack(&FileError{File: file, Cause: &NotAReportError{}})
	}
	return r, nil
}

// Range and precision of the histograms.
const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns an empty histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// Summarize returns the quantiles of a histogram of microseconds. A quantile is
// the smallest value that at least that fraction of the values does not exceed.
// The rank is rounded up here, because the histogram's own rounding to the nearest
// rank understates p99 of few values.
func Summarize(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	n := float64(h.TotalCount())
	at := func(fraction float64) float64 { return ms(h.ValueAtQuantile(100 * math.Ceil(fraction*n) / max(n, 1))) }
	return Quantiles{Count: h.TotalCount(), P50: at(0.5), P99: at(0.99), Max: ms(h.Max())}
}
