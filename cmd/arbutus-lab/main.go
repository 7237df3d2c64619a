// Command arbutus-lab runs simulators of the systems around an arbutuslink fleet,
// a demonstration, and experiments.
package main

import (
	"os"

	"github.com/arbutuslink/arbutuslink/pkg/lab/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
