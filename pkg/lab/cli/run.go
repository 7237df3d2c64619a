package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"

	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

type runCommand struct {
	app        *app
	Deployment string  `long:"deployment" default:"olomouc" description:"olomouc or skyline"`
	Instances  int     `long:"instances" default:"48" description:"number of instances"`
	Seconds    int     `long:"seconds" default:"30" description:"measured time"`
	Load       float64 `long:"load" default:"0.6" description:"offered load as a share of the targets' capacity"`
	RateShare  float64 `long:"rate-share" default:"0.9" description:"offered load as a share of the teams' rates"`
	Policy     string  `long:"policy" choice:"shared" choice:"baseline" choice:"reserve" choice:"reserve_all" default:"reserve" description:"balance policy"`
	Issuers    int     `long:"issuers" description:"token issuers per team; 0 for the default"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of load and faults"`
	Report     string  `long:"report" required:"true" description:"JSON file to write"`
	Args       struct {
		Experiment string `positional-arg-name:"EXPERIMENT" description:"name from arbutus-lab list"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the experiment and writes its report.
func (c *runCommand) Execute([]string) error {
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	r, err := experiment.Start(c.app.ctx, experiment.Options{
		Name: c.Args.Experiment, Deployment: d, Instances: c.Instances, Seconds: c.Seconds, Load: c.Load, RateShare: c.RateShare,
		Policy: c.Policy, Issuers: c.Issuers, Seed: c.Seed, Progress: c.app.progress(),
	})
	if err != nil {
		return err
	}
	defer r.Close()
	rep, err := r.Measure(c.app.ctx)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(c.Report), 0o755); err != nil {
		return errors.WithStack(&report.FileError{File: c.Report, Cause: err})
	}
	if err := rep.Write(c.Report); err != nil {
		return err
	}
	return summarize(c.app.stdout, rep)
}

// progress returns the writer for progress lines: stderr if it is a terminal, or
// nil for none.
func (a *app) progress() io.Writer {
	file, ok := a.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return nil
	}
	return file
}

// summarize prints the main measures of a report.
func summarize(w io.Writer, r *report.Report) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) { _, _ = fmt.Fprintf(table, name+"\t"+format+"\n", args...) }
	row("experiment", "%s, %s, policy %s, seed %d", r.Experiment, r.Deployment, r.Policy, r.Seed)
	row("requests", "%d offered, %d whole, %d without answer, %d corrupt", r.Requests.Offered, r.Requests.Whole, r.Requests.NoAnswer, r.Requests.Corrupt)
	row("refused", "%v", r.Requests.Refused)
	if r.Detection != nil {
		row("detection", "p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.Detection.P50, r.Detection.P99, r.Detection.Max)
	}
	row("ejections", "%d true, %d false, %.1f false target-seconds", r.Ejections.True, r.Ejections.False, r.Ejections.FalseTargetSeconds)
	row("floor", "lowest %d slots, floor %d, crossed %d times", r.Floor.LowestSlots, r.Floor.FloorSlots, r.Floor.Crossed)
	row("worst team", "%.4f of its entitlement", r.WorstServedFraction())
	row("false refusals", "%.5f of the entitled requests", r.FalseRefusalRate())
	row("safety", "over limit %d, max executions %d, keys seen %d, ran after not run %d, after expiry %d", r.Safety.OverLimit,
		r.Safety.MaxExecutions, r.Safety.KeysSeen, r.Safety.RanAfterNotRun, r.Safety.RanAfterExpiry)
	row("latency", "p50 %.1f ms, p99 %.1f ms", r.Latency.P50, r.Latency.P99)
	row("added", "p50 %.2f ms, p99 %.2f ms", r.AddedLatency.P50, r.AddedLatency.P99)
	row("direct", "p50 %.2f ms, p99 %.2f ms without the fleet", r.DirectLatency.P50, r.DirectLatency.P99)
	row("control", "%.2f%% of a core, %.0f bytes/s, %.1f MB per instance", r.ControlCost.CPUPercent, r.ControlCost.BytesPerSecond, r.ControlCost.MemoryMB)
	return table.Flush()
}

type listCommand struct{ app *app }

// Execute lists the experiments.
func (c *listCommand) Execute([]string) error {
	table := tabwriter.NewWriter(c.app.stdout, 0, 4, 2, ' ', 0)
	for _, e := range experiment.List() {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", e[0], e[1])
	}
	return table.Flush()
}
