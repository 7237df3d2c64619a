package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/allowance"
	"github.com/arbutuslink/arbutuslink/pkg/document"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
)

// Edge holds the settings of arbutus-edge, an instance that runs on a platform's
// store.
type Edge struct {
	// Instance is the name of the instance; it stays the same after a restart.
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	// CallerAddress and the next three are listening addresses, IP:port.
	// CallerAddress is advertised to callers, GossipAddress (UDP) to other
	// instances.
	CallerAddress    string `json:"caller_address"`
	ReadyAddress     string `json:"ready_address"`
	DirectoryAddress string `json:"directory_address"`
	GossipAddress    string `json:"gossip_address"`
	// MetricsAddress is the listening address for /metrics and /dump; if it is
	// empty, neither is served.
	MetricsAddress string `json:"metrics_address"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store_address"`
	// ProcessorShare is the fraction of each of the Cores that the process may use.
	ProcessorShare float64 `json:"processor_share"`
	Cores          int     `json:"cores"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory that the process may use, in MB (10^6 bytes); 0 takes what
	// the machine reports.
	MemoryMB int `json:"memory_mb"`
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool `json:"first_start"`
	// Grace is the time between the request to stop the process and its kill, as a
	// Go duration such as "6s".
	Grace string `json:"grace"`
	// RetryRatio, RetryWindow (a Go duration) and RetrySlack bound the retries of each service
	// over all instances: in any window, the ratio x requests + slack. While ratio and
	// slack are 0, each instance keeps to a budget of its own.
	RetryRatio  float64 `json:"retry_ratio"`
	RetryWindow string  `json:"retry_window"`
	RetrySlack  float64 `json:"retry_slack"`
	// DirectoryTTLMS is how long callers may use a response of the directory, in ms.
	DirectoryTTLMS int    `json:"directory_ttl_ms"`
	LogLevel       string `json:"log_level"`
	// HedgePercent limits hedges in percent of a service's requests; 0 means none. HedgeRoutes
	// has other limits by path prefix of a route or by name of a service.
	HedgePercent float64            `json:"hedge_percent"`
	HedgeRoutes  map[string]float64 `json:"hedge_routes"`
	// ClockOffsetMS is added to the wall clock, in ms, to test with wrong clocks.
	ClockOffsetMS int `json:"clock_offset_ms"`
	// TargetFaultFile is a file that, while it exists, makes connections to targets fail, to
	// test partitions: those that hold "hang" get no answer, others are refused.
	TargetFaultFile string `json:"target_fault_file"`
}

// DefaultEdge returns the values of settings that are missing in a file.
func DefaultEdge() *Edge {
	return &Edge{ProcessorShare: 1, Cores: 1, LinkMbps: 1000, Grace: "6s", RetryWindow: "10s", DirectoryTTLMS: 1000, LogLevel: "info"}
}

// LoadEdge reads and validates a settings file. The error is a *ReadError whose
// cause names every invalid value.
func LoadEdge(file string) (*Edge, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&ReadError{File: file, Cause: err})
	}
	e := DefaultEdge()
	if err := document.Decode(data, e); err != nil {
		return nil, errors.WithStack(&ReadError{File: file, Cause: err})
	}
	if err := e.Validate(); err != nil {
		return nil, errors.WithStack(&ReadError{File: file, Cause: err})
	}
	return e, nil
}

// Limits of settings.
const (
	minGrace          = time.Second
	maxDirectoryTTLMS = 60_000
	maxCores          = 1024
	minMemoryMB       = 64
	maxMemoryMB       = 1 << 20
	maxRetryRatio     = 10
	// minRetryWindow is the shortest window that allowance.Account can divide.
	minRetryWindow = allowance.MinWindow
	maxRetryWindow = 10 * time.Minute
	maxRetrySlack  = 1_000_000
)

// Validate checks every value. The error is an *document.InvalidError.
func (e *Edge) Validate() error {
	v := &validator{}
	v.Check(namePattern.MatchString(e.Instance), "$.instance", e.Instance, nameAllowed)
	v.Check(namePattern.MatchString(e.AvailabilityZone), "$.availability_zone", e.AvailabilityZone, nameAllowed)
	v.checkAdvertised("$.caller_address", e.CallerAddress)
	v.checkAddress("$.ready_address", e.ReadyAddress)
	v.checkAddress("$.directory_address", e.DirectoryAddress)
	v.checkAdvertised("$.gossip_address", e.GossipAddress)
	if e.MetricsAddress != "" {
		v.checkAddress("$.metrics_address", e.MetricsAddress)
	}
	v.checkAdvertised("$.store_address", e.StoreAddress)
	v.Check(e.ProcessorShare > 0 && e.ProcessorShare <= 1, "$.processor_share", e.ProcessorShare, "more than 0, at most 1")
	v.checkRange("$.cores", e.Cores, 1, maxCores)
	v.Check(e.LinkMbps > 0, "$.link_mbps", e.LinkMbps, "more than 0")
	v.Check(e.MemoryMB == 0 || (e.MemoryMB >= minMemoryMB && e.MemoryMB <= maxMemoryMB), "$.memory_mb", e.MemoryMB,
		fmt.Sprintf("0, or %d to %d", minMemoryMB, maxMemoryMB))
	grace, err := time.ParseDuration(e.Grace)
	v.Check(err == nil && grace >= minGrace, "$.grace", e.Grace, fmt.Sprintf("a duration of at least %s", minGrace))
	v.checkRetryRule(e)
	v.checkRange("$.directory_ttl_ms", e.DirectoryTTLMS, 100, maxDirectoryTTLMS)
	v.Check(slices.Contains(logLevels, e.LogLevel), "$.log_level", e.LogLevel, "debug, info, warn or error")
	v.checkPercent("$.hedge_percent", e.HedgePercent)
	for route, percent := range e.HedgeRoutes {
		v.Check(route != "", "$.hedge_routes", route, "path prefixes that start with /, and names of services")
		v.checkPercent("$.hedge_routes."+route, percent)
	}
	return v.Err()
}

func (v *validator) checkPercent(path string, percent float64) {
	v.Check(percent >= 0 && percent <= hedge.MaxPercent, path, percent, fmt.Sprintf("0 to %d", hedge.MaxPercent))
}

// HedgeLimits returns the operators' limits on hedges.
func (e *Edge) HedgeLimits() *hedge.Limits {
	return &hedge.Limits{Percent: e.HedgePercent, Routes: e.HedgeRoutes}
}

// GracePeriod is Grace as a duration. It panics unless the settings are valid.
func (e *Edge) GracePeriod() time.Duration {
	grace, err := time.ParseDuration(e.Grace)
	if err != nil {
		panic(err)
	}
	return grace
}

// checkRetryRule checks the bound on retries.
func (v *validator) checkRetryRule(e *Edge) {
	v.Check(e.RetryRatio >= 0 && e.RetryRatio <= maxRetryRatio, "$.retry_ratio", e.RetryRatio, fmt.Sprintf("0 to %d", maxRetryRatio))
	window, err := time.ParseDuration(e.RetryWindow)
	v.Check(err == nil && window >= minRetryWindow && window <= maxRetryWindow, "$.retry_window", e.RetryWindow,
		fmt.Sprintf("a duration of %s to %s", minRetryWindow, maxRetryWindow))
	v.Check(e.RetrySlack >= 0 && e.RetrySlack <= maxRetrySlack, "$.retry_slack", e.RetrySlack, fmt.Sprintf("0 to %d", maxRetrySlack))
}

// RetryRule is a bound on the retries of each service.
type RetryRule struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// RetryRule returns the bound on retries, and false if none is set. It panics unless the
// settings are valid.
func (e *Edge) RetryRule() (RetryRule, bool) {
	if e.RetryRatio == 0 && e.RetrySlack == 0 {
		return RetryRule{}, false
	}
	window, err := time.ParseDuration(e.RetryWindow)
	if err != nil {
		panic(err)
	}
	return RetryRule{e.RetryRatio, window, e.RetrySlack}, true
}

// ClockOffset is ClockOffsetMS as a duration.
func (e *Edge) ClockOffset() time.Duration { return milliseconds(e.ClockOffsetMS) }

// DirectoryTTL is DirectoryTTLMS as a duration.
func (e *Edge) DirectoryTTL() time.Duration { return milliseconds(e.DirectoryTTLMS) }

const (
	// bodyBudgetDivisor times the budget for bodies is the memory of the process: the
	// garbage collector may hold as much again, and a process at rest takes 20 MB.
	bodyBudgetDivisor = 6
	// softLimitPercent is the part of the memory from which the garbage collector works
	// as hard as it can.
	softLimitPercent = 40
)

// Memory returns the memory in bytes that the process may use, given the machine's.
func (e *Edge) Memory(machine int64) int64 {
	if e.MemoryMB > 0 {
		return int64(e.MemoryMB) * 1e6
	}
	return machine
}

// BodyBudget returns the bytes that bodies of requests and responses may take of the
// memory.
func BodyBudget(memory int64) int64 { return memory / bodyBudgetDivisor }

// SoftMemoryLimit returns the limit in bytes for the garbage collector.
func SoftMemoryLimit(memory int64) int64 { return memory / 100 * softLimitPercent }

const (
	// requestProcessorTime is the planned processor time of an instance for one
	// request, including its fraction of the heartbeats. On the enlarged
	// deployments all instances together, standbys included, used 70 s for 29,000
	// requests.
	requestProcessorTime = 1500 * time.Microsecond
	// requestBytes is the mean size of a request and its response with headers.
	requestBytes = 10_000
	// plannedUtilization is the fraction of processor and link that is planned to
	// be used, so that bursts of twice the traffic fit.
	plannedUtilization = 0.5
)

// Capacity is the number of requests per second that the instance should handle
// by its processor and its network link, at least 1.
func (e *Edge) Capacity() uint32 {
	byProcessor := e.ProcessorShare * float64(e.Cores) / requestProcessorTime.Seconds()
	byLink := e.LinkMbps * 1e6 / 8 / requestBytes
	return uint32(max(1, plannedUtilization*min(byProcessor, byLink)))
}
