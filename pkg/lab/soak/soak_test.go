package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/soak"
)

// run performs a soak run with one seed and fails on each violated guarantee.
func run(t *testing.T, binary string, seed uint64, seconds float64) {
	t.Helper()
	report, err := soak.Run(context.Background(), soak.Options{
		Seed: seed, Length: time.Duration(seconds * float64(time.Second)), Instances: 8, Targets: 10, Callers: 24,
		Network: fmt.Sprintf("79.%d", os.Getpid()%256), Directory: t.TempDir(), Binary: binary,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s: %s", seed, v.Guarantee, v.Detail)
	}
	if t.Failed() {
		t.Log(strings.Join(report.Faults, "\n"))
	}
	is.New(t).True(report.Served > 100) // enough requests were served for the checks to mean something
}

func binary(t *testing.T) string {
	t.Helper()
	path, err := fleet.FindBinary("arbutus-edge", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against faults that soak runs have found; testdata/seeds.txt names the
// cause of each.
func TestRegressions(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	program := binary(t)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var seed uint64
		var seconds float64
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		if _, err := fmt.Sscan(lines.Text(), &seed, &seconds); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, program, seed, seconds) })
	}
}

// Guards against violations of the guarantees under random faults; arbutus-lab
// soak performs longer runs with any seed.
func TestShortSoak(t *testing.T) {
	program := binary(t)
	for _, seed := range []uint64{1} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, program, seed, 4) })
	}
}
