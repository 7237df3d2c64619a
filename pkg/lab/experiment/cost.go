package experiment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

// usage holds the resource usage of a process: CPU time and bytes written since
// its start, and its current resident memory.
type usage struct {
	cpuTime       time.Duration
	writtenBytes  int64
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

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	directory := "/proc/" + strconv.Itoa(pid) + "/"
	stat, err := os.ReadFile(directory + "stat")
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel always writes a number here
		return n
	}
	u := usage{
		cpuTime:       time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		residentBytes: number(fieldResident) * int64(os.Getpagesize()),
	}
	io, err := os.ReadFile(directory + "io")
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	for _, line := range strings.Split(string(io), "\n") {
		if value, ok := strings.CutPrefix(line, "wchar: "); ok {
			u.writtenBytes, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return u, nil
}

// measureIdleCost measures the mean cost per instance of the control traffic
// while callers send nothing. Bytes are those that the process writes, which
// include log lines.
func (r *Run) measureIdleCost() (report.ControlCost, error) {
	before, err := r.readUsages()
	if err != nil {
		return report.ControlCost{}, err
	}
	start := time.Now()
	time.Sleep(idleMeasureTime)
	after, err := r.readUsages()
	if err != nil {
		return report.ControlCost{}, err
	}
	elapsed := time.Since(start).Seconds()
	cost := report.ControlCost{Instances: len(after)}
	n := float64(len(after))
	for i := range after {
		cost.CPUPercent += (after[i].cpuTime - before[i].cpuTime).Seconds() / elapsed * 100 / n
		cost.BytesPerSecond += float64(after[i].writtenBytes-before[i].writtenBytes) / elapsed / n
		cost.MemoryMB += float64(after[i].residentBytes) / (1 << 20) / n
	}
	return cost, nil
}

// readUsages returns the usage of every instance, in the order of the fleet.
func (r *Run) readUsages() ([]usage, error) {
	all := make([]usage, len(r.Fleet.Instances))
	for i, instance := range r.Fleet.Instances {
		u, err := readUsage(instance.Process.PID())
		if err != nil {
			return nil, err
		}
		all[i] = u
	}
	return all, nil
}
