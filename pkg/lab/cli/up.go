package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/demo"
	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

type upCommand struct {
	app       *app
	Instances int    `long:"instances" default:"5" description:"number of instances"`
	Team      string `long:"team" default:"school" choice:"school" choice:"club" choice:"reseller" description:"team whose caller key is printed"`
	Env       string `long:"env" description:"file to write the shell variables to"`
	Directory string `long:"directory" description:"directory for settings and logs; a temporary one is removed at the end"`
}

// Execute starts the fleet, prints how to reach it and waits for an interrupt.
func (c *upCommand) Execute([]string) error {
	if c.Directory != "" {
		if err := os.MkdirAll(c.Directory, 0o755); err != nil {
			return errors.WithStack(&report.FileError{File: c.Directory, Cause: err})
		}
	}
	r, err := demo.Up(c.app.ctx, c.Instances, c.Directory, c.app.progress())
	if err != nil {
		return err
	}
	defer r.Close()
	variables := c.variables(r)
	if c.Env != "" {
		if err := writeEnv(c.Env, variables); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(c.app.stdout, "%d instances run, configuration version %d is in force, logs are in %s\n%sInterrupt to stop.\n",
		c.Instances, r.Version, r.Fleet.Directory(), variables)
	<-c.app.ctx.Done()
	return nil
}

// variables returns shell commands that export the addresses and keys of the fleet.
func (c *upCommand) variables(r *experiment.Run) string {
	first := r.Fleet.Instances[0].Settings
	return strings.Join([]string{
		"export ARBUTUS_SERVER=http://" + first.OperatorAddress,
		"export ARBUTUS_TOKEN=" + fleet.OperatorToken,
		"export CALLER=http://" + first.CallerAddress,
		"export KEY=" + r.Keys[c.Team], "",
	}, "\n")
}

// writeEnv writes the variables to a file that only its owner can read, because
// they contain secrets.
func writeEnv(file, variables string) error {
	err := os.MkdirAll(filepath.Dir(file), 0o755)
	if err == nil {
		err = os.WriteFile(file, []byte(variables), 0o600)
	}
	if err != nil {
		return errors.WithStack(&report.FileError{File: file, Cause: err})
	}
	return nil
}
