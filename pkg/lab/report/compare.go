package report

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Row compares one measure of two reports.
type Row struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
}

// Compare lists the measures of two reports side by side. Optional quantiles are
// listed only if both reports have them.
func Compare(a, b *Report) []Row {
	rows := []Row{
		{"offered", float64(a.Requests.Offered), float64(b.Requests.Offered)},
		{"whole", float64(a.Requests.Whole), float64(b.Requests.Whole)},
		{"no answer", float64(a.Requests.NoAnswer), float64(b.Requests.NoAnswer)},
		{"latency p50 ms", a.Latency.P50, b.Latency.P50},
		{"latency p99 ms", a.Latency.P99, b.Latency.P99},
		{"false ejections", float64(a.Ejections.False), float64(b.Ejections.False)},
		{"false ejection target-seconds", a.Ejections.FalseTargetSeconds, b.Ejections.FalseTargetSeconds},
		{"worst team's share", a.WorstServedFraction(), b.WorstServedFraction()},
		{"false refusals per entitled", a.FalseRefusalRate(), b.FalseRefusalRate()},
		{"floor crossed", float64(a.Floor.Crossed), float64(b.Floor.Crossed)},
		{"over limit", float64(a.Safety.OverLimit), float64(b.Safety.OverLimit)},
		{"max executions", float64(a.Safety.MaxExecutions), float64(b.Safety.MaxExecutions)},
		{"control cpu %", a.ControlCost.CPUPercent, b.ControlCost.CPUPercent},
		{"control bytes/s", a.ControlCost.BytesPerSecond, b.ControlCost.BytesPerSecond},
	}
	rows = appendQuantiles(rows, "detection", a.Detection, b.Detection)
	return appendQuantiles(rows, "added latency", a.AddedLatency, b.AddedLatency)
}

// appendQuantiles appends the quantiles unless one of them is missing.
func appendQuantiles(rows []Row, name string, a, b *Quantiles) []Row {
	if a == nil || b == nil {
		return rows
	}
	return append(rows,
		Row{name + " p50 ms", a.P50, b.P50}, Row{name + " p99 ms", a.P99, b.P99}, Row{name + " max ms", a.Max, b.Max})
}

// WorstServedFraction returns the smallest ServedFraction of the teams with an
// entitlement, or 1 without such teams.
func (r *Report) WorstServedFraction() float64 {
	worst := 1.0
	for _, t := range r.Teams {
		if t.Entitled > 0 {
			worst = min(worst, t.ServedFraction)
		}
	}
	return worst
}

// FalseRefusalRate returns the false refusals of all teams per entitled request,
// or 0 without entitled requests.
func (r *Report) FalseRefusalRate() float64 {
	var refused, entitled int64
	for _, t := range r.Teams {
		refused += t.FalseRefusals
		entitled += t.Entitled
	}
	if entitled == 0 {
		return 0
	}
	return float64(refused) / float64(entitled)
}

// WriteTable prints the comparison with the ratio B/A.
func WriteTable(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "measure\tA\tB\tB/A\t")
	for _, r := range rows {
		ratio := "-"
		if r.A != 0 {
			ratio = fmt.Sprintf("%.2f", r.B/r.A)
		}
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%s\t\n", r.Measure, r.A, r.B, ratio)
	}
	return table.Flush()
}
