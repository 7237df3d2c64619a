package cli

import (
	"fmt"

	"github.com/arbutuslink/arbutuslink/pkg/lab/demo"
)

type demoCommand struct {
	app     *app
	Seconds int `long:"seconds" default:"6" description:"length of the load phase"`
}

// Execute runs the demonstration and prints its result. An unmet expectation is
// an error.
func (c *demoCommand) Execute([]string) error {
	result, err := demo.Run(c.app.ctx, c.Seconds, c.app.progress())
	if result != nil {
		for _, line := range result.Lines() {
			_, _ = fmt.Fprintln(c.app.stdout, line)
		}
	}
	return err
}
