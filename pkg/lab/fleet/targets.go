package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// Target is one simulated target.
type Target struct {
	ID      string
	Service string
	Slots   int
	// Address is the address of the service listener, Admin that of the admin
	// listener; IP:port.
	Address string
	Admin   string
}

// TargetSpec is one entry of the file that RunTargets reads. Its fields are those
// of Target and of targetsim.Options.
type TargetSpec struct {
	Address   string  `json:"address"`
	Admin     string  `json:"admin"`
	Seed      uint64  `json:"seed"`
	Slots     int     `json:"slots"`
	Queue     int     `json:"queue"`
	MedianMS  float64 `json:"median_ms"`
	Sigma     float64 `json:"sigma"`
	LoadLagMS int     `json:"load_lag_ms"`
	ColdForMS int     `json:"cold_for_ms"`
	MaxConns  int     `json:"max_connections"`
}

// Options of the simulated targets: the standard deviation of the logarithm of
// the service time, the maximum queue length, and the lag of the X-Load header in
// milliseconds.
const (
	serviceTimeSigma = 0.4
	maxTargetQueue   = 4
	loadLagMS        = 500
)

// startTargets starts one process per service, which simulates all its targets.
func (f *Fleet) startTargets(ctx context.Context) error {
	for index, s := range f.Options.Deployment.Services {
		specs := make([]TargetSpec, s.Targets)
		for n := range s.Targets {
			ip := f.addressBlock.loopback(firstTargetSubnet+index, n+1)
			t := &Target{
				ID: deployment.TargetID(s.Name, n), Service: s.Name, Slots: s.Slots,
				Address: hostPort(ip, servicePort), Admin: hostPort(ip, adminPort),
			}
			f.Targets = append(f.Targets, t)
			specs[n] = TargetSpec{
				Address: t.Address, Admin: t.Admin, Seed: f.Options.Seed*1000 + uint64(index*100+n), Slots: s.Slots, Queue: maxTargetQueue,
				MedianMS: float64(s.MedianServiceTime) / float64(time.Millisecond), Sigma: serviceTimeSigma, LoadLagMS: loadLagMS, MaxConns: s.MaxConnections,
			}
		}
		if err := f.startService(ctx, s.Name, specs); err != nil {
			return err
		}
	}
	return nil
}

// startService starts the process of one service and waits until it listens.
func (f *Fleet) startService(ctx context.Context, name string, specs []TargetSpec) error {
	data, err := json.Marshal(specs)
	if err != nil {
		return errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	file := filepath.Join(f.directory, "targets-"+name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	p, err := f.startSubcommand("targets-"+name, "targets", "--file", file)
	if err != nil {
		return err
	}
	return waitListening(ctx, specs[len(specs)-1].Admin, p)
}

// TargetAddresses returns the service addresses of the targets by target id.
func (f *Fleet) TargetAddresses() map[string]string {
	addresses := map[string]string{}
	for _, t := range f.Targets {
		addresses[t.ID] = t.Address
	}
	return addresses
}

// UnknownTargetError reports that the fleet has no target with the given id.
type UnknownTargetError struct{ ID string }

// Error names the id.
func (e *UnknownTargetError) Error() string { return fmt.Sprintf("there is no target %q", e.ID) }

// Target returns the target with the given id. Errors: *UnknownTargetError.
func (f *Fleet) Target(id string) (*Target, error) {
	for _, t := range f.Targets {
		if t.ID == id {
			return t, nil
		}
	}
	return nil, errors.WithStack(&UnknownTargetError{ID: id})
}

// RunTargets simulates the targets that a file lists until ctx ends.
func RunTargets(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.WithStack(&ProcessError{Name: file, Cause: err})
	}
	var specs []TargetSpec
	if err := json.Unmarshal(data, &specs); err != nil {
		return errors.WithStack(&ProcessError{Name: file, Cause: err})
	}
	for _, s := range specs {
		target := targetsim.New(targetsim.Options{
			Address: s.Address, AdminAddress: s.Admin, Seed: s.Seed, Slots: s.Slots, Queue: s.Queue, MaxConnections: s.MaxConns,
			MedianService: time.Duration(s.MedianMS * float64(time.Millisecond)), Sigma: s.Sigma,
			LoadLag: time.Duration(s.LoadLagMS) * time.Millisecond, ColdFor: time.Duration(s.ColdForMS) * time.Millisecond,
		})
		if err := target.Start(); err != nil {
			return err
		}
		defer func() { _ = target.Close() }()
	}
	<-ctx.Done()
	return nil
}
