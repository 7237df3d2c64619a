package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
)

const (
	changeInstances = 3
	// changesPerSize is the number of patches per configuration size.
	changesPerSize = 3
	changeTimeout  = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// SlowChangeError reports that a configuration version was not in force at all
// instances within changeTimeout.
type SlowChangeError struct{ Version int64 }

// Error names the version.
func (e *SlowChangeError) Error() string {
	return fmt.Sprintf("version %d was not in force everywhere within %v", e.Version, changeTimeout)
}

var changeColumns = []string{
	"percent of the expected scale", "bytes", "accepted s", "applied everywhere s", "in force s", "processor s per instance",
	"fetched bytes per instance", "memory MB",
}

// measureChange measures the time and cost of small patches on a fleet of three
// instances as the configuration grows. The first size that fails ends the series.
func measureChange(ctx context.Context, o *Options) ([]*Table, error) {
	t := &Table{Title: "one patch of one team, three instances, mean of three patches", Columns: changeColumns}
	for _, percent := range o.Percents {
		o.progress("changes at %d percent", percent)
		row, err := measureChangeRow(ctx, o, percent)
		if err != nil {
			t.Notes = append(t.Notes, fmt.Sprintf("%d percent failed: %v", percent, err))
			break
		}
		t.add(row...)
	}
	if len(t.Rows) > 1 {
		t.fit()
	}
	return []*Table{t}, nil
}

// measureChangeRow starts a fleet with a configuration of percent of the expected
// scale, and returns the means over several patches in the order of changeColumns.
func measureChangeRow(ctx context.Context, o *Options, percent int) ([]float64, error) {
	r, err := startFleet(ctx, o, changeInstances)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	c := scaled(float64(percent)/100).Config(1, time.Now())
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(&EncodeError{Cause: err})
	}
	// The targets of the synthetic configuration do not exist. The long interval
	// keeps their probes out of the measurement.
	for id, s := range c.Services {
		s.ProbeIntervalMS = 60_000
		c.Services[id] = s
	}
	// Three patches, because the operator API accepts at most 8 MB per patch.
	for _, section := range []map[string]any{
		{"batches": c.Batches, "teams": c.Teams}, {"keys": c.Keys}, {"services": c.Services, "routes": c.Routes},
	} {
		if err := r.Apply(ctx, section); err != nil {
			return nil, err
		}
	}
	time.Sleep(settleTime)
	row := make([]float64, len(changeColumns))
	for n := range changesPerSize {
		if err := measurePatch(r, row, n); err != nil {
			return nil, err
		}
	}
	for i := range row {
		row[i] /= changesPerSize
	}
	row[0], row[1] = float64(percent), float64(len(raw))
	return row, nil
}

// measurePatch applies the n-th patch and adds its measurements to row, which is
// in the order of changeColumns.
func measurePatch(r *experiment.Run, row []float64, n int) error {
	before, err := takeSamples(r)
	if err != nil {
		return err
	}
	began := time.Now()
	patch := map[string]any{"teams": map[string]any{"team-0": map[string]any{"burst": 100 + n}}}
	version, err := r.Operator(0).Patch(r.Version, patch)
	if err != nil {
		return err
	}
	r.Version = version
	row[2] += time.Since(began).Seconds()
	applied, inForce := make([]bool, changeInstances), make([]bool, changeInstances)
	appliedSeconds := 0.0
	for !all(inForce) {
		if time.Since(began) > changeTimeout {
			return errors.WithStack(&SlowChangeError{Version: version})
		}
		for i := range changeInstances {
			// An error is retried: an instance that is busy with the configuration
			// answers late.
			s, err := r.Operator(i).Status()
			if err == nil && s.ConfigVersion >= version {
				applied[i], inForce[i] = true, s.ConfigState == "in force"
			}
		}
		if appliedSeconds == 0 && all(applied) {
			appliedSeconds = time.Since(began).Seconds()
		}
		time.Sleep(pollInterval)
	}
	row[3] += appliedSeconds
	row[4] += time.Since(began).Seconds()
	after, err := takeSamples(r)
	if err != nil {
		return err
	}
	for i := range after {
		_, fetched := callsOf(before[i].traffic.Made, after[i].traffic.Made)
		row[5] += (after[i].usage.cpuTime - before[i].usage.cpuTime).Seconds() / changeInstances
		row[6] += fetched["fetch"] / (changeInstances - 1)
		row[7] += megabytes(after[i].usage.residentBytes) / changeInstances
	}
	return nil
}

func all(values []bool) bool {
	for _, v := range values {
		if !v {
			return false
		}
	}
	return true
}
