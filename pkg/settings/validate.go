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

// namePattern matches names of instances and availability zones.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

// Descriptions of the allowed values in errors.
const (
	nameAllowed    = "1 to 64 of a-z, 0-9, _ and -, not starting with _ or -"
	addressAllowed = "an IP address and port, such as 10.0.0.1:8080"
	// Other processes connect to an advertised address, so it cannot be a wildcard.
	advertisedAllowed = "a specific IP address and port, such as 10.0.0.1:8080"
)

// logLevels are the allowed log levels; the levels of zerolog that would hide
// errors are excluded.
var logLevels = []string{"debug", "info", "warn", "error"}

type validator struct{ document.Checker }

// Validate checks every value. The error is an *document.InvalidError.
func (e *Entry) Validate() error {
	v := &validator{}
	v.Check(namePattern.MatchString(e.Instance), "$.instance", e.Instance, nameAllowed)
	v.Check(namePattern.MatchString(e.AvailabilityZone), "$.availability_zone", e.AvailabilityZone, nameAllowed)
	v.checkAdvertised("$.caller_address", e.CallerAddress)
	v.checkAdvertised("$.operator_address", e.OperatorAddress)
	if e.AdvertisePeerAddress == "" {
		v.checkAdvertised("$.peer_address", e.PeerAddress)
	} else {
		v.checkAddress("$.peer_address", e.PeerAddress)
		v.checkAdvertised("$.advertise_peer_address", e.AdvertisePeerAddress)
	}
	if e.PeerSourceIP != "" {
		_, err := netip.ParseAddr(e.PeerSourceIP)
		v.Check(err == nil, "$.peer_source_ip", e.PeerSourceIP, "an IP address, such as 10.0.0.1")
	}
	for i, seed := range e.SeedPeers {
		v.checkAddress(fmt.Sprintf("$.seed_peers[%d]", i), seed)
	}
	for name, digest := range e.OperatorTokens {
		raw, err := hex.DecodeString(digest)
		v.Check(err == nil && len(raw) == 32, "$.operator_tokens_sha256."+name, "the given value", "64 hex digits")
	}
	v.checkTLS("$.caller_tls", e.CallerTLS)
	v.checkTLS("$.operator_tls", e.OperatorTLS)
	v.checkPlatform(e.Platform)
	v.checkTimings(e.Timings)
	v.checkLimits(e.Limits)
	policies := []string{PolicyBaseline, PolicyShared, PolicyReserve, PolicyReserveAll}
	v.Check(slices.Contains(policies, e.BalancePolicy), "$.balance_policy", e.BalancePolicy, strings.Join(policies, ", "))
	v.Check(slices.Contains(logLevels, e.LogLevel), "$.log_level", e.LogLevel, "debug, info, warn or error")
	return v.Err()
}

func (v *validator) checkAddress(path, value string) {
	_, err := netip.ParseAddrPort(value)
	v.Check(err == nil, path, value, addressAllowed)
}

// checkAdvertised checks an address that other processes connect to.
func (v *validator) checkAdvertised(path, value string) {
	a, err := netip.ParseAddrPort(value)
	v.Check(err == nil && !a.Addr().IsUnspecified() && a.Port() != 0, path, value, advertisedAllowed)
}

func (v *validator) checkURL(path, value string) {
	u, err := url.Parse(value)
	v.Check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", path, value, "an http or https URL")
}

func (v *validator) checkRange(path string, value, minimum, maximum int) {
	v.Check(value >= minimum && value <= maximum, path, value, fmt.Sprintf("%d to %d", minimum, maximum))
}

func (v *validator) checkTLS(path string, t *TLS) {
	if t == nil {
		return
	}
	v.Check(t.CertificateFile != "", path+".certificate_file", t.CertificateFile, "the path of a PEM file")
	v.Check(t.KeyFile != "", path+".key_file", t.KeyFile, "the path of a PEM file")
}

func (v *validator) checkPlatform(p Platform) {
	v.checkURL("$.platform.table_endpoint", p.TableEndpoint)
	v.checkURL("$.platform.object_endpoint", p.ObjectEndpoint)
	v.checkURL("$.platform.list_url", p.ListURL)
	v.Check(p.TableName != "", "$.platform.table_name", p.TableName, "a table name")
	v.Check(p.Bucket != "", "$.platform.bucket", p.Bucket, "a bucket name")
	v.Check(p.Region != "", "$.platform.region", p.Region, "a region name")
	v.checkRange("$.platform.timeout_ms", p.TimeoutMS, 10, 60_000)
}

func (v *validator) checkTimings(t Timings) {
	v.checkRange("$.timings.fence_ms", t.FenceMS, 200, 10_000)
	v.Check(t.RemoveAfterMS >= t.FenceMS && t.RemoveAfterMS <= 600_000, "$.timings.remove_after_ms", t.RemoveAfterMS, "fence_ms to 600000")
	v.checkRange("$.timings.directory_lifetime_ms", t.DirectoryLifetimeMS, 100, 600_000)
	v.checkRange("$.timings.shutdown_timeout_ms", t.ShutdownTimeoutMS, 100, 3_600_000)
	v.checkRange("$.timings.batch_clock_error_ms", t.BatchClockErrorMS, 0, 60_000)
}

func (v *validator) checkLimits(l Limits) {
	v.checkRange("$.limits.max_body_bytes", l.MaxBodyBytes, 0, 1<<30)
	v.checkRange("$.limits.max_header_bytes", l.MaxHeaderBytes, 1024, 1<<20)
	v.checkRange("$.limits.max_connections", l.MaxConnections, 1, 1_000_000)
	v.checkRange("$.limits.max_witnesses", l.MaxWitnesses, 1, 101)
	v.checkRange("$.limits.issuers_per_team", l.IssuersPerTeam, 1, 64)
}
