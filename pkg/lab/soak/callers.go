package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 2500 * time.Millisecond
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// meanRequestInterval is the mean time between the end of a request of
	// a caller and the start of its next one.
	meanRequestInterval = 60 * time.Millisecond
	// visitorsPerInstance callers send requests to each instance after the end of the load;
	// two at once need more than the target that suits the instance best.
	visitorsPerInstance = 2
	// firstVisitor is the number of the first of them, above those of the other callers.
	firstVisitor = 1000
	// formStream is the number of the first stream of random numbers for the forms of requests.
	formStream = 10000
	// nestedShare is the share of the requests of the unsafe route whose path is nearly one of
	// the nested route.
	nestedShare = 0.15
	// maxTenantLines is the largest number of header lines with a team that a caller sends
	// itself; targets must not see them.
	maxTenantLines = 2
)

// request is one request of a caller and its result.
type request struct {
	// ip is the address of the instance that the request was sent to.
	id, team, key, path, ip string
	// safe is true for a GET request, which may run more than once.
	safe bool
	body []byte
	// tenantLines are header lines with a team that the caller sends itself.
	tenantLines string
	// sentAt is when its last byte was written; endedAt is when the response was
	// complete or the request failed.
	sentAt, endedAt time.Time
	// written is true if all bytes were written.
	written bool
	// status, signature and responseBody are those of the response. status is 0
	// without a complete response.
	status       int
	signature    string
	responseBody []byte
	err          error
}

// callers are all callers of a run and the requests that they have completed.
type callers struct {
	group    sync.WaitGroup
	mu       sync.Mutex
	requests []*request
}

// startCallers starts the callers of the testbed, alternating between the two
// zones. They send requests until ctx ends.
func startCallers(ctx context.Context, tb *testbed) *callers {
	c := &callers{}
	for n := range tb.Callers {
		client := c.newCaller(tb, n, []string{"a", "b"}[n%2])
		c.group.Go(func() { client.run(ctx) })
	}
	return c
}

// newCaller returns the caller with a number, which decides on its team and its draws.
func (c *callers) newCaller(tb *testbed, number int, zone string) *caller {
	return &caller{
		callers: c, testbed: tb, zone: zone, team: teams[number%len(teams)], number: number,
		rng:     rand.New(rand.NewPCG(tb.Seed, uint64(100+number))),
		formRNG: rand.New(rand.NewPCG(tb.Seed, uint64(formStream+number))),
	}
}

func (c *callers) wait() { c.group.Wait() }

// visitAll sends requests to every instance for a length of time, as callers that keep their
// connections may have left some without any.
func (c *callers) visitAll(ctx context.Context, tb *testbed, length time.Duration) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	for n, i := range tb.instances {
		for k := range visitorsPerInstance {
			client := c.newCaller(tb, firstVisitor+n*visitorsPerInstance+k, i.zone)
			client.pinned = i
			c.group.Go(func() { client.run(ctx) })
		}
	}
	c.wait()
}

func (c *callers) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// caller sends one request at a time. It reuses its connection until the
// connection ends or the directory no longer lists its address.
type caller struct {
	*callers
	testbed      *testbed
	zone         string
	team         string
	number       int
	requestCount int
	rng          *rand.Rand
	// formRNG draws the forms of requests, apart from rng, which keeps the draws of older seeds.
	formRNG *rand.Rand
	// pinned, if not nil, is the instance that all requests are sent to.
	pinned *instance

	conn   net.Conn
	reader *bufio.Reader
	// ip is the address of the instance that conn leads to.
	ip string
	// addresses are the instances that the directory lists, valid until
	// addressesExpire.
	addresses       []string
	addressesExpire time.Time
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConnection()
	for sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanRequestInterval))) == nil {
		c.sendNext(c.nextRequest())
	}
}

// sendNext sends a request and records its end.
func (c *caller) sendNext(r *request) {
	c.send(r)
	r.endedAt = time.Now()
	c.add(r)
}

// isTimeout reports whether err is the end of a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// nextRequest creates a request with a key of the team. One request in ten may
// use a withdrawn key instead.
func (c *caller) nextRequest() *request {
	c.requestCount++
	tb := c.testbed
	tb.mu.Lock()
	keys := tb.config.keys[c.team]
	key := keys[c.rng.IntN(len(keys))]
	if len(tb.changes) > 0 && c.rng.IntN(10) == 0 {
		if withdrawn := tb.changes[c.rng.IntN(len(tb.changes))].key; withdrawn != "" {
			key = withdrawn
		}
	}
	tb.mu.Unlock()
	// A withdrawn key may belong to another team; keys are named TEAM-SUFFIX.
	team, _, _ := strings.Cut(key, "-")
	r := &request{id: fmt.Sprintf("c%d-%d", c.number, c.requestCount), team: team, key: key}
	prefix := []string{safeRoute, unsafeRoute, movingRoute}[c.rng.IntN(3)]
	r.safe = prefix == safeRoute
	r.path = prefix + r.id
	if prefix == unsafeRoute && c.formRNG.Float64() < nestedShare {
		r.path = c.nearlyNestedPath(r.id)
	}
	r.tenantLines = strings.Repeat(upstreamsim.TenantHeader+": "+teams[c.formRNG.IntN(len(teams))]+"\r\n", c.formRNG.IntN(maxTenantLines+1))
	if !r.safe {
		r.body = bytes.Repeat([]byte{byte('a' + c.number%20)}, c.rng.IntN(4000))
	}
	return r
}

// nearlyNestedPath returns a path that the prefix of the nested route does not begin, though
// it does once the path is normalised, so that the unsafe route has it.
func (c *caller) nearlyNestedPath(id string) string {
	forms := []string{"/unsafe/nested?", "/unsafe//nested/", "/unsafe/%6eested/", "/unsafe/nested%2F"}
	return forms[c.formRNG.IntN(len(forms))] + id
}

// send sends the request on the open connection or a new one, and records the
// response or the error in it.
func (c *caller) send(r *request) {
	if r.err = c.connect(); r.err != nil {
		return
	}
	r.ip = c.ip
	method := http.MethodPost
	if r.safe {
		method = http.MethodGet
	}
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		method, r.path, hostName, upstreamsim.RequestIDHeader, r.id, upstreamsim.TimeoutHeader, callerTimeout.Milliseconds(),
		upstreamsim.InstanceHeader, r.ip, upstreamsim.SentHeader, time.Now().UnixMilli(), r.key, r.tenantLines, len(r.body))
	_, r.err = c.conn.Write(append([]byte(head), r.body...))
	r.sentAt = time.Now()
	if r.err != nil {
		c.closeConnection()
		return
	}
	r.written = true
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		if malformed := http1.CheckResponse(response); malformed != nil {
			c.testbed.addViolation("responses are HTTP", "%s at %s: %v", r.id, r.ip, malformed)
		}
		r.responseBody, err = io.ReadAll(response.Body)
	}
	if err != nil {
		r.err = err
		c.closeConnection()
		return
	}
	r.status, r.signature = response.StatusCode, response.Header.Get(upstreamsim.SignatureHeader)
	if response.Header.Get(upstreamsim.LeavingHeader) != "" {
		c.testbed.passedOnLeaving(r)
	}
	if response.Close {
		c.closeConnection()
	}
}

// connect opens a connection to a random address of the directory, unless one is
// open to an address that the directory still lists.
func (c *caller) connect() error {
	c.refreshAddresses()
	if c.conn != nil {
		for _, a := range c.addresses {
			if a == c.conn.RemoteAddr().String() {
				return nil
			}
		}
		c.closeConnection()
	}
	if len(c.addresses) == 0 {
		return &net.AddrError{Err: "the directory has returned no address for the zone", Addr: c.zone}
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		c.addressesExpire = time.Time{}
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.ip, _, err = net.SplitHostPort(address)
	return err
}

// refreshAddresses asks up to three random instances for addresses when the last
// response of the directory has expired.
func (c *caller) refreshAddresses() {
	if c.pinned != nil {
		c.addresses = []string{c.pinned.address(callerPort)}
		return
	}
	if time.Now().Before(c.addressesExpire) {
		return
	}
	client := http.Client{Timeout: time.Second}
	for range 3 {
		i := c.testbed.instances[c.rng.IntN(len(c.testbed.instances))]
		response, err := client.Get(fmt.Sprintf("http://%s/arbutuslink/resolve?name=%s&region=r&zone=%s", i.address(directoryPort), hostName, c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       string   `json:"ttl"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		ttl, parseErr := time.ParseDuration(answer.TTL)
		if err == nil && parseErr == nil && len(answer.Addresses) > 0 {
			c.addresses, c.addressesExpire = answer.Addresses, time.Now().Add(ttl)
			return
		}
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
