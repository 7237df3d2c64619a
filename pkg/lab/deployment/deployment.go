// Package deployment describes the two deployments that experiments simulate:
// the print works of Olomouc and Skyline Ascent Tours.
package deployment

import (
	"fmt"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Service is one group of targets of a deployment.
type Service struct {
	Name           string
	Targets        int
	Slots          int
	MaxConnections int
	Profile        config.Profile
	FloorPercent   int
	// Median service time of a request.
	Median time.Duration
}

// Route is one kind of request.
type Route struct {
	Name       string
	Path       string
	Method     string
	Service    string
	Idempotent bool
	// Weight is the share of the requests to the service.
	Weight float64
}

// Deployment is the size and the traffic of one user.
type Deployment struct {
	Name     string
	Zones    []string
	Services []Service
	Routes   []Route
	// Teams maps each team to its share of the offered load.
	Teams   []Team
	Batches map[string]float64
}

// Team is one tenant.
type Team struct {
	Name  string
	Batch string
	Share float64
}

// Mean service time over the median for the log-normal sigma of the simulator.
const meanOverMedian = 1.08

// Olomouc is the print works.
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

// Skyline is Skyline Ascent Tours.
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

// UnknownError says that there is no deployment of a name.
type UnknownError struct{ Name string }

// Error names the known deployments.
func (e *UnknownError) Error() string {
	return "deployment " + e.Name + " is unknown; known: olomouc, skyline"
}

// Find returns the deployment of a name. Errors: *UnknownError.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Olomouc(), Skyline()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &UnknownError{Name: name}
}

// Capacity is the number of requests per second that a service can run when
// all slots are busy.
func (s Service) Capacity() float64 {
	return float64(s.Targets*s.Slots) / (s.Median.Seconds() * meanOverMedian)
}

// Capacity is the capacity of all services together.
func (d Deployment) Capacity() float64 {
	total := 0.0
	for _, s := range d.Services {
		total += s.Capacity()
	}
	return total
}

// TargetID names the n-th target of a service, from 0.
func TargetID(service string, n int) string { return fmt.Sprintf("%s-%02d", service, n) }

// Limits chosen for simulated teams.
const (
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
	contract       = 24 * time.Hour
	burstSeconds   = 0.5
	minBurst       = 10
)

// Config builds the configuration. Each team's rate is its share of rate, the
// requests per second of all teams together. addresses maps target ids to
// listening addresses. keys receives the generated key of each team.
func (d Deployment) Config(rate float64, addresses map[string]string, now time.Time) (c *config.Config, keys map[string]string) {
	c, keys = config.Empty(), map[string]string{}
	for batch, share := range d.Batches {
		c.Batches[batch] = config.Batch{Share: share, Expires: now.Add(contract).UTC().Truncate(time.Second)}
	}
	for _, t := range d.Teams {
		teamRate := rate * t.Share
		c.Teams[t.Name] = config.Team{Batch: t.Batch, RatePerSecond: teamRate, Burst: max(minBurst, int(teamRate*burstSeconds))}
		key, stored := config.GenerateKey(t.Name+"-1", t.Name)
		keys[t.Name], c.Keys[t.Name+"-1"] = key, stored
	}
	for _, s := range d.Services {
		c.Services[s.Name] = d.service(s, addresses)
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

func (d Deployment) service(s Service, addresses map[string]string) config.Service {
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
