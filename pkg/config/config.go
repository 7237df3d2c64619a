// Package config models the dynamic configuration: batches, teams, keys,
// services with their targets, and routes. Values must not be changed once they
// have been published.
package config

import (
	"slices"
	"time"
)

// Config is the document of one configuration version. Each section maps ids to
// entries.
type Config struct {
	Batches  map[string]Batch   `json:"batches"`
	Teams    map[string]Team    `json:"teams"`
	Keys     map[string]Key     `json:"keys"`
	Services map[string]Service `json:"services"`
	Routes   map[string]Route   `json:"routes"`
	// EvacuatedZones are the availability zones whose targets get no requests, by name. The
	// section is absent while there are none, so that earlier releases read the document.
	EvacuatedZones map[string]Evacuation `json:"evacuated_zones,omitempty"`
}

// Batch is a group of teams under one support contract.
type Batch struct {
	// Share is the batch's weight in the division of slots when targets are the
	// bottleneck.
	Share float64 `json:"share"`
	// Expires is the end of the contract; no request is admitted from then on.
	Expires time.Time `json:"expires"`
}

// Team is one tenant.
type Team struct {
	// Batch is the id of the team's batch.
	Batch string `json:"batch"`
	// RatePerSecond and Burst limit the admissions of all instances together to
	// RatePerSecond*T + Burst requests in any T seconds.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	// Unlimited disables the rate limit; RatePerSecond and Burst then have no effect.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority overrides the priority of the route unless it is nil.
	Priority *int `json:"priority,omitempty"`
}

// Key is the stored form of a caller's API key.
type Key struct {
	Team string `json:"team"`
	// SHA256 is the digest of the whole key in lower-case hex.
	SHA256 string `json:"sha256"`
}

// Profile selects the trade-off that health evaluation makes between fast
// detection of failing targets and few false ejections.
type Profile string

// Profiles of a service.
const (
	// ProfileCareful prefers few false ejections.
	ProfileCareful Profile = "careful"
	// ProfileFast prefers fast detection.
	ProfileFast Profile = "fast"
)

// Service is a group of equivalent targets.
type Service struct {
	// FloorPercent is the percentage of the service's slots that must stay in
	// use when targets are ejected.
	FloorPercent    int               `json:"floor_percent"`
	Profile         Profile           `json:"profile"`
	HealthPath      string            `json:"health_path"`
	ProbeIntervalMS int               `json:"probe_interval_ms"`
	Targets         map[string]Target `json:"targets"`
	// WarmupMS is the time in ms for which a target is cold after its start, and
	// WarmupPerSecond the requests per second that a cold one may get from all instances
	// together. With a WarmupPerSecond of 0, cold targets are not limited.
	WarmupMS        int     `json:"warmup_ms,omitempty"`
	WarmupPerSecond float64 `json:"warmup_per_second,omitempty"`
}

// ColdRate returns the time for which a target of the service is cold after its start, and
// the requests per second that it may get then; 0 if these are not limited.
func (s Service) ColdRate() (warmup time.Duration, perSecond float64) {
	return time.Duration(s.WarmupMS) * time.Millisecond, s.WarmupPerSecond
}

// Target is one upstream server process that runs requests.
type Target struct {
	// Address is IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests the target runs at once.
	Slots          int `json:"slots"`
	MaxConnections int `json:"max_connections"`
	// Leaving keeps new requests away from the target.
	Leaving bool `json:"leaving"`
	// Evacuated says that the target's zone is evacuated. NewSnapshot sets it; documents do
	// not contain it.
	Evacuated bool `json:"-"`
}

// OutOfUse reports whether the target gets no requests, as an operator has ordered.
func (t Target) OutOfUse() bool { return t.Leaving || t.Evacuated }

// WeightedService is one of the services among which a route divides its requests. The
// service gets the fraction of them that Weight is of the sum of all weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps requests to a service, or to several services by weight.
type Route struct {
	// Host restricts the route to requests for this host; empty means all hosts.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	// Methods restricts the route; empty means all methods.
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	// Split divides the requests among several services; if set, it replaces Service.
	Split []WeightedService `json:"split,omitempty"`
	// Public admits requests without a key.
	Public bool `json:"public,omitempty"`
	// Priority ranks requests when targets are full; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMS is the latency in ms up to which a response has its full value; 0 means none.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// OpenToAll admits every team with a valid key; if false, only Teams are admitted.
	OpenToAll bool     `json:"open_to_all"`
	Teams     []string `json:"teams"`
	// Idempotent permits retries and hedging, whatever the HTTP method is.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS is the time from admission to the end of the response in ms.
	TimeoutMS int `json:"timeout_ms"`
	// MaxAttempts is the maximum number of connections that an idempotent
	// request is written to.
	MaxAttempts int `json:"max_attempts"`
	// HedgePercent limits hedges, in percent of the route's requests; 0 means none.
	HedgePercent float64 `json:"hedge_percent,omitempty"`
	// MaxRedirects is the maximum number of further targets for a non-idempotent
	// request, which is sent to another target only after the previous one proved
	// that it did not run the request.
	MaxRedirects int `json:"max_redirects,omitempty"`
	// Deduplicate records the Idempotency-Key of each request in the platform's
	// table, so that a repeated key is detected.
	Deduplicate bool `json:"deduplicate"`
}

// Timeout is the maximum time from the admission of a request to the end of its response.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Objective is the latency up to which a response has its full value, or the
// timeout if ObjectiveMS is not set.
func (r Route) Objective() time.Duration {
	if r.ObjectiveMS == 0 {
		return r.Timeout()
	}
	return time.Duration(r.ObjectiveMS) * time.Millisecond
}

// UsesService reports whether requests of the route may be sent to the service.
func (r Route) UsesService(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// ChooseService selects the service for one request by the weights of Split. draw is a
// random number, uniform in [0, 1).
func (r Route) ChooseService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// ProbeInterval is the time between two health probes of one target.
func (s Service) ProbeInterval() time.Duration {
	return time.Duration(s.ProbeIntervalMS) * time.Millisecond
}

// Empty returns the configuration of version 0, in which every section is empty.
func Empty() *Config {
	return &Config{
		Batches: map[string]Batch{}, Teams: map[string]Team{}, Keys: map[string]Key{},
		Services: map[string]Service{}, Routes: map[string]Route{},
	}
}
