// Command arbutusctl is the operators' command line of an arbutuslink fleet.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/ctl"
	"github.com/arbutuslink/arbutuslink/platform"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr, openStore)) }

// openStore returns the platform's store at the address. Entries that cannot be
// read are logged to standard error.
func openStore(address string) ctl.Store {
	log := zerolog.New(os.Stderr)
	return platform.New(address, &log)
}
