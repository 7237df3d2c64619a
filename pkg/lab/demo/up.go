package demo

import (
	"context"
	"io"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
)

// Up starts a fleet like that of the demonstration, without load, and waits until
// its configuration is in force. The caller must close the run.
func Up(ctx context.Context, instances int, directory string, progress io.Writer) (*experiment.Run, error) {
	return experiment.Start(ctx, experiment.Options{
		Name: "up", Deployment: smallDeployment(), Instances: instances, Load: load, RateShare: rateShare,
		Policy: "reserve", Seed: 1, Directory: directory, Progress: progress,
		Script: func(context.Context, *experiment.Run) error { return nil },
	})
}
