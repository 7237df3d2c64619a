// Package explain finds the cause of a request's result in the log lines of the instances:
// it joins the line of the request with what its instance believed at that time and with
// what other instances met at the same targets.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// maxLineBytes bounds one log line; longer ones are counted as unreadable.
const maxLineBytes = 1 << 20

// Line is one log line of an instance. Fields that an event does not have are zero.
type Line struct {
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	Error    string    `json:"error"`

	// Of a request (602).
	RequestID     string `json:"request_id"`
	Team          string `json:"team"`
	Route         string `json:"route"`
	Idempotent    bool   `json:"idempotent"`
	ConfigVersion int64  `json:"config_version"`
	Status        int    `json:"status"`
	ElapsedUS     int64  `json:"elapsed_us"`
	QueuedUS      int64  `json:"queued_us"`
	Refusal       string `json:"refusal"`
	Cause         string `json:"cause"`
	Trail         string `json:"trail"`

	// Of what an instance believes (300, 505 to 513, 700 to 708).
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	From      string  `json:"from"`
	Version   int64   `json:"version"`
	Result    string  `json:"result"`
	PerSecond float64 `json:"per_second"`
	Targets   int     `json:"targets"`
	Unsettled bool    `json:"unsettled"`

	// DroppedLines is the number of lines that an instance could not write before this one.
	DroppedLines int `json:"dropped_log_lines"`
}

// Logs is what reading log lines gave besides the lines.
type Logs struct {
	// Lines counts the log lines, Unreadable those that are no JSON objects.
	Lines, Unreadable int
	// Dropped counts the lines that instances could not write.
	Dropped int
}

// read calls use for each log line. Text before the first brace of a line, such as the name
// of a log collector, is passed over.
func (l *Logs) read(r io.Reader, use func(*Line)) error {
	lines := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := readLine(lines)
		if start := bytes.IndexByte(text, '{'); start >= 0 {
			l.Lines++
			line := &Line{}
			if json.Unmarshal(text[start:], line) == nil {
				l.Dropped += line.DroppedLines
				use(line)
			} else {
				l.Unreadable++
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(&ReadError{Cause: err})
		}
	}
}

// readLine returns the next line; of one that is longer than maxLineBytes only the first
// part, which is not valid JSON.
func readLine(r *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(text) < maxLineBytes {
			text = append(text, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, err
		}
	}
}

// is reports whether the line is of one of the events.
func (l *Line) is(events ...event.Event) bool {
	for _, e := range events {
		if l.Event == e.ID {
			return true
		}
	}
	return false
}

// ReadError reports that a log could not be read.
type ReadError struct{ Cause error }

// Error names the cause.
func (e *ReadError) Error() string { return "read a log: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
