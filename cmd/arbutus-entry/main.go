// Command arbutus-entry runs one instance of an arbutuslink fleet.
package main

import (
	"os"

	"github.com/arbutuslink/arbutuslink/pkg/entry"
)

func main() { os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr)) }
