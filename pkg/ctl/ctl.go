package ctl

import (
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// Exit codes; docs/arbutusctl.md documents them.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the instance refused or failed
	ExitUsage   = 2 // the command line is invalid
	ExitStale   = 3 // the patch was written against a stale version
	ExitUnknown = 4 // the change may have taken effect
)

// options are the global flags.
type options struct {
	Server    string `long:"server" env:"ARBUTUS_SERVER" default:"http://127.0.0.1:8002" description:"operator address of any instance"`
	TokenFile string `long:"token-file" env:"ARBUTUS_TOKEN_FILE" description:"file with the operator token"`
	CAFile    string `long:"ca-file" env:"ARBUTUS_CA_FILE" description:"PEM file with the certificate authorities to trust in place of the system's"`
	Store     string `long:"store" env:"ARBUTUS_STORE" description:"IP:port of a platform's store to read in place of an instance"`
	Output    string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Version   func() `long:"version" description:"print the version and exit"`
}

// app holds the global flags, the output and the access to the store for all
// commands.
type app struct {
	opts   options
	stdout io.Writer
	// openStore returns the store at the address given by --store.
	openStore OpenStore
}

// TokenError reports that no operator token was given or could be read.
type TokenError struct{ Cause error }

// Error states how to give a token.
func (e *TokenError) Error() string {
	text := "no operator token: set ARBUTUS_TOKEN or give --token-file"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *TokenError) Unwrap() error { return e.Cause }

// UsageError reports an invalid command line or an unreadable file named on it.
type UsageError struct{ Reason string }

// Error gives the reason.
func (e *UsageError) Error() string { return e.Reason }

const longDescription = `arbutusctl drives an arbutuslink fleet through the operator address of any instance.

Examples:
  arbutusctl status
  arbutusctl config > config.json
  arbutusctl patch --version 12 --merge change.json --dry-run
  arbutusctl patch --version 12 --merge change.json
  arbutusctl key issue --version 12 --id reseller-1 --team reseller
  arbutusctl key withdraw --version 13 --id reseller-1
  arbutusctl dump --all
  arbutusctl status --store 10.200.1.7:8688
  arbutusctl explain 05959c9d37e7a4c9 --logs /var/log/arbutus-edge

The operator token is read from ARBUTUS_TOKEN or from --token-file.`

// Run executes arbutusctl with the arguments after the program name and returns
// its exit code.
func Run(args []string, stdout, stderr io.Writer, openStore OpenStore) int {
	a := &app{stdout: stdout, openStore: openStore}
	printed := false
	a.opts.Version = func() {
		printed = true
		_, _ = fmt.Fprintln(stdout, "arbutusctl", version.Number)
	}
	parser := a.newParser()
	_, err := parser.ParseArgs(args)
	if printed {
		return ExitOK
	}
	return exitCode(err, stdout, stderr)
}

func (a *app) newParser() *flags.Parser {
	parser := flags.NewNamedParser("arbutusctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Global options", "", &a.opts); err != nil {
		panic(err) // the struct tags of options are invalid
	}
	a.addCommands(parser)
	return parser
}

// exitCode prints help or an error and returns the exit code for it.
func exitCode(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "arbutusctl:", err)
	var usage *UsageError
	var refused *RefusedError
	switch {
	case errors.As(err, &flagsErr), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refused) && refused.Failure.Code == api.CodeStaleVersion:
		return ExitStale
	case outcomeUnknown(err):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// outcomeUnknown reports whether a change may have taken effect despite the error.
func outcomeUnknown(err error) bool {
	var refused *RefusedError
	var call *CallError
	var wait *WaitError
	return errors.As(err, &wait) || (errors.As(err, &refused) && refused.Failure.Applied == api.AppliedUnknown) || (errors.As(err, &call) && call.mayHaveChanged)
}

// addCommands registers every command. It panics on invalid struct tags of a
// command type, which are a programming error.
func (a *app) addCommands(parser *flags.Parser) {
	add := func(c *flags.Command, name, short string, data any) *flags.Command {
		command, err := c.AddCommand(name, short, short, data)
		if err != nil {
			panic(err)
		}
		return command
	}
	root := parser.Command
	add(root, "config", "print the configuration", &configCommand{app: a})
	add(root, "patch", "submit a patch", &patchCommand{app: a})
	add(root, "history", "list changes of the configuration", &historyCommand{app: a})
	add(root, "status", "show version, membership and freshness", &statusCommand{app: a})
	add(root, "members", "list the members", &membersCommand{app: a})
	add(root, "replace-membership", "declare members gone after a majority of witnesses was lost", &replaceCommand{app: a})
	add(root, "dump", "print the state of one or all instances", &dumpCommand{app: a})
	add(root, "explain", "explain the result of a request from the logs of the instances", &explainCommand{app: a})
	keys := add(root, "key", "issue and withdraw keys", &struct{}{})
	add(keys, "issue", "create a key and print it once", &keyIssueCommand{app: a})
	add(keys, "withdraw", "remove a key", &keyWithdrawCommand{app: a})
	teams := add(root, "team", "set and remove teams", &struct{}{})
	add(teams, "set", "create or change a team", &teamSetCommand{app: a})
	add(teams, "remove", "remove a team", &removeCommand{app: a, section: "teams"})
	batches := add(root, "batch", "set and remove batches", &struct{}{})
	add(batches, "set", "create or change a batch", &batchSetCommand{app: a})
	add(batches, "remove", "remove a batch", &removeCommand{app: a, section: "batches"})
	routes := add(root, "route", "set and remove routes", &struct{}{})
	add(routes, "set", "create or change a route from a JSON file", &routeSetCommand{app: a})
	add(routes, "access", "set which teams a route is open to", &routeAccessCommand{app: a})
	add(routes, "remove", "remove a route", &removeCommand{app: a, section: "routes"})
	zones := add(root, "zone", "evacuate and restore availability zones", &struct{}{})
	add(zones, "evacuate", "send nothing more to the targets of a zone", &zoneCommand{app: a, value: config.Evacuation{}})
	add(zones, "restore", "use the targets of a zone again", &zoneCommand{app: a})
}

// client returns a client for the instance of --server. It fails with *UsageError
// when --store is given, because the store is read without an instance.
func (a *app) client() (*client, error) {
	if a.opts.Store != "" {
		return nil, errors.WithStack(&UsageError{Reason: "with --store, only config, status, members and dump are possible: the platform's operator writes the configuration"})
	}
	token := os.Getenv("ARBUTUS_TOKEN")
	if a.opts.TokenFile != "" {
		data, err := os.ReadFile(a.opts.TokenFile)
		if err != nil {
			return nil, errors.WithStack(&TokenError{Cause: err})
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, errors.WithStack(&TokenError{})
	}
	caPool, err := a.caPool()
	if err != nil {
		return nil, err
	}
	return newClient(strings.TrimSuffix(a.opts.Server, "/"), token, caPool), nil
}

// caPool reads --ca-file; without the flag it returns nil, which selects the
// system's certificate authorities.
func (a *app) caPool() (*x509.CertPool, error) {
	if a.opts.CAFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(a.opts.CAFile)
	if err != nil {
		return nil, errors.WithStack(&UsageError{Reason: "--ca-file: " + err.Error()})
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.WithStack(&UsageError{Reason: "--ca-file: " + a.opts.CAFile + " holds no PEM certificate"})
	}
	return pool, nil
}

// print calls text if the output format is text and text is not nil; otherwise it
// writes v as JSON.
func (a *app) print(v any, text func(w io.Writer)) error {
	if a.opts.Output == "text" && text != nil {
		text(a.stdout)
		return nil
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(v))
}
