// Package settings holds the static settings of one process. They are read
// once at the start; what changes at run time is in package config.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// Entry holds the settings of arbutus-entry.
type Entry struct {
	// Instance names the instance; it stays the same over restarts.
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	// Listening addresses, IP:port. PeerAddress and CallerAddress are given to
	// other instances and to callers.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// AdvertisePeerAddress is given to other instances in place of PeerAddress,
	// for example behind address translation; empty means PeerAddress.
	AdvertisePeerAddress string `json:"advertise_peer_address"`
	// PeerSourceIP is the local IP address of connections to other instances;
	// empty lets the operating system choose.
	PeerSourceIP string `json:"peer_source_ip"`
	// SeedPeers are peer addresses to ask when the platform is away at the start.
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
}

// Policies that choose targets.
const (
	// PolicyBaseline is round robin with ejection by each instance for itself.
	PolicyBaseline = "baseline"
	// PolicyShared takes the less loaded of two targets by shared observations.
	PolicyShared = "shared"
	// PolicyReserve reserves slots at a dispatcher for non-idempotent requests.
	PolicyReserve = "reserve"
	// PolicyReserveAll reserves slots for all requests.
	PolicyReserveAll = "reserve_all"
)

// TLS names the files of a listener's certificate. They are read again when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Platform says how to reach the platform's services.
type Platform struct {
	TableEndpoint   string `json:"table_endpoint"`
	TableName       string `json:"table_name"`
	ObjectEndpoint  string `json:"object_endpoint"`
	Bucket          string `json:"bucket"`
	ListURL         string `json:"list_url"`
	Region          string `json:"region"`
	AccessKeyID     string `json:"access_key_id"`
	SecretAccessKey string `json:"secret_access_key"`
	// TimeoutMS bounds one call.
	TimeoutMS int `json:"timeout_ms"`
}

// Timings are the time limits of an instance in milliseconds.
type Timings struct {
	// FenceMS is the longest age of a round trip that still counts for the fence.
	FenceMS int `json:"fence_ms"`
	// RemoveAfterMS is the silence after which a witness reports a member.
	RemoveAfterMS       int `json:"remove_after_ms"`
	DirectoryLifetimeMS int `json:"directory_lifetime_ms"`
	ShutdownTimeoutMS   int `json:"shutdown_timeout_ms"`
	// BatchClockErrorMS is the largest assumed error of the wall clock.
	BatchClockErrorMS int `json:"batch_clock_error_ms"`
}

// Limits bound what an instance takes on.
type Limits struct {
	MaxBodyBytes   int `json:"max_body_bytes"`
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxConnections int `json:"max_connections"`
	MaxWitnesses   int `json:"max_witnesses"`
	IssuersPerTeam int `json:"issuers_per_team"`
}

// Defaults returns the settings that a file need not give.
func Defaults() *Entry {
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

// Error names the file and the cause.
func (e *ReadError) Error() string { return "settings file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// LoadEntry reads and checks a settings file. The error is a *ReadError whose
// cause names every wrong value.
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

// ParseEntry decodes settings over the defaults and checks them. Errors:
// *document.SyntaxError, *document.InvalidError.
func ParseEntry(data []byte) (*Entry, error) {
	e := Defaults()
	if err := document.Decode(data, e); err != nil {
		return nil, err
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}

// AdvertisedPeer is the address that other instances connect to.
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
