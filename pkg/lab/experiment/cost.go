package experiment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

// usage is what a process has used since its start.
type usage struct {
	cpu     time.Duration
	written int64
	memory  int64
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

func readUsage(pid int) (usage, error) {
	directory := "/proc/" + strconv.Itoa(pid) + "/"
	stat, err := os.ReadFile(directory + "stat")
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel writes numbers
		return n
	}
	u := usage{
		cpu:    time.Duration(number(fieldUserTime)+number(fieldSystemTime)) * clockTick,
		memory: number(fieldResident) * int64(os.Getpagesize()),
	}
	io, err := os.ReadFile(directory + "io")
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	for _, line := range strings.Split(string(io), "\n") {
		if value, ok := strings.CutPrefix(line, "wchar: "); ok {
			u.written, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return u, nil
}

// idleCost measures the mean cost of control per instance without traffic of
// callers. Bytes are those written, which include log lines.
func (r *Run) idleCost() (report.ControlCost, error) {
	before, err := r.usages()
	if err != nil {
		return report.ControlCost{}, err
	}
	start := time.Now()
	time.Sleep(idleWindow)
	after, err := r.usages()
	if err != nil {
		return report.ControlCost{}, err
	}
	elapsed := time.Since(start).Seconds()
	cost := report.ControlCost{Instances: len(after)}
	n := float64(len(after))
	for i := range after {
		cost.CPUPercent += (after[i].cpu - before[i].cpu).Seconds() / elapsed * 100 / n
		cost.BytesPerSecond += float64(after[i].written-before[i].written) / elapsed / n
		cost.MemoryMB += float64(after[i].memory) / (1 << 20) / n
	}
	return cost, nil
}

func (r *Run) usages() ([]usage, error) {
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
