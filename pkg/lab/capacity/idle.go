package capacity

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/entry"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
)

const (
	settleTime = 6 * time.Second
	idleWindow = 12 * time.Second
)

// sample is the state of one instance at one time.
type sample struct {
	usage   usage
	traffic entry.PeerTraffic
	witness bool
}

func nothing(context.Context, *experiment.Run) error { return nil }

// startFleet starts instances with the small configuration of the print works.
func startFleet(ctx context.Context, o *Options, instances int) (*experiment.Run, error) {
	d := deployment.Olomouc()
	if o.NoServices {
		d.Services, d.Routes = nil, nil
	}
	return experiment.Start(ctx, experiment.Options{
		Name: "capacity", Deployment: d, Instances: instances, Load: 0.6, RateShare: 0.9,
		Policy: "shared", Seed: 1, Script: nothing, Progress: o.Progress,
	})
}

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

// measureIdle measures fleets without requests. Bytes are those sent and
// received on the connections between instances.
func measureIdle(ctx context.Context, o *Options) ([]*Table, error) {
	all := &Table{Title: "idle, mean of all instances", Columns: idleColumns}
	witness := &Table{Title: "idle, mean of the witnesses", Columns: idleColumns}
	others := &Table{Title: "idle, mean of the others", Columns: idleColumns}
	for _, n := range o.Instances {
		before, after, elapsed, err := idleFleet(ctx, o, n)
		if err != nil {
			return nil, err
		}
		all.add(idleRow(n, before, after, elapsed, func(sample) bool { return true })...)
		if n <= witnesses {
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

func idleFleet(ctx context.Context, o *Options, n int) (before, after []sample, elapsed time.Duration, err error) {
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
	time.Sleep(idleWindow)
	elapsed = time.Since(began)
	after, err = takeSamples(r)
	return before, after, elapsed, err
}

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
		row[1] += (after[i].usage.processor - before[i].usage.processor).Seconds() / seconds * 100
		row[2] += megabytes(after[i].usage.resident)
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
