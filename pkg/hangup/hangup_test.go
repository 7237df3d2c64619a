package hangup_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against SIGHUP terminating a process during its startup: the soak test
// (seed 100) sent it in the first 8 ms, while packages were being initialized. The
// package must be initialized directly after os/signal, so that the signal is
// received as soon as the standard library allows.
func TestReceivedFirst(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "arbutus-edge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/arbutus-edge").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cmd := exec.Command(program, "--version")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err = cmd.CombinedOutput()
	is.NoErr(err)
	var order []string
	for line := range strings.Lines(string(out)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			order = append(order, fields[1])
		}
	}
	signalIndex := slices.Index(order, "os/signal")
	is.True(signalIndex >= 0 && signalIndex+1 < len(order))
	is.Equal(order[signalIndex+1], "github.com/arbutuslink/arbutuslink/pkg/hangup")
}
