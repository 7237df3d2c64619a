package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against warnings and errors that are missing or misnamed in the docs for
// operators.
func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	described := 0
	for _, e := range All() {
		if e.Level >= zerolog.WarnLevel {
			described++
			is.True(strings.Contains(string(page), fmt.Sprintf("\n| %d %s | ", e.ID, e.Name))) // docs/operators.md lacks an event
		}
	}
	_, table, _ := strings.Cut(string(page), "| event |")
	is.Equal(strings.Count(table, "\n| "), described)
}
