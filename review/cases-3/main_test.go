//go:build review3

// Package cases3 runs the scripts of the third review: a small deployment of arbutus-edge with
// stand-ins for callers, targets, the store and the platform. The test binary, which
// review/build-3.sh builds, takes the number of a case and the file for its record. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption
// is left out.
package cases3

import (
	"fmt"
	"os"
	"testing"
)

// cases maps the number of a case to its run, which reports whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"11": runEarlyAnswer,
	"12": runLateLeave,
	"13": runSlowReader,
	"14": runRestoredRoster,
	"15": runRevivedTarget,
}

// TestMain runs one case in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	broken, err := run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("broken")
		os.Exit(1)
	default:
		fmt.Println("held")
	}
}

func run(f func(b *bed, trouble bool) (bool, error), recordFile string, trouble bool) (bool, error) {
	b, err := newBed(recordFile)
	if err != nil {
		return false, err
	}
	defer b.close()
	return f(b, trouble)
}
