package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/entry"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

const profileTime = 15 * time.Second

// measureProfile runs the last fleet size of the options inside this process, so
// that one CPU profile shows what idle instances do. The platform and the targets
// run as separate processes.
func measureProfile(ctx context.Context, o *Options) ([]*Table, error) {
	count := o.Instances[len(o.Instances)-1]
	f, err := fleet.New(fleet.Options{Deployment: deployment.Olomouc(), Seed: 1})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(ctx)
	group, groupCtx := errgroup.WithContext(runCtx)
	for n := range count {
		instance := entry.New(localSettings(f, n), zerolog.Nop())
		group.Go(func() error { return instance.Run(groupCtx) })
	}
	table, err := profileIdle(ctx, o, f, count)
	stop()
	return []*Table{table}, errors.CombineErrors(err, group.Wait())
}

// profileIdle waits until all instances are members, then measures their CPU time
// and writes the profile.
func profileIdle(ctx context.Context, o *Options, f *fleet.Fleet, count int) (*Table, error) {
	operator := experiment.Operator{Address: localSettings(f, 0).OperatorAddress}
	for range 600 {
		s, err := operator.Status()
		if err == nil && s.Members == count && s.Fresh {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	c, _ := deployment.Olomouc().Config(1000, f.TargetAddresses(), time.Now())
	if _, err := operator.Patch(0, c); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if o.Profile != "" {
		file, err := os.Create(o.Profile)
		if err != nil {
			return nil, errors.WithStack(&FileError{File: o.Profile, Cause: err})
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return nil, errors.WithStack(&FileError{File: o.Profile, Cause: err})
		}
		defer pprof.StopCPUProfile()
	}
	began, before := time.Now(), ownCPUTime()
	select {
	case <-time.After(profileTime):
	case <-ctx.Done():
	}
	percent := (ownCPUTime() - before).Seconds() / time.Since(began).Seconds() * 100 / float64(count)
	t := &Table{Title: "idle instances inside one process", Columns: []string{"instances", "processor %"}}
	t.add(float64(count), percent)
	return t, nil
}

// Addresses and credentials of the instances inside this process. Their addresses
// are 127.localNetwork.x.y.
const (
	localNetwork      = 9
	localCallerPort   = 7101
	localOperatorPort = 7102
	localPeerPort     = 7103
	localZoneCount    = 4
	localCredentials  = "lab"
)

// localSettings returns the settings of the n-th instance inside this process,
// from 0.
func localSettings(f *fleet.Fleet, n int) *settings.Entry {
	digest := sha256.Sum256([]byte(fleet.OperatorToken))
	address := func(port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", localNetwork, os.Getpid()%200, n+1, port) }
	s := settings.DefaultEntry()
	s.Instance, s.AvailabilityZone = fmt.Sprintf("entry-%02d", n+1), zoneID(n%localZoneCount)
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = address(localCallerPort), address(localOperatorPort), address(localPeerPort)
	s.OperatorTokens = map[string]string{"lab": hex.EncodeToString(digest[:])}
	s.Platform.TableEndpoint, s.Platform.ObjectEndpoint = f.PlatformURL(), f.PlatformURL()
	s.Platform.ListURL = f.PlatformURL() + "/instances"
	s.Platform.AccessKeyID, s.Platform.SecretAccessKey = localCredentials, localCredentials
	s.Timings.DirectoryLifetimeMS, s.Timings.ShutdownTimeoutMS = 1, 1000
	return s
}
