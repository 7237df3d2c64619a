// Package event defines the log events of arbutuslink. Each log line that an
// operator may act on has the ID and the name of its event. docs/events.md is the
// catalogue of the events; a test checks it against All.
package event

import (
	"fmt"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// ID is stable; it is never reused for another event.
	ID int
	// Name is logged with the ID.
	Name  string
	Level zerolog.Level
	// Meaning says what happened and, for warnings and errors, what an operator
	// should do. It appears in the catalogue only.
	Meaning string
}

// Log starts a log line for e. The caller adds fields and ends it with Msg or
// Send. If e has reached its limit of lines in the current limitPeriod, Log
// returns nil, on which these methods do nothing.
func (e Event) Log(log *zerolog.Logger) *zerolog.Event {
	if !e.allowed() {
		return nil
	}
	return log.WithLevel(e.Level).Int("event", e.ID).Str("name", e.Name)
}

// CatalogueRow returns the table row of the event in the catalogue.
func CatalogueRow(e Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.ID, e.Name, e.Level, e.Meaning)
}
