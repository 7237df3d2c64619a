package cli

import (
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

type compareCommand struct {
	app  *app
	Args struct {
		A string `positional-arg-name:"A" description:"first report"`
		B string `positional-arg-name:"B" description:"second report"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the measures of both reports and their ratios.
func (c *compareCommand) Execute([]string) error {
	a, err := report.Read(c.Args.A)
	if err != nil {
		return err
	}
	b, err := report.Read(c.Args.B)
	if err != nil {
		return err
	}
	return report.WriteTable(c.app.stdout, report.Compare(a, b))
}

type plotCommand struct {
	app  *app
	To   string `long:"to" required:"true" description:"PNG or SVG file to write"`
	Args struct {
		File string `positional-arg-name:"REPORT" description:"report to draw"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the plot of the report.
func (c *plotCommand) Execute([]string) error {
	r, err := report.Read(c.Args.File)
	if err != nil {
		return err
	}
	return r.Plot(c.To)
}
