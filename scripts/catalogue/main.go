// Command catalogue writes docs/events.md from the events in the code.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// pageHeader is the text above the rows of the event table.
const pageHeader = `# Log events

Logs are JSON lines. Each event has a number that never changes its meaning. Repeats of one event beyond 20 in 10 s are
left out; requests (602) may have 3000 lines and targets (505 to 508, 510 to 516, 522) 400 lines in 10 s. This page is written by ` + "`go run ./scripts/catalogue`" + ` and checked in CI.

| number | name | level | meaning and what to do |
|---|---|---|---|
`

func main() {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, e := range event.All() {
		fmt.Fprintln(&b, event.CatalogueRow(e))
	}
	if err := os.WriteFile("docs/events.md", []byte(b.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
