// Package config is the model of the dynamic configuration: batches, teams,
// keys, services with their targets, and routes. Values are immutable once
// they have been published.
package config

import (
	"slices"
	"time"
)

// Config is one version's document.
type Config struct {
	Batches  map[string]Batch   `json:"batches"`
	Teams    map[string]Team    `json:"teams"`
	Keys     map[string]Key     `json:"keys"`
	Services map[string]Service `json:"services"`
	Routes   map[string]Route   `json:"routes"`
}

// Batch is a group of teams under one support contract.
type Batch struct {
	// Share is the batch's weight when targets are the bottleneck.
	Share float64 `json:"share"`
	// Expires ends the contract; nothing is admitted from this time on.
	Expires time.Time `json:"expires"`
}

// Team is one tenant.
type Team struct {
	Batch string `json:"batch"`
	// RatePerSecond and Burst bound admissions over all instances: at most
	// RatePerSecond*T + Burst requests in any T seconds.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	// Unlimited lifts the limit; RatePerSecond and Burst then have no meaning.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority takes precedence over that of the route; nil leaves the route's.
	Priority *int `json:"priority,omitempty"`
}

// Key is the stored form of a caller's key.
type Key struct {
	Team string `json:"team"`
	// SHA256 is the digest of the whole key in lower-case hex.
	SHA256 string `json:"sha256"`
}

// Profile selects the trade between fast detection and few false ejections.
type Profile string

// Profiles of a service.
const (
	Careful Profile = "careful"
	Fast    Profile = "fast"
)

// Service is a group of equivalent targets.
type Service struct {
	// FloorPercent is the share of the service's slots that ejection must leave in use.
	FloorPercent    int               `json:"floor_percent"`
	Profile         Profile           `json:"profile"`
	HealthPath      string            `json:"health_path"`
	ProbeIntervalMS int               `json:"probe_interval_ms"`
	Targets         map[string]Target `json:"targets"`
}

// Target is one process that runs requests.
type Target struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests the target runs at once.
	Slots          int `json:"slots"`
	MaxConnections int `json:"max_connections"`
	// Leaving stops new work.
	Leaving bool `json:"leaving"`
}

// Share is one service of a route and its part of the requests.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps requests to a service.
type Route struct {
	// Host restricts the route to requests for this host; empty means all hosts.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	// Methods restricts the route; empty means all methods.
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	// Split divides the requests among services in place of Service.
	Split []Share `json:"split,omitempty"`
	// Public admits requests without a key.
	Public bool `json:"public,omitempty"`
	// Priority ranks requests when targets are full; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMS is the latency in ms within which a response has its full value; 0 means none.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// OpenToAll admits every team with a valid key; otherwise only Teams.
	OpenToAll bool     `json:"open_to_all"`
	Teams     []string `json:"teams"`
	// Idempotent permits retries and hedging. The method plays no part.
	Idempotent bool `json:"idempotent"`
	TimeoutMS  int  `json:"timeout_ms"`
	// MaxAttempts bounds the connections an idempotent request is written to.
	MaxAttempts int `json:"max_attempts"`
	// MaxRedirects bounds the further targets of a non-idempotent request after
	// targets that proved that they did not run it.
	MaxRedirects int `json:"max_redirects,omitempty"`
	// Deduplicate records the Idempotency-Key of a request in the platform's table.
	Deduplicate bool `json:"deduplicate"`
}

// Timeout is the time a request may take from admission to the end of its answer.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Objective is the latency within which a response has its full value, or the
// timeout when none is set.
func (r Route) Objective() time.Duration {
	if r.ObjectiveMS == 0 {
		return r.Timeout()
	}
	return time.Duration(r.ObjectiveMS) * time.Millisecond
}

// Serves tells whether requests of the route may go to the service.
func (r Route) Serves(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Choose returns the service of one request. draw is uniform in [0, 1).
func (r Route) Choose(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// ProbeInterval is the time between two probes of one target.
func (s Service) ProbeInterval() time.Duration {
	return time.Duration(s.ProbeIntervalMS) * time.Millisecond
}

// Empty returns the configuration of version 0.
func Empty() *Config {
	return &Config{
		Batches: map[string]Batch{}, Teams: map[string]Team{}, Keys: map[string]Key{},
		Services: map[string]Service{}, Routes: map[string]Route{},
	}
}
