package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

const (
	// storeTimeout bounds the reads of the store for one command.
	storeTimeout = 10 * time.Second
	// dumpTimeout bounds the request for one dump.
	dumpTimeout = 2 * time.Second
	// maxConcurrentDumps bounds the dumps that are requested at the same time.
	maxConcurrentDumps = 16
)

// Store gives read access to a platform's store that holds the configuration, the
// targets and the roster of instances.
type Store interface {
	follow.Source
	discovery.Source
	Members(ctx context.Context) ([]fleet.Member, error)
}

// OpenStore returns the store at an address (IP:port).
type OpenStore func(address string) Store

// StoreError reports that the store could not be read.
type StoreError struct {
	Address string
	Cause   error
}

// Error names the store and the cause.
func (e *StoreError) Error() string { return "store at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// storeStatus is the output of status with --store: the state of a fleet as
// recorded in the platform's store.
type storeStatus struct {
	ConfigVersion int64 `json:"config_version"`
	// Rejected is the reason why the newest document cannot be used.
	Rejected string `json:"rejected,omitempty"`
	// EvacuatedZones are the zones whose targets get no requests.
	EvacuatedZones  []string                 `json:"evacuated_zones,omitempty"`
	Teams           int                      `json:"teams"`
	Routes          int                      `json:"routes"`
	InstancesByZone map[string]int           `json:"instances_by_zone"`
	Services        map[string]serviceCounts `json:"services"`
}

// serviceCounts counts the targets of a service, and their slots.
type serviceCounts struct {
	Ready    int `json:"ready"`
	Draining int `json:"draining"`
	// Slots is the sum of the ready targets' slots.
	Slots int `json:"slots"`
}

// storeDocument is the output of config with --store. It holds digests of the
// callers' keys, not the keys.
type storeDocument struct {
	Version int64          `json:"version"`
	Config  *config.Config `json:"config"`
}

// withStore calls read with the store at the address given by --store. Errors
// other than *RefusedError become a *StoreError.
func (a *app) withStore(read func(ctx context.Context, s Store) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := read(ctx, a.openStore(a.opts.Store)); err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			return err
		}
		return errors.WithStack(&StoreError{Address: a.opts.Store, Cause: err})
	}
	return nil
}

func (a *app) storeStatus() error {
	return a.withStore(func(ctx context.Context, s Store) error {
		update, err := s.Await(ctx, follow.Cursor{})
		if err != nil {
			return err
		}
		members, err := s.Members(ctx)
		if err != nil {
			return err
		}
		listed, err := s.Targets(ctx)
		if err != nil {
			return err
		}
		status := storeStatus{ConfigVersion: update.Version, InstancesByZone: map[string]int{}, Services: map[string]serviceCounts{}}
		status.EvacuatedZones = update.Evacuations.Evacuated
		if update.Rejected != nil {
			status.Rejected = update.Rejected.Error()
		}
		if update.Config != nil {
			status.Teams, status.Routes = len(update.Config.Teams), len(update.Config.Routes)
		}
		for _, m := range members {
			status.InstancesByZone[m.Zone]++
		}
		for _, t := range listed.Targets {
			counts := status.Services[t.Service]
			if t.Draining {
				counts.Draining++
			} else {
				counts.Ready++
				counts.Slots += t.Slots
			}
			status.Services[t.Service] = counts
		}
		return a.print(status, func(w io.Writer) { printStoreStatus(w, status) })
	})
}

func printStoreStatus(w io.Writer, s storeStatus) {
	_, _ = fmt.Fprintf(w, "config  version %d, %d teams, %d routes\n", s.ConfigVersion, s.Teams, s.Routes)
	if s.Rejected != "" {
		_, _ = fmt.Fprintf(w, "rejected  %s\n", s.Rejected)
	}
	_, _ = fmt.Fprintf(w, "evacuated  %s\n", zoneList(s.EvacuatedZones))
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ZONE\tINSTANCES")
	for _, zone := range slices.Sorted(maps.Keys(s.InstancesByZone)) {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", zone, s.InstancesByZone[zone])
	}
	_, _ = fmt.Fprintln(table, "SERVICE\tREADY\tDRAINING\tSLOTS")
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		counts := s.Services[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", name, counts.Ready, counts.Draining, counts.Slots)
	}
	_ = table.Flush()
}

func (a *app) storeConfig() error {
	return a.withStore(func(ctx context.Context, s Store) error {
		update, err := s.Await(ctx, follow.Cursor{})
		if err == nil {
			err = update.Rejected
		}
		if err != nil {
			return err
		}
		return a.print(storeDocument{update.Version, update.Config}, nil)
	})
}

func (a *app) storeMembers() error {
	return a.withStore(func(ctx context.Context, s Store) error {
		members, err := s.Members(ctx)
		if err != nil {
			return err
		}
		return a.print(members, func(w io.Writer) {
			table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			_, _ = fmt.Fprintln(table, "INSTANCE\tINCARNATION\tZONE\tCALLERS\tDIAGNOSTICS\tREQUESTS/S")
			for _, m := range members {
				_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%d\n", m.Instance, m.Incarnation, m.Zone, m.CallerAddress, m.DiagnosticsAddress, m.Capacity)
			}
			_ = table.Flush()
		})
	})
}

// storeDump prints the dumps of all instances, and their configuration versions and
// evacuated zones if these differ.
func (a *app) storeDump() error {
	return a.withStore(func(ctx context.Context, s Store) error {
		members, err := s.Members(ctx)
		if err != nil {
			return err
		}
		dumps := fleetDump{Instances: map[string]json.RawMessage{}, Unreachable: map[string]string{}}
		versions := map[string][]string{}
		evacuations := map[string][]string{}
		var mu sync.Mutex
		group, _ := errgroup.WithContext(ctx)
		group.SetLimit(maxConcurrentDumps)
		for _, m := range members {
			group.Go(func() error {
				dump, state, err := fetchDump(m.DiagnosticsAddress)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					dumps.Unreachable[m.Instance] = err.Error()
					return nil
				}
				dumps.Instances[m.Instance] = dump
				version := fmt.Sprintf("config version %d", state.ConfigVersion)
				versions[version] = append(versions[version], m.Instance)
				evacuations[state.evacuated()] = append(evacuations[state.evacuated()], m.Instance)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		if len(dumps.Instances) == 0 {
			return &RefusedError{Failure: api.Failure{Message: "no instance answered"}}
		}
		dumps.Differences = append(differingGroups(versions), differingGroups(evacuations)...)
		return a.print(dumps, nil)
	})
}

// differingGroups describes the values that instances report, if there are several. The
// instances are grouped by value.
func differingGroups(groups map[string][]string) []string {
	if len(groups) < 2 {
		return nil
	}
	var differences []string
	for _, value := range slices.Sorted(maps.Keys(groups)) {
		slices.Sort(groups[value])
		differences = append(differences, fmt.Sprintf("%s only at %v", value, groups[value]))
	}
	return differences
}

// comparedState is what storeDump compares of a dump.
type comparedState struct {
	ConfigVersion int64 `json:"config_version"`
	// Evacuations is absent at an instance that does not know the evacuated zones.
	Evacuations *struct {
		Zones []string `json:"zones"`
	} `json:"evacuations"`
}

// evacuated describes the evacuated zones.
func (s *comparedState) evacuated() string {
	if s.Evacuations == nil {
		return "evacuated zones unknown"
	}
	return "evacuated " + zoneList(s.Evacuations.Zones)
}

// dumpClient requests dumps.
var dumpClient = fasthttp.Client{Transport: http1.Transport{}}

// fetchDump returns the dump at a diagnostics address and what storeDump compares of it.
func fetchDump(address string) (json.RawMessage, *comparedState, error) {
	if address == "" {
		return nil, nil, errors.WithStack(&UsageError{Reason: "the instance serves no dump"})
	}
	status, body, err := dumpClient.GetTimeout(nil, "http://"+address+"/dump", dumpTimeout)
	if err != nil {
		return nil, nil, errors.WithStack(&CallError{Server: address, Cause: err})
	}
	dump := &comparedState{}
	if status != fasthttp.StatusOK {
		return nil, nil, errors.WithStack(&RefusedError{Status: status})
	}
	if err := json.Unmarshal(body, dump); err != nil {
		return nil, nil, errors.WithStack(&CallError{Server: address, Cause: err})
	}
	return body, dump, nil
}
