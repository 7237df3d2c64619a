package bytebudget

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// MachineMemory returns the memory of the machine in bytes.
func MachineMemory() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "read the size of the machine's memory")
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}
