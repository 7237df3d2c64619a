// Package cli implements the commands of arbutus-lab.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// Exit codes of arbutus-lab.
const (
	ExitOK     = 0
	ExitFailed = 1 // the run failed or an expectation was not met
	ExitUsage  = 2 // the command line is wrong
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// app holds the context and the outputs that all commands share.
type app struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

const longDescription = `arbutus-lab simulates the platform, targets and callers on loopback addresses and measures a fleet.

Examples:
  arbutus-lab demo
  arbutus-lab up --env out/lab.env
  arbutus-lab run gray-stall --deployment skyline --instances 48 --seconds 30 --report out/gray-stall.json
  arbutus-lab compare out/a.json out/b.json
  arbutus-lab plot out/a.json --to out/a.png`

// Run executes arbutus-lab and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("arbutus-lab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	printed := false
	opts := options{Version: func() {
		printed = true
		_, _ = fmt.Fprintln(stdout, "arbutus-lab", version.Number)
	}}
	if _, err := parser.AddGroup("Global options", "", &opts); err != nil {
		panic(err) // the struct tags of options are invalid
	}
	a.addCommands(parser)
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil || printed:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(stderr, "arbutus-lab:", err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(stderr, "arbutus-lab:", err)
		return ExitFailed
	}
}

// addCommands registers the commands with the parser.
func (a *app) addCommands(parser *flags.Parser) {
	commands := []struct {
		name, short string
		data        any
	}{
		{"demo", "run a small fleet end to end and check it", &demoCommand{app: a}},
		{"up", "start a small fleet and run it until interrupted", &upCommand{app: a}},
		{"run", "run an experiment", &runCommand{app: a}},
		{"list", "list the experiments", &listCommand{app: a}},
		{"compare", "compare two reports", &compareCommand{app: a}},
		{"plot", "draw a report", &plotCommand{app: a}},
		{"capacity", "measure what control costs as the fleet grows", &capacityCommand{app: a}},
		{"edge", "start a small fleet of arbutus-edge and run it until interrupted", &edgeCommand{app: a}},
		{"soak", "inject random faults into a fleet of arbutus-edge and check its guarantees", &soakCommand{app: a}},
		{"platform", "run the platform simulator", &platformCommand{app: a}},
		{"targets", "run simulated targets from a file", &targetsCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			panic(err) // the struct tags of a command are invalid
		}
	}
}
