// Package event numbers the log events of arbutuslink. Each log line that an
// operator may act on carries the number of its event; docs/events.md is the
// catalogue and is checked against All.
package event

import (
	"fmt"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// ID is stable; an ID is never given to another event.
	ID    int
	Name  string
	Level zerolog.Level
	// Meaning says what happened and, for warnings and errors, what to do.
	Meaning string
}

// Log starts a log line for e. The caller adds fields and ends it with Msg or
// Send. It returns nil, which accepts both, when e was logged too often lately.
func (e Event) Log(log *zerolog.Logger) *zerolog.Event {
	if !e.allowed() {
		return nil
	}
	return log.WithLevel(e.Level).Int("event", e.ID).Str("name", e.Name)
}

// Row returns the row of the event in the catalogue.
func Row(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.ID, e.Name, e.Level, e.Meaning)
}
