package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/platformsim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

const operatorToken = "operator-token-of-the-test"

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Contains reports whether text was logged.
func (b *logBuffer) Contains(text string) bool { return strings.Contains(b.String(), text) }

// fixture is one real instance with a simulated platform and one target.
type fixture struct {
	is       *is.I
	settings *settings.Entry
	target   *targetsim.Server
	log      *logBuffer
	client   *http.Client
	scheme   string
	// stop starts the instance's graceful shutdown.
	stop context.CancelFunc
	// responses collects the headers and bodies of all responses of the instance.
	responses bytes.Buffer
}

// start runs an instance until the end of the test. adjust may change its settings.
func start(t *testing.T, adjust func(*settings.Entry)) *fixture {
	f := &fixture{
		is: is.New(t), log: &logBuffer{}, scheme: "http://",
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}},
	}
	platform := platformsim.New(platformsim.Options{})
	f.is.NoErr(platform.Start())
	f.target = targetsim.New(targetsim.Options{})
	f.is.NoErr(f.target.Start())
	s := settings.DefaultEntry()
	s.Instance, s.AvailabilityZone = "entry-1", "a"
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = freeAddress(f.is), freeAddress(f.is), freeAddress(f.is)
	s.Platform.TableEndpoint, s.Platform.ObjectEndpoint, s.Platform.ListURL = platform.URL(), platform.URL(), platform.InstancesURL()
	s.Platform.AccessKeyID, s.Platform.SecretAccessKey = "platform-id", "platform-secret"
	s.Timings.FenceMS, s.Timings.RemoveAfterMS = 500, 1000
	s.Timings.DirectoryLifetimeMS, s.Timings.ShutdownTimeoutMS, s.LogLevel = 100, 2000, "debug"
	digest := sha256.Sum256([]byte(operatorToken))
	s.OperatorTokens = map[string]string{"ann": hex.EncodeToString(digest[:])}
	if adjust != nil {
		adjust(s)
	}
	f.is.NoErr(s.Validate())
	f.settings = s
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	done := make(chan error, 1)
	go func() { done <- New(s, zerolog.New(f.log).Level(zerolog.DebugLevel)).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		f.is.NoErr(<-done)
		f.is.NoErr(f.target.Close())
		f.is.NoErr(platform.Close())
	})
	return f
}

func freeAddress(is *is.I) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	return l.Addr().String()
}

// send makes a request and returns the status and the body of the response, or
// status 0 if there was none.
func (f *fixture) send(method, address, path, body string, header map[string]string) (int, string) {
	req, err := http.NewRequest(method, f.scheme+address+path, bytes.NewReader([]byte(body)))
	f.is.NoErr(err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	f.is.NoErr(err)
	f.is.NoErr(resp.Header.Write(&f.responses))
	f.responses.Write(data)
	return resp.StatusCode, string(data)
}

// sendOperator makes a request to the operator API with a valid token.
func (f *fixture) sendOperator(method, path, body string, header map[string]string) (int, string) {
	all := map[string]string{"Authorization": "Bearer " + operatorToken}
	for name, value := range header {
		all[name] = value
	}
	return f.send(method, f.settings.OperatorAddress, path, body, all)
}

// waitUntil repeats check until it holds. It fails the test after 20 s.
func (f *fixture) waitUntil(check func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.is.Fail() // the instance did not reach the state in time
		}
	}
}

// patch submits a merge patch to configuration version base and waits until it is
// in force.
func (f *fixture) patch(base string, patch any) {
	data, err := json.Marshal(patch)
	f.is.NoErr(err)
	f.waitUntil(func() bool {
		status, _ := f.sendOperator(http.MethodPatch, api.ConfigPath, string(data),
			map[string]string{"If-Match": base, "Content-Type": config.MergePatchType})
		return status == http.StatusAccepted
	})
	f.waitUntil(func() bool {
		_, body := f.sendOperator(http.MethodGet, api.StatusPath, "", nil)
		var s api.Status
		f.is.NoErr(json.Unmarshal([]byte(body), &s))
		return s.Fresh && s.ConfigState == api.InForce
	})
}

// configDocument returns a configuration with one team, one target and two routes:
// /preview is idempotent, /confirm is not and is deduplicated.
func (f *fixture) configDocument(keys map[string]config.Key) *config.Config {
	c := config.Empty()
	c.Batches["spring"] = config.Batch{Share: 1, Expires: time.Now().Add(time.Hour).UTC().Truncate(time.Second)}
	c.Teams["school"] = config.Team{Batch: "spring", RatePerSecond: 1000, Burst: 100}
	c.Keys = keys
	c.Services["portal"] = config.Service{
		FloorPercent: 50, Profile: config.ProfileCareful, HealthPath: "/health", ProbeIntervalMS: 1000,
		Targets: map[string]config.Target{"p1": {Address: f.target.Addr(), Zone: "a", Slots: 2, MaxConnections: 100}},
	}
	route := config.Route{PathPrefix: "/preview", Methods: []string{}, Service: "portal", OpenToAll: true, Teams: []string{}, Idempotent: true, TimeoutMS: 1000, MaxAttempts: 2}
	c.Routes["preview"] = route
	route.PathPrefix, route.Idempotent, route.MaxAttempts, route.Deduplicate = "/confirm", false, 1, true
	c.Routes["confirm"] = route
	return c
}
