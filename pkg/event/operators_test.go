package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against warnings and errors that the operators' page leaves out or
// calls by another name.
func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	described := 0
	for _, e := range All() {
		if e.Level >= zerolog.WarnLevel {
			described++
			is.True(strings.Contains(string(page), fmt.Sprintf("\n| %d %s | ", e.ID, e.Name))) // an event is not described
		}
	}
	_, table, _ := strings.Cut(string(page), "| event |")
	is.Equal(strings.Count(table, "\n| "), described)
}
