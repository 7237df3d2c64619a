// Package config is the model of the dynamic configuration: batches, teams,
// keys, services with their targets, and routes. Values are immutable once
// they have been published.
package config

import "time"

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

// Route maps requests to a service.
type Route struct {
	PathPrefix string `json:"path_prefix"`
	// Methods restricts the route; empty means all methods.
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	// OpenToAll admits every team with a valid key; otherwise only Teams.
	OpenToAll bool     `json:"open_to_all"`
	Teams     []string `json:"teams"`
	// Idempotent permits retries and hedging. The method plays no part.
	Idempotent bool `json:"idempotent"`
	TimeoutMS  int  `json:"timeout_ms"`
	// MaxAttempts bounds the connections an idempotent request is written to.
	MaxAttempts int `json:"max_attempts"`
	// Deduplicate records the Idempotency-Key of a request in the platform's table.
	Deduplicate bool `json:"deduplicate"`
}

// Timeout is the time a request may take from admission to the end of its answer.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

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
