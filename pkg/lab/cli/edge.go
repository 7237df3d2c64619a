package cli

import (
	"fmt"
	"strings"

	"github.com/arbutuslink/arbutuslink/pkg/lab/edgelab"
)

type edgeCommand struct {
	app       *app
	Instances int    `long:"instances" default:"4" description:"number of instances"`
	Targets   int    `long:"targets" default:"4" description:"number of simulated targets"`
	Network   string `long:"network" default:"66.0" description:"second and third number of the loopback addresses"`
	Directory string `long:"directory" default:"out/edge" description:"directory of settings and logs"`
	Env       string `long:"env" description:"file to write the shell variables to"`
}

// Execute starts the fleet, prints how to reach it and waits for an interrupt.
func (c *edgeCommand) Execute([]string) error {
	lab, err := edgelab.Start(c.app.ctx, edgelab.Options{Instances: c.Instances, Targets: c.Targets, Network: c.Network, Directory: c.Directory})
	if err != nil {
		return err
	}
	defer lab.Close()
	variables := strings.Join([]string{
		"export ARBUTUS_STORE=" + lab.StoreAddress(), "export DIRECTORY='" + lab.DirectoryURL() + "'", "export CALLER=" + lab.CallerURL(),
		"export METRICS=" + lab.MetricsURL(), "export HOST=" + edgelab.Host, "export KEY=" + edgelab.Key, "",
	}, "\n")
	if c.Env != "" {
		if err := writeEnv(c.Env, variables); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(c.app.stdout, "%d instances run; settings and logs are in %s\n%sInterrupt to stop.\n", c.Instances, c.Directory, variables)
	<-c.app.ctx.Done()
	return nil
}
