package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func sample() *Report {
	return &Report{
		Experiment: "gray-stall", Requests: Requests{Offered: 10, Whole: 9}, Detection: &Quantiles{Count: 1, P50: 100, P99: 200, Max: 300},
		Teams: []Team{
			{Team: "a", Entitled: 100, FalseRefusals: 1, ServedFraction: 0.99},
			{Team: "b", Entitled: 100, FalseRefusals: 3, ServedFraction: 0.9},
			{Team: "idle", ServedFraction: 0},
		},
		Samples: []Sample{{Second: 0, Whole: 5}, {Second: 1, Whole: 4, Ejected: 1}},
	}
}

func value(t *testing.T, rows []Row, measure string) Row {
	for _, r := range rows {
		if r.Measure == measure {
			return r
		}
	}
	t.Fatalf("no row %q", measure)
	return Row{}
}

// Guards against measures from the wrong report, a team without an entitlement
// that counts as the worst, and a division by zero in the ratios.
func TestCompare(t *testing.T) {
	is := is.New(t)
	a, b := sample(), sample()
	b.Requests.Whole, b.Detection.P99 = 10, 100
	rows := Compare(a, b)
	is.Equal(value(t, rows, "whole"), Row{"whole", 9, 10})
	is.Equal(value(t, rows, "detection p99 ms"), Row{"detection p99 ms", 200, 100})
	is.Equal(value(t, rows, "worst team's share").A, 0.9)
	is.Equal(value(t, rows, "false refusals per entitled").B, 0.02)
	var out bytes.Buffer
	is.NoErr(WriteTable(&out, rows))
	is.True(strings.Contains(out.String(), "0.50"))
	is.True(!strings.Contains(out.String(), "NaN") && !strings.Contains(out.String(), "Inf"))

	b.Detection = nil
	for _, r := range Compare(a, b) {
		is.True(!strings.HasPrefix(r.Measure, "detection")) // one report has no detections
	}
	is.Equal((&Report{}).FalseRefusalRate(), 0.0)
	is.Equal((&Report{}).WorstServedFraction(), 1.0)
}

// Guards against quantiles that are off by more than the histogram's precision
// of three significant digits.
func TestSummarize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		step := rapid.IntRange(1, 2000).Draw(t, "step")
		h := NewHistogram()
		for i := 1; i <= n; i++ {
			if err := h.RecordValue(int64(i * step)); err != nil {
				t.Fatal(err)
			}
		}
		q := Summarize(h)
		expectNear := func(got float64, rank int) {
			want := float64(rank*step) / 1000
			if got < want*0.998-0.001 || got > want*1.002+0.001 {
				t.Fatalf("got %v ms, want %v ms", got, want)
			}
		}
		if q.Count != int64(n) {
			t.Fatalf("count %d, want %d", q.Count, n)
		}
		expectNear(q.P50, (n+1)/2)
		expectNear(q.P99, (99*n+99)/100)
		expectNear(q.Max, n)
	})
}

// Guards against a report that changes when it is written and read back, and
// against invalid files that are accepted as an empty report.
func TestFiles(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	file := filepath.Join(directory, "a.json")
	is.NoErr(sample().Write(file))
	r, err := Read(file)
	is.NoErr(err)
	is.Equal(r, sample())
	is.NoErr(r.Plot(filepath.Join(directory, "a.svg")))

	cut := filepath.Join(directory, "cut.json")
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(cut, data[:len(data)/2], 0o600))
	other := filepath.Join(directory, "other.json")
	is.NoErr(os.WriteFile(other, []byte(`{"instance":"entry-1"}`), 0o600))
	for _, bad := range []string{cut, other, filepath.Join(directory, "missing.json"), directory} {
		_, err := Read(bad)
		var fault *FileError
		is.True(errors.As(err, &fault)) // the file was accepted
		is.Equal(fault.File, bad)
	}
	var fault *FileError
	is.True(errors.As(r.Write(filepath.Join(directory, "none", "a.json")), &fault))
	is.True(errors.As(r.Plot(filepath.Join(directory, "a.unknown")), &fault))
}
