package fleet

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	entryBinary  = "arbutus-entry"
	entryPackage = "github.com/arbutuslink/arbutuslink/cmd/arbutus-entry"
)

// findEntryBinary returns the arbutus-entry beside this program, or builds it
// into the directory when the lab was started with go run.
func findEntryBinary(directory string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", errors.WithStack(&ProcessError{Name: entryBinary, Cause: err})
	}
	beside := filepath.Join(filepath.Dir(self), entryBinary)
	if _, err := os.Stat(beside); err == nil {
		return beside, nil
	}
	built := filepath.Join(directory, entryBinary)
	cmd := exec.Command("go", "build", "-o", built, entryPackage)
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return "", errors.WithStack(&ProcessError{Name: "go build " + entryPackage, Cause: err})
	}
	return built, nil
}
