// Package deployment describes the two deployments that experiments simulate:
// the print works of Olomouc and Skyline Ascent Tours.
package deployment

import (
	"fmt"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Service is a group of targets that serve the same routes.
type Service struct {
	Name string
	// Targets is the number of targets.
	Targets int
	// Slots and MaxConnections apply to each target.
	Slots          int
	MaxConnections int
	Profile        config.Profile
	FloorPercent   int
	// MedianServiceTime is the median service time of a request.
	MedianServiceTime time.Duration
}

// Route is one kind of request.
type Route struct {
	Name       string
	Path       string
	Method     string
	Service    string
	Idempotent bool
	// Weight is the fraction of the service's requests that use this route.
	Weight float64
}

// Deployment describes the size and the traffic of one customer's fleet.
type Deployment struct {
	Name     string
	Zones    []string
	Services []Service
	Routes   []Route
	// Teams lists the teams that send requests, with their part of the load.
	Teams []Team
	// Batches maps each batch to its share in the configuration.
	Batches map[string]float64
}

// Team is one tenant.
type Team struct {
	Name  string
	Batch string
	// LoadFraction is the team's fraction of the offered load, and of the sum of the
	// teams' rates.
	LoadFraction float64
}

// meanToMedianRatio is the ratio of mean to median service time for the log-normal
// sigma that the fleet gives its simulated targets.
const meanToMedianRatio = 1.08

// Olomouc returns the deployment of the print works.
func Olomouc() Deployment {
	return Deployment{
		Name:  "olomouc",
		Zones: []string{"a", "b", "c", "d"},
		Services: []Service{
			{"portal", 30, 2, 400, config.ProfileCareful, 70, 50 * time.Millisecond},
			{"payments", 8, 2, 400, config.ProfileCareful, 75, 50 * time.Millisecond},
		},
		Routes: []Route{
			{"preview", "/preview", "GET", "portal", true, 0.8},
			{"confirm", "/confirm", "POST", "portal", false, 0.2},
			{"deposit", "/deposit", "POST", "payments", false, 1},
		},
		Batches: map[string]float64{"city": 3, "schools": 2, "clubs": 1},
		Teams: []Team{
			{"clerks", "city", 0.30},
			{"festival", "city", 0.22},
			{"school-1", "schools", 0.16},
			{"school-2", "schools", 0.10},
			{"library", "city", 0.08},
			{"football", "clubs", 0.06},
			{"choir", "clubs", 0.05},
			{"museum", "city", 0.03},
		},
	}
}

// Skyline returns the deployment of Skyline Ascent Tours.
func Skyline() Deployment {
	return Deployment{
		Name:  "skyline",
		Zones: []string{"a", "b", "c"},
		Services: []Service{
			{"booking", 25, 4, 350, config.ProfileFast, 60, 50 * time.Millisecond},
			{"manifest", 6, 4, 350, config.ProfileFast, 60, 50 * time.Millisecond},
		},
		Routes: []Route{
			{"schedule", "/schedule", "GET", "booking", true, 0.8},
			{"hold", "/hold", "POST", "booking", false, 0.2},
			{"boarding", "/boarding", "POST", "manifest", false, 1},
		},
		Batches: map[string]float64{"app": 3, "partners": 2, "desk": 2},
		Teams: []Team{
			{"app", "app", 0.34},
			{"reseller-1", "partners", 0.20},
			{"reseller-2", "partners", 0.14},
			{"desk", "desk", 0.12},
			{"crew", "desk", 0.08},
			{"reseller-3", "partners", 0.06},
			{"press", "app", 0.04},
			{"charter", "partners", 0.02},
		},
	}
}

// UnknownDeploymentError reports that no deployment has the given name.
type UnknownDeploymentError struct{ Name string }

// Error names the known deployments.
func (e *UnknownDeploymentError) Error() string {
	return "deployment " + e.Name + " is unknown; known: olomouc, skyline"
}

// Find returns the deployment with the given name. Errors: *UnknownDeploymentError.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Olomouc(), Skyline()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &UnknownDeploymentError{Name: name}
}

// Capacity returns the number of requests per second that the service completes
// when all slots are busy.
func (s Service) Capacity() float64 {
	return float64(s.Targets*s.Slots) / (s.MedianServiceTime.Seconds() * meanToMedianRatio)
}

// Capacity returns the sum of the services' capacities in requests per second.
func (d Deployment) Capacity() float64 {
	total := 0.0
	for _, s := range d.Services {
		total += s.Capacity()
	}
	return total
}

// TargetID returns the id of the n-th target of a service, from 0.
func TargetID(service string, n int) string { return fmt.Sprintf("%s-%02d", service, n) }

// Limits of the simulated teams and routes. A team's burst is what its rate gives
// in burstSeconds, but at least minBurst; contractDuration is the remaining time
// of each batch.
const (
	requestTimeout   = 2 * time.Second
	maxAttempts      = 3
	contractDuration = 24 * time.Hour
	burstSeconds     = 0.5
	minBurst         = 10
)

// Config builds the configuration of the deployment. rate is the sum of the teams'
// rates in requests per second, and each team gets its LoadFraction of it. addresses maps
// target ids to listening addresses. keys maps each team to its generated key.
func (d Deployment) Config(rate float64, addresses map[string]string, now time.Time) (c *config.Config, keys map[string]string) {
	c, keys = config.Empty(), map[string]string{}
	for batch, share := range d.Batches {
		c.Batches[batch] = config.Batch{Share: share, Expires: now.Add(contractDuration).UTC().Truncate(time.Second)}
	}
	for _, t := range d.Teams {
		teamRate := rate * t.LoadFraction
		c.Teams[t.Name] = config.Team{Batch: t.Batch, RatePerSecond: teamRate, Burst: max(minBurst, int(teamRate*burstSeconds))}
		key, stored := config.GenerateKey(t.Name+"-1", t.Name)
		keys[t.Name], c.Keys[t.Name+"-1"] = key, stored
	}
	for _, s := range d.Services {
		c.Services[s.Name] = d.serviceConfig(s, addresses)
	}
	for _, r := range d.Routes {
		attempts := 1
		if r.Idempotent {
			attempts = maxAttempts
		}
		c.Routes[r.Name] = config.Route{
			PathPrefix: r.Path, Methods: []string{r.Method}, Service: r.Service, OpenToAll: true, Teams: []string{},
			Idempotent: r.Idempotent, TimeoutMS: int(requestTimeout.Milliseconds()), MaxAttempts: attempts,
		}
	}
	return c, keys
}

const probeIntervalMS = 1000

// serviceConfig builds the configuration of one service, with its targets spread
// evenly over the zones.
func (d Deployment) serviceConfig(s Service, addresses map[string]string) config.Service {
	targets := map[string]config.Target{}
	for n := range s.Targets {
		id := TargetID(s.Name, n)
		targets[id] = config.Target{
			Address: addresses[id], Zone: d.Zones[n%len(d.Zones)], Slots: s.Slots, MaxConnections: s.MaxConnections,
		}
	}
	return config.Service{
		FloorPercent: s.FloorPercent, Profile: s.Profile, HealthPath: "/health", ProbeIntervalMS: probeIntervalMS, Targets: targets,
	}
}
