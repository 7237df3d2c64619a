package demo

import (
	"context"
	"io"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
)

// Up starts a fleet like that of the demonstration and puts its configuration
// in force. The caller closes the run.
func Up(ctx context.Context, instances int, directory string, progress io.Writer) (*experiment.Run, error) {
	return experiment.Start(ctx, experiment.Options{
		Name: "up", Deployment: small(), Instances: instances, Load: load, RateShare: rateShare,
		Policy: "reserve", Seed: 1, Directory: directory, Progress: progress,
		Script: func(context.Context, *experiment.Run) error { return nil },
	})
}
