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

// usage is what a process has used since its start.
type usage struct {
	processor time.Duration
	resident  int64
}

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// ProcessError says that the usage of a process cannot be read.
type ProcessError struct {
	PID   int
	Cause error
}

// Error names the process.
func (e *ProcessError) Error() string {
	return "usage of process " + strconv.Itoa(e.PID) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, errors.WithStack(&ProcessError{PID: pid, Cause: err})
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel writes numbers
		return n
	}
	return usage{
		processor: time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		resident:  number(fieldResident) * int64(os.Getpagesize()),
	}, nil
}

// ownTime is the processor time of this process, garbage collection included.
func ownTime() time.Duration {
	var r syscall.Rusage
	// Getrusage of the own process never fails.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// timed returns the processor time of one call of f, as the least of three, so
// that a collection of earlier garbage does not count.
func timed(f func() error) (time.Duration, error) {
	least := time.Duration(1<<63 - 1)
	for range 3 {
		runtime.GC()
		before := ownTime()
		if err := f(); err != nil {
			return 0, err
		}
		least = min(least, ownTime()-before)
	}
	return least, nil
}

// perCall returns the processor time of one of many calls of f.
func perCall(calls int, f func() error) (time.Duration, error) {
	total, err := timed(func() error {
		for range calls {
			if err := f(); err != nil {
				return err
			}
		}
		return nil
	})
	return total / time.Duration(calls), err
}

// liveHeap is the memory in use after a collection.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func megabytes(n int64) float64            { return float64(n) / (1 << 20) }
