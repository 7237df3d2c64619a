package event

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against two events with the same ID, and against a catalogue in the docs
// that differs from the code.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	docs, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	seen := map[int]bool{}
	last := 0
	for _, e := range All() {
		is.True(!seen[e.ID] && e.ID > last) // unique and ascending
		seen[e.ID], last = true, e.ID
		is.True(strings.Contains(string(docs), CatalogueRow(e))) // docs/events.md has the row; run go run ./scripts/catalogue
	}
	is.Equal(strings.Count(string(docs), "\n| "), len(All())+1)
}

// Guards against a persistent failure filling the log.
func TestRepeatsAreLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	e := Event{ID: 99_999, Name: "test", Level: zerolog.WarnLevel}
	for range 5 * defaultMaxLines {
		e.Log(&log).Str("k", "v").Send()
	}
	is.Equal(strings.Count(out.String(), strconv.Itoa(e.ID)), defaultMaxLines)
}
