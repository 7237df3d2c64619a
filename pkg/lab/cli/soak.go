package cli

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/soak"
)

type soakCommand struct {
	app       *app
	Seed      uint64  `long:"seed" description:"seed of the first run; 0 draws one from the time of day"`
	Runs      int     `long:"runs" default:"1" description:"number of runs, with the seeds that follow"`
	Seconds   float64 `long:"seconds" default:"12" description:"time with faults of a run"`
	Instances int     `long:"instances" default:"8" description:"number of instances"`
	Targets   int     `long:"targets" default:"10" description:"number of targets"`
	Callers   int     `long:"callers" default:"24" description:"number of callers"`
	Network   string  `long:"network" default:"78.0" description:"second and third number of the loopback addresses"`
	Directory string  `long:"directory" default:"out/soak" description:"directory of settings and logs"`
	Verbose   bool    `long:"verbose" description:"print each fault"`
}

// ViolationsError reports that guarantees were violated in some runs of the soak.
type ViolationsError struct{ Seeds []uint64 }

// Error names the seeds of those runs.
func (e *ViolationsError) Error() string {
	return fmt.Sprintf("guarantees did not hold with the seeds %v", e.Seeds)
}

// Execute runs the soak with consecutive seeds and prints a report per run.
func (c *soakCommand) Execute([]string) error {
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().Unix())
	}
	var failed []uint64
	for n := range c.Runs {
		options := soak.Options{
			Seed: c.Seed + uint64(n), Length: time.Duration(c.Seconds * float64(time.Second)), Instances: c.Instances, Targets: c.Targets,
			Callers: c.Callers, Network: c.Network, Directory: filepath.Join(c.Directory, fmt.Sprint(c.Seed+uint64(n))),
		}
		if c.Verbose {
			options.Progress = c.app.stderr
		}
		report, err := soak.Run(c.app.ctx, options)
		if err != nil {
			return err
		}
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.WithStack(err)
		}
		if !c.Verbose {
			data = fmt.Appendf(nil, "seed %d: %d requests, %d served, %d refused, %d faults, %d violations %v",
				report.Seed, report.Requests, report.Served, report.Refused, len(report.Faults), len(report.Violations), report.Violations)
		}
		_, _ = fmt.Fprintln(c.app.stdout, string(data))
		if len(report.Violations) > 0 {
			failed = append(failed, report.Seed)
		}
	}
	if len(failed) > 0 {
		return errors.WithStack(&ViolationsError{Seeds: failed})
	}
	return nil
}
