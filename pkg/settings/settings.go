// Package settings holds the static settings of one process. They are read from
// a file and used from the start on; only the log level and the limits on hedges of
// arbutus-edge can be reloaded. The configuration that changes at run time is in package config.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// Entry holds the settings of arbutus-entry.
type Entry struct {
	// Instance is the name of the instance; it stays the same after a restart.
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	// CallerAddress and the next two are listening addresses, IP:port.
	// CallerAddress is advertised to callers, PeerAddress to other instances.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// AdvertisePeerAddress is advertised to other instances in place of
	// PeerAddress, for example behind address translation; empty means PeerAddress.
	AdvertisePeerAddress string `json:"advertise_peer_address"`
	// PeerSourceIP is the local IP address of connections to other instances;
	// empty lets the operating system choose.
	PeerSourceIP string `json:"peer_source_ip"`
	// SeedPeers are peer addresses of other instances, which the instance asks
	// when the platform is unavailable at the start.
	SeedPeers []string `json:"seed_peers"`
	// OperatorTokens maps operator names to SHA-256 digests of their tokens in hex.
	OperatorTokens map[string]string `json:"operator_tokens_sha256"`
	CallerTLS      *TLS              `json:"caller_tls"`
	OperatorTLS    *TLS              `json:"operator_tls"`
	Platform       Platform          `json:"platform"`
	Timings        Timings           `json:"timings"`
	Limits         Limits            `json:"limits"`
	// BalancePolicy is one of the Policy constants.
	BalancePolicy string `json:"balance_policy"`
	LogLevel      string `json:"log_level"`
	// TargetFaultFile is a file that, while it exists, makes connections to targets fail, to
	// test partitions: those that hold "hang" get no answer, others are refused.
	TargetFaultFile string `json:"target_fault_file"`
}

// Load-balancing policies.
const (
	// PolicyBaseline is round robin; each instance ejects targets on its own.
	PolicyBaseline = "baseline"
	// PolicyShared chooses the less loaded of two targets, by the observations
	// that the instances share.
	PolicyShared = "shared"
	// PolicyReserve reserves slots at a dispatcher for non-idempotent requests.
	PolicyReserve = "reserve"
	// PolicyReserveAll reserves slots for all requests.
	PolicyReserveAll = "reserve_all"
)

// TLS names the certificate files of a listener, which are reloaded when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	TableEndpoint   string `json:"table_endpoint"`
	TableName       string `json:"table_name"`
	ObjectEndpoint  string `json:"object_endpoint"`
	Bucket          string `json:"bucket"`
	ListURL         string `json:"list_url"`
	Region          string `json:"region"`
	AccessKeyID     string `json:"access_key_id"`
	SecretAccessKey string `json:"secret_access_key"`
	// TimeoutMS is the timeout of one call in ms.
	TimeoutMS int `json:"timeout_ms"`
}

// Timings are the time limits of an instance in milliseconds.
type Timings struct {
	// FenceMS is the maximum age of a round trip with a witness that counts for
	// the fence; see package fence.
	FenceMS int `json:"fence_ms"`
	// RemoveAfterMS is the time without a heartbeat of a member after which a
	// witness reports it as unresponsive. A member that a majority of witnesses
	// reports is removed.
	RemoveAfterMS int `json:"remove_after_ms"`
	// DirectoryLifetimeMS is how long callers may use a response of the directory.
	DirectoryLifetimeMS int `json:"directory_lifetime_ms"`
	// ShutdownTimeoutMS is the time from the start of a graceful shutdown until
	// it no longer waits for open requests.
	ShutdownTimeoutMS int `json:"shutdown_timeout_ms"`
	// BatchClockErrorMS is the maximum assumed error of the wall clock. The expiry
	// of a batch takes effect this much earlier.
	BatchClockErrorMS int `json:"batch_clock_error_ms"`
}

// Limits are the size limits of requests, connections and fleet roles.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes limit each request of a caller.
	MaxBodyBytes   int `json:"max_body_bytes"`
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxConnections limits the open connections of callers.
	MaxConnections int `json:"max_connections"`
	// MaxWitnesses is the maximum number of witnesses of a membership.
	MaxWitnesses int `json:"max_witnesses"`
	// IssuersPerTeam is the maximum number of instances that issue tokens of a team.
	IssuersPerTeam int `json:"issuers_per_team"`
}

// DefaultEntry returns the values of settings of arbutus-entry that are missing in a file.
func DefaultEntry() *Entry {
	return &Entry{
		SeedPeers:      []string{},
		OperatorTokens: map[string]string{},
		Platform:       Platform{TableName: "arbutuslink", Bucket: "arbutuslink", Region: "local", TimeoutMS: 2000},
		Timings: Timings{
			FenceMS: 2000, RemoveAfterMS: 3000, DirectoryLifetimeMS: 5000,
			ShutdownTimeoutMS: 30_000, BatchClockErrorMS: 500,
		},
		Limits: Limits{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 10_000,
			MaxWitnesses: 15, IssuersPerTeam: 16,
		},
		BalancePolicy: PolicyReserve,
		LogLevel:      "info",
	}
}

// ReadError says that a settings file could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error includes the file and the cause.
func (e *ReadError) Error() string { return "settings file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// LoadEntry reads and validates a settings file. The error is a *ReadError whose
// cause names every invalid value.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(&ReadError{File: file, Cause: err})
	}
	e, err := ParseEntry(data)
	if err != nil {
		return nil, errors.WithStack(&ReadError{File: file, Cause: err})
	}
	return e, nil
}

// ParseEntry decodes settings, uses the defaults for missing ones and validates
// the result. Errors: *document.SyntaxError, *document.InvalidError.
func ParseEntry(data []byte) (*Entry, error) {
	e := DefaultEntry()
	if err := document.Decode(data, e); err != nil {
		return nil, err
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}

// AdvertisedPeer is the peer address that other instances connect to.
func (e *Entry) AdvertisedPeer() string {
	if e.AdvertisePeerAddress != "" {
		return e.AdvertisePeerAddress
	}
	return e.PeerAddress
}

// Fence is FenceMS as a duration.
func (t Timings) Fence() time.Duration { return milliseconds(t.FenceMS) }

// RemoveAfter is RemoveAfterMS as a duration.
func (t Timings) RemoveAfter() time.Duration { return milliseconds(t.RemoveAfterMS) }

// DirectoryLifetime is DirectoryLifetimeMS as a duration.
func (t Timings) DirectoryLifetime() time.Duration { return milliseconds(t.DirectoryLifetimeMS) }

// ShutdownTimeout is ShutdownTimeoutMS as a duration.
func (t Timings) ShutdownTimeout() time.Duration { return milliseconds(t.ShutdownTimeoutMS) }

// BatchClockError is BatchClockErrorMS as a duration.
func (t Timings) BatchClockError() time.Duration { return milliseconds(t.BatchClockErrorMS) }

// Timeout is TimeoutMS as a duration.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
