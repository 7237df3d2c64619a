// Package version names the release that the programs belong to.
package version

// Number is printed by --version.
const Number = "0.1.0"
