package capacity

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/entry"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
)

const (
	// settleTime passes between a change of the fleet and the measurement.
	settleTime      = 6 * time.Second
	idleMeasureTime = 12 * time.Second
)

// sample holds the counters of one instance at one time.
type sample struct {
	usage   usage
	traffic entry.PeerTraffic
	// witness is set when the instance is a witness of the membership.
	witness bool
}

func noAction(context.Context, *experiment.Run) error { return nil }

// startFleet starts instances with the small configuration of the print works
// deployment, without services if the options say so.
func startFleet(ctx context.Context, o *Options, instances int) (*experiment.Run, error) {
	d := deployment.Olomouc()
	if o.NoServices {
		d.Services, d.Routes = nil, nil
	}
	return experiment.Start(ctx, experiment.Options{
		Name: "capacity", Deployment: d, Instances: instances, Load: 0.6, RateShare: 0.9,
		Policy: "shared", Seed: 1, Script: noAction, Progress: o.Progress,
	})
}

// takeSamples reads the counters of every instance, in the order of the fleet.
func takeSamples(r *experiment.Run) ([]sample, error) {
	samples := make([]sample, len(r.Fleet.Instances))
	for n, instance := range r.Fleet.Instances {
		var dump entry.Dump
		if err := r.Operator(n).Dump(&dump); err != nil {
			return nil, err
		}
		u, err := readUsage(instance.Process.PID())
		if err != nil {
			return nil, err
		}
		samples[n] = sample{usage: u, traffic: dump.PeerTraffic}
		if dump.Control != nil {
			samples[n].witness = dump.Control.Membership.IsWitness(dump.Control.Self.Incarnation)
		}
	}
	return samples, nil
}

var idleColumns = []string{
	"instances", "processor %", "memory MB", "calls made/s", "calls served/s", "heartbeat B/s", "report B/s", "all B/s",
}

// measureIdle measures fleets of growing size while callers send no requests.
// Bytes are those sent and received on the connections between instances.
func measureIdle(ctx context.Context, o *Options) ([]*Table, error) {
	all := &Table{Title: "idle, mean of all instances", Columns: idleColumns}
	witness := &Table{Title: "idle, mean of the witnesses", Columns: idleColumns}
	others := &Table{Title: "idle, mean of the others", Columns: idleColumns}
	for _, n := range o.Instances {
		before, after, elapsed, err := sampleIdleFleet(ctx, o, n)
		if err != nil {
			return nil, err
		}
		all.add(idleRow(n, before, after, elapsed, func(sample) bool { return true })...)
		if n <= maxWitnesses {
			continue
		}
		witness.add(idleRow(n, before, after, elapsed, func(s sample) bool { return s.witness })...)
		others.add(idleRow(n, before, after, elapsed, func(s sample) bool { return !s.witness })...)
	}
	if len(witness.Rows) > 1 {
		witness.fit()
		others.fit()
	}
	return []*Table{all, witness, others}, nil
}

// sampleIdleFleet starts n instances and returns their counters before and after
// idleMeasureTime.
func sampleIdleFleet(ctx context.Context, o *Options, n int) (before, after []sample, elapsed time.Duration, err error) {
	r, err := startFleet(ctx, o, n)
	if err != nil {
		return nil, nil, 0, err
	}
	defer r.Close()
	time.Sleep(settleTime)
	began := time.Now()
	if before, err = takeSamples(r); err != nil {
		return nil, nil, 0, err
	}
	time.Sleep(idleMeasureTime)
	elapsed = time.Since(began)
	after, err = takeSamples(r)
	return before, after, elapsed, err
}

// idleRow returns the means over the included instances, in the order of
// idleColumns.
func idleRow(instances int, before, after []sample, elapsed time.Duration, include func(sample) bool) []float64 {
	row := make([]float64, len(idleColumns))
	count := 0.0
	for i := range after {
		if !include(after[i]) {
			continue
		}
		count++
		seconds := elapsed.Seconds()
		made, madeBytes := callsOf(before[i].traffic.Made, after[i].traffic.Made)
		served, servedBytes := callsOf(before[i].traffic.Served, after[i].traffic.Served)
		row[1] += (after[i].usage.cpuTime - before[i].usage.cpuTime).Seconds() / seconds * 100
		row[2] += megabytes(after[i].usage.residentBytes)
		row[3] += made / seconds
		row[4] += served / seconds
		row[5] += (madeBytes["exchange"] + servedBytes["exchange"]) / seconds
		row[6] += (madeBytes["report"] + servedBytes["report"]) / seconds
		for kind := range madeBytes {
			row[7] += (madeBytes[kind] + servedBytes[kind]) / seconds
		}
	}
	for i := range row {
		row[i] /= max(count, 1)
	}
	row[0] = float64(instances)
	return row
}
