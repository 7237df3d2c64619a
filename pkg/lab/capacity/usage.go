package capacity

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// usage holds the CPU time of a process since its start and its current resident
// memory.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Indices of the fields of /proc/PID/stat after the command name, from 0.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// ProcessError reports that the resource usage of a process could not be read.
type ProcessError struct {
	PID   int
	Cause error
}

// Error names the process and the cause.
func (e *ProcessError) Error() string {
	return "usage of process " + strconv.Itoa(e.PID) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// readUsage reads the usage of a process from /proc. Errors: *ProcessError.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, errors.WithStack(&ProcessError{PID: pid, Cause: err})
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel always writes a number here
		return n
	}
	return usage{
		cpuTime:       time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		residentBytes: number(fieldResident) * int64(os.Getpagesize()),
	}, nil
}

// ownCPUTime returns the CPU time of this process, garbage collection included.
func ownCPUTime() time.Duration {
	var r syscall.Rusage
	// Getrusage never fails for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// timeCPU returns the CPU time of one call of f: the minimum of three calls, so
// that the collection of earlier garbage does not count.
func timeCPU(f func() error) (time.Duration, error) {
	shortest := time.Duration(1<<63 - 1)
	for range 3 {
		runtime.GC()
		before := ownCPUTime()
		if err := f(); err != nil {
			return 0, err
		}
		shortest = min(shortest, ownCPUTime()-before)
	}
	return shortest, nil
}

// cpuPerCall returns the mean CPU time of one call of f.
func cpuPerCall(calls int, f func() error) (time.Duration, error) {
	total, err := timeCPU(func() error {
		for range calls {
			if err := f(); err != nil {
				return err
			}
		}
		return nil
	})
	return total / time.Duration(calls), err
}

// liveHeapBytes returns the heap memory in use after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func megabytes(n int64) float64            { return float64(n) / (1 << 20) }
