//go:build review2

// Package cases2 plays the cases of the second review against processes of arbutus-edge on loopback
// addresses. Its test binary is a program: it exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
package cases2

import (
	"fmt"
	"os"
	"testing"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are what run.sh sets.
type options struct {
	// folder is a temporary folder for settings and logs, record the file for the record.
	folder, record string
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases maps names to the functions that play them. They return the violations of the rule.
var cases = map[string]func(options) ([]string, error){
	"retained": playRetained,
}

// TestMain plays the case that the environment names.
func TestMain(*testing.M) {
	o := options{folder: os.Getenv("CASE_FOLDER"), record: os.Getenv("CASE_RECORD"), trouble: os.Getenv("TROUBLE") != "0"}
	play := cases[os.Getenv("CASE")]
	if play == nil || o.folder == "" || o.record == "" {
		fmt.Fprintln(os.Stderr, "CASE, CASE_FOLDER and CASE_RECORD are needed")
		os.Exit(exitFailed)
	}
	broken, err := play(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
