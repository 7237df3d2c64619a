package cli

import (
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/platformsim"
)

type platformCommand struct {
	app          *app
	Address      string `long:"address" required:"true" description:"listening address, IP:port"`
	AdminAddress string `long:"admin-address" required:"true" description:"admin address, IP:port"`
	Seed         uint64 `long:"seed" description:"seed of random faults"`
}

// Execute runs the platform simulator until it is interrupted.
func (c *platformCommand) Execute([]string) error {
	server := platformsim.New(platformsim.Options{Address: c.Address, AdminAddress: c.AdminAddress, Seed: c.Seed})
	if err := server.Start(); err != nil {
		return err
	}
	<-c.app.ctx.Done()
	return server.Close()
}

type targetsCommand struct {
	app  *app
	File string `long:"file" required:"true" description:"JSON file with the targets"`
}

// Execute runs the simulated targets until it is interrupted.
func (c *targetsCommand) Execute([]string) error { return fleet.RunTargets(c.app.ctx, c.File) }
