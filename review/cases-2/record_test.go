//go:build review2

package cases2

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

// record collects what happened and writes it in the order of time.
type record struct {
	began time.Time
	lines []line
}

func (r *record) add(at time.Time, format string, args ...any) {
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// write writes the record to a file.
func (r *record) write(file string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].at.Before(r.lines[b].at) })
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(out, "%9.3f s  %s\n", l.at.Sub(r.began).Seconds(), l.text); err != nil {
			return err
		}
	}
	return out.Close()
}

// addTraffic adds what was sent, answered and run.
func (r *record) addTraffic(c *consumers, f *fleet) {
	for _, q := range c.byID() {
		r.add(q.sent, "request %s %s sent to %s", q.id, q.path, q.machine)
		if q.err != nil {
			r.add(q.ended, "request %s ended without an answer: %v", q.id, q.err)
		} else {
			r.add(q.ended, "request %s answered %d", q.id, q.status)
		}
	}
	for _, run := range f.runs() {
		r.add(run.StartedAt, "request %s runs at %s", run.ID, run.Target)
	}
}
