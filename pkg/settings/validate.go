package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

const (
	nameAllowed    = "1 to 64 of a-z, 0-9, _ and -, not starting with _ or -"
	addressAllowed = "an IP address and port, such as 10.0.0.1:8080"
	// Others connect to an advertised address, so it cannot stand for any.
	advertisedAllowed = "a specific IP address and port, such as 10.0.0.1:8080"
)

// logLevels leaves out the levels of zerolog that would hide errors.
var logLevels = []string{"debug", "info", "warn", "error"}

type validator struct{ document.Checker }

// Validate checks every value. The error is an *document.InvalidError.
func (e *Entry) Validate() error {
	v := &validator{}
	v.Check(namePattern.MatchString(e.Instance), "$.instance", e.Instance, nameAllowed)
	v.Check(namePattern.MatchString(e.AvailabilityZone), "$.availability_zone", e.AvailabilityZone, nameAllowed)
	v.advertised("$.caller_address", e.CallerAddress)
	v.advertised("$.operator_address", e.OperatorAddress)
	if e.AdvertisePeerAddress == "" {
		v.advertised("$.peer_address", e.PeerAddress)
	} else {
		v.address("$.peer_address", e.PeerAddress)
		v.advertised("$.advertise_peer_address", e.AdvertisePeerAddress)
	}
	if e.PeerSourceIP != "" {
		_, err := netip.ParseAddr(e.PeerSourceIP)
		v.Check(err == nil, "$.peer_source_ip", e.PeerSourceIP, "an IP address, such as 10.0.0.1")
	}
	for i, seed := range e.SeedPeers {
		v.address(fmt.Sprintf("$.seed_peers[%d]", i), seed)
	}
	for name, digest := range e.OperatorTokens {
		raw, err := hex.DecodeString(digest)
		v.Check(err == nil && len(raw) == 32, "$.operator_tokens_sha256."+name, "the given value", "64 hex digits")
	}
	v.tls("$.caller_tls", e.CallerTLS)
	v.tls("$.operator_tls", e.OperatorTLS)
	v.platform(e.Platform)
	v.timings(e.Timings)
	v.limits(e.Limits)
	policies := []string{PolicyBaseline, PolicyShared, PolicyReserve, PolicyReserveAll}
	v.Check(slices.Contains(policies, e.BalancePolicy), "$.balance_policy", e.BalancePolicy, strings.Join(policies, ", "))
	v.Check(slices.Contains(logLevels, e.LogLevel), "$.log_level", e.LogLevel, "debug, info, warn or error")
	return v.Err()
}

func (v *validator) address(path, value string) {
	_, err := netip.ParseAddrPort(value)
	v.Check(err == nil, path, value, addressAllowed)
}

func (v *validator) advertised(path, value string) {
	a, err := netip.ParseAddrPort(value)
	v.Check(err == nil && !a.Addr().IsUnspecified() && a.Port() != 0, path, value, advertisedAllowed)
}

func (v *validator) url(path, value string) {
	u, err := url.Parse(value)
	v.Check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", path, value, "an http or https URL")
}

func (v *validator) atLeast(path string, value, least, most int) {
	v.Check(value >= least && value <= most, path, value, fmt.Sprintf("%d to %d", least, most))
}

func (v *validator) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	v.Check(t.CertificateFile != "", path+".certificate_file", t.CertificateFile, "the path of a PEM file")
	v.Check(t.KeyFile != "", path+".key_file", t.KeyFile, "the path of a PEM file")
}

func (v *validator) platform(p Platform) {
	v.url("$.platform.table_endpoint", p.TableEndpoint)
	v.url("$.platform.object_endpoint", p.ObjectEndpoint)
	v.url("$.platform.list_url", p.ListURL)
	v.Check(p.TableName != "", "$.platform.table_name", p.TableName, "a table name")
	v.Check(p.Bucket != "", "$.platform.bucket", p.Bucket, "a bucket name")
	v.Check(p.Region != "", "$.platform.region", p.Region, "a region name")
	v.atLeast("$.platform.timeout_ms", p.TimeoutMS, 10, 60_000)
}

func (v *validator) timings(t Timings) {
	v.atLeast("$.timings.fence_ms", t.FenceMS, 200, 10_000)
	v.Check(t.RemoveAfterMS >= t.FenceMS && t.RemoveAfterMS <= 600_000, "$.timings.remove_after_ms", t.RemoveAfterMS, "fence_ms to 600000")
	v.atLeast("$.timings.directory_lifetime_ms", t.DirectoryLifetimeMS, 100, 600_000)
	v.atLeast("$.timings.shutdown_timeout_ms", t.ShutdownTimeoutMS, 100, 3_600_000)
	v.atLeast("$.timings.batch_clock_error_ms", t.BatchClockErrorMS, 0, 60_000)
}

func (v *validator) limits(l Limits) {
	v.atLeast("$.limits.max_body_bytes", l.MaxBodyBytes, 0, 1<<30)
	v.atLeast("$.limits.max_header_bytes", l.MaxHeaderBytes, 1024, 1<<20)
	v.atLeast("$.limits.max_connections", l.MaxConnections, 1, 1_000_000)
	v.atLeast("$.limits.max_witnesses", l.MaxWitnesses, 1, 101)
	v.atLeast("$.limits.issuers_per_team", l.IssuersPerTeam, 1, 64)
}
