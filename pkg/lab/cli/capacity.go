package cli

import (
	"github.com/arbutuslink/arbutuslink/pkg/lab/capacity"
)

type capacityCommand struct {
	app        *app
	Instances  []int  `long:"instances" default:"8" default:"16" default:"32" default:"48" description:"fleet size of the parts idle and profile; may be repeated"`
	Percents   []int  `long:"percent" default:"1" default:"10" default:"25" default:"50" default:"100" description:"size of the configuration of the part change; may be repeated"`
	NoServices bool   `long:"no-services" description:"leave out services and their probes in the part idle"`
	Profile    string `long:"cpu-profile" description:"file for the processor profile of the part profile"`
	Report     string `long:"report" required:"true" description:"JSON file to write"`
	Args       struct {
		Part string `positional-arg-name:"PART" description:"idle, profile, document, change, health, loans, directory or membership"`
	} `positional-args:"yes" required:"yes"`
}

// Execute measures one part, prints its tables and writes its report.
func (c *capacityCommand) Execute([]string) error {
	r, err := capacity.Run(c.app.ctx, c.Args.Part, capacity.Options{
		Instances: c.Instances, Percents: c.Percents, NoServices: c.NoServices, Profile: c.Profile, Progress: c.app.progress(),
	})
	if err != nil {
		return err
	}
	if err := r.Write(c.Report); err != nil {
		return err
	}
	return r.Print(c.app.stdout)
}
