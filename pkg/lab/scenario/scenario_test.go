package scenario_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/arbutuslink/arbutuslink/pkg/lab/cli"
	"github.com/arbutuslink/arbutuslink/pkg/lab/scenario"
)

// recordedSeed is the default of -seed.
const recordedSeed = 1

var (
	seed  = flag.Uint64("seed", recordedSeed, "seed of the random choices")
	entry = flag.String("entry", "", "path of the arbutus-entry under test; built when empty")
)

// parallelScripts bounds the number of scripts, and so of fleets, that run at once.
const parallelScripts = 3

// TestMain also runs the simulators of the platform and the targets: the fleet
// starts them as processes of the running program, which is the test binary.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "platform" || os.Args[1] == "targets") {
		os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if *entry == "" {
		directory, err := os.MkdirTemp("", "arbutus-scenario-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(directory)
		*entry = filepath.Join(directory, "arbutus-entry")
		build := exec.Command("go", "build", "-o", *entry, "github.com/arbutuslink/arbutuslink/cmd/arbutus-entry")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return 1
		}
	}
	return m.Run()
}

// Guards against guarantees that do not hold under failures; the comment at the
// head of each script names the guarantee and the failure.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts fleets of processes")
	}
	slots := make(chan struct{}, parallelScripts)
	setup := scenario.Setup(scenario.Options{EntryBinary: *entry, Seed: *seed})
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Cmds: scenario.Commands(), RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return setup(env)
		},
	})
}
