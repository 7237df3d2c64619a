// Package daemon holds what the daemons have in common: the command line, the error
// for listeners that cannot be opened, and the logger of the HTTP servers.
package daemon

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// Exit codes of the daemons.
const (
	ExitOK     = 0
	ExitFailed = 1 // a listener could not be opened or a component failed
	ExitUsage  = 2 // the command line or the settings are invalid
)

// options are the command-line options of a daemon.
type options struct {
	Settings    string `long:"settings" value-name:"FILE" description:"JSON file with the settings of this instance"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Command describes a daemon's program to Load.
type Command struct {
	// Name is the name of the program, and Description the text that --help prints
	// about it.
	Name, Description string
	Stdout, Stderr    io.Writer
}

// Load parses args and calls load to read the settings file that they name. If run
// is true, the daemon should run with the settings, which come from file; otherwise
// it should exit with code.
func Load[S any](c Command, args []string, load func(file string) (S, error)) (settings S, file string, code int, run bool) {
	var opts options
	parser := flags.NewNamedParser(c.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = c.Description
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err) // the struct tags of options are invalid
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return settings, "", c.handleParseError(err), false
	}
	if opts.Version {
		_, _ = fmt.Fprintln(c.Stdout, c.Name, version.Number)
		return settings, "", ExitOK, false
	}
	if opts.Settings == "" {
		_, _ = fmt.Fprintln(c.Stderr, c.Name+": --settings is required")
		return settings, "", ExitUsage, false
	}
	settings, err := load(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(c.Stderr, c.Name+":", err)
		return settings, "", ExitUsage, false
	}
	if opts.CheckConfig {
		_, _ = fmt.Fprintln(c.Stdout, opts.Settings, "is valid")
		return settings, "", ExitOK, false
	}
	return settings, opts.Settings, ExitOK, true
}

// handleParseError prints the help text or the error, and returns the exit code.
func (c Command) handleParseError(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(c.Stdout, flagsErr.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(c.Stderr, c.Name+":", err)
	return ExitUsage
}
