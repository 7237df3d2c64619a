package fleet

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	entryBinary = "arbutus-entry"
	// commandsPackage is the prefix of the import paths of the programs.
	commandsPackage = "github.com/arbutuslink/arbutuslink/cmd/"
)

// FindBinary returns the path of a program. It looks for it in the directory of
// the running program, and otherwise builds it into the given directory, which is
// the case when the lab was started with go run. Errors: *ProcessError.
func FindBinary(name, directory string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	sibling := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(sibling); err == nil {
		return sibling, nil
	}
	built := filepath.Join(directory, name)
	cmd := exec.Command("go", "build", "-o", built, commandsPackage+name)
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return "", errors.WithStack(&ProcessError{Name: "go build " + name, Cause: err})
	}
	return built, nil
}
