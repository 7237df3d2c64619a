package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is the result of one part of the capacity measurement.
type Report struct {
	Part   string    `json:"part"`
	Began  time.Time `json:"began"`
	Tables []*Table  `json:"tables"`
}

// Table holds the measured rows of one series.
type Table struct {
	Title   string      `json:"title"`
	Columns []string    `json:"columns"`
	Rows    [][]float64 `json:"rows"`
	// Slopes is the growth of each column per unit of the first one, by least
	// squares; it is empty when the rows do not form a series.
	Slopes []float64 `json:"slopes,omitempty"`
	// Notes are remarks for the reader, such as a size that failed.
	Notes []string `json:"notes,omitempty"`
}

func (t *Table) add(values ...float64) { t.Rows = append(t.Rows, values) }

// fit sets Slopes by linear regression.
func (t *Table) fit() {
	n := float64(len(t.Rows))
	for column := range t.Columns {
		var sumX, sumY, sumXX, sumXY float64
		for _, row := range t.Rows {
			x, y := row[0], row[column]
			sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
		}
		t.Slopes = append(t.Slopes, (n*sumXY-sumX*sumY)/(n*sumXX-sumX*sumX))
	}
}

// Options configure a measurement.
type Options struct {
	// Instances are the fleet sizes of the part "idle"; the part "profile" uses
	// the last one.
	Instances []int
	// Percents are the sizes of the configuration in the part "change", in percent
	// of the expected scale.
	Percents []int
	// NoServices leaves out the services, and so their probes, in the part "idle".
	NoServices bool
	// Profile is the file to which the part "profile" writes a CPU profile; empty
	// for none.
	Profile string
	// Progress receives one line per step; nil for none.
	Progress io.Writer
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// UnknownPartError reports that no part has the given name.
type UnknownPartError struct{ Name string }

// Error names the known parts.
func (e *UnknownPartError) Error() string {
	return "part " + e.Name + " is unknown; known: " + strings.Join(Parts(), ", ")
}

// part is one independent group of measurements, selected by name.
type part struct {
	name string
	run  func(context.Context, *Options) ([]*Table, error)
}

func parts() []part {
	return []part{
		{"idle", measureIdle},
		{"profile", measureProfile},
		{"document", measureDocument},
		{"change", measureChange},
		{"health", measureHealth},
		{"loans", measureLoans},
		{"directory", measureDirectory},
		{"membership", measureMembership},
	}
}

// Parts returns the names of all parts.
func Parts() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

// Run measures one part. Errors: *UnknownPartError and those of the part.
func Run(ctx context.Context, name string, o Options) (*Report, error) {
	for _, p := range parts() {
		if p.name == name {
			r := &Report{Part: name, Began: time.Now().UTC()}
			var err error
			r.Tables, err = p.run(ctx, &o)
			return r, err
		}
	}
	return nil, errors.WithStack(&UnknownPartError{Name: name})
}

// FileError reports that a report or profile could not be written.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return "report " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Write stores the report as JSON. Errors: *FileError.
func (r *Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.MkdirAll(filepath.Dir(file), 0o755)
	}
	if err == nil {
		err = os.WriteFile(file, append(data, '\n'), 0o600)
	}
	if err != nil {
		return errors.WithStack(&FileError{File: file, Cause: err})
	}
	return nil
}

// Print writes the tables as text.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	line := func(cells []string) { _, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t") }
	for _, t := range r.Tables {
		_, _ = fmt.Fprintln(table, t.Title)
		line(t.Columns)
		for _, row := range t.Rows {
			line(formatCells(row))
		}
		if len(t.Slopes) > 0 {
			_, _ = fmt.Fprintln(table, "per "+t.Columns[0]+":")
			line(formatCells(t.Slopes))
		}
		for _, note := range t.Notes {
			_, _ = fmt.Fprintln(table, note)
		}
	}
	return errors.WithStack(table.Flush())
}

const significantDigits = 4

// formatCells formats whole numbers in full and others with significantDigits.
func formatCells(row []float64) []string {
	cells := make([]string, len(row))
	for i, v := range row {
		cells[i] = strconv.FormatFloat(v, 'g', significantDigits, 64)
		if v == float64(int64(v)) {
			cells[i] = strconv.FormatInt(int64(v), 10)
		}
	}
	return cells
}
