// Command arbutusctl is the operators' command line of an arbutuslink fleet.
package main

import (
	"os"

	"github.com/arbutuslink/arbutuslink/pkg/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
