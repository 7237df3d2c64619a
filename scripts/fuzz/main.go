// Command fuzz runs all fuzz tests of parsers, each for the time given as the argument.
// Failing inputs are stored as seeds under testdata/fuzz.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// defaultTime is the time for each fuzz test.
const defaultTime = "10s"

// fuzzTests lists the fuzz tests, which read requests, responses, datagrams and trails in logs.
var fuzzTests = []struct{ pkg, name string }{
	{"./pkg/proxy", "FuzzTargetResponse"},
	{"./pkg/proxy", "FuzzCallerRequest"},
	{"./pkg/proxy", "FuzzKeyNeverReachesTarget"},
	{"./pkg/http1", "FuzzChunkedReader"},
	{"./pkg/edge", "FuzzDatagram"},
	{"./pkg/explain", "FuzzParseTrail"},
}

func main() {
	duration := defaultTime
	if len(os.Args) > 1 {
		duration = os.Args[1]
	}
	for _, t := range fuzzTests {
		if err := run(t.pkg, t.name, duration); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", t.name, err)
			os.Exit(1)
		}
	}
}

// run runs one fuzz test.
func run(pkg, name, duration string) error {
	var output bytes.Buffer
	cmd := exec.Command("go", "test", "-run", "^$", "-fuzz", "^"+name+"$", "-fuzztime", duration, pkg)
	cmd.Stdout, cmd.Stderr = io.MultiWriter(os.Stdout, &output), io.MultiWriter(os.Stderr, &output)
	err := cmd.Run()
	if err != nil && onlyTimeEnded(output.String(), name) {
		fmt.Println(name + ": no failing input; go test reported the end of its own time")
		return nil
	}
	return err
}

// status is a line by which go test reports progress or how a package ended.
var status = regexp.MustCompile(`^(fuzz: elapsed: .*|exit status 1|FAIL|FAIL\t.*)$`)

// onlyTimeEnded reports whether the output of a fuzz test that failed names no other reason
// than the end of the time that go test set itself. It does so at times even for a fuzz test
// that does nothing.
func onlyTimeEnded(output, name string) bool {
	timeEnded, failed := false, false
	for line := range strings.Lines(output) {
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "--- FAIL: "+name+" ("):
			failed = true
		case failed && strings.TrimSpace(line) == "context deadline exceeded":
			timeEnded = true
		case failed && !status.MatchString(line):
			return false
		}
	}
	return timeEnded
}
