// Package caller simulates the callers of a fleet: it asks the directory which
// addresses to use, keeps the answer for its lifetime, and sends requests.
package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Headers that the simulated targets and callers agree on.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "X-Arbutus-Key"
	directoryPath   = "/.arbutus/directory"
)

// Options describe one caller.
type Options struct {
	Team string
	Key  string
	// Seeds are caller addresses of some instances, IP:port.
	Seeds []string
	// Pinned sends every request to the first seed and never asks the directory.
	Pinned bool
	// MaxTries bounds the addresses tried while answers say "not run".
	MaxTries int
	Timeout  time.Duration
	Seed     uint64
}

// Request is one request to send.
type Request struct {
	ID             string
	Method         string
	Path           string
	Body           []byte
	IdempotencyKey string
}

// Answer is what came back.
type Answer struct {
	Status int
	// Code and Outcome are set when the fleet refused.
	Code    refusal.Code
	Outcome refusal.Outcome
	Body    []byte
	// Address is the instance that gave the answer.
	Address string
	Tries   int
	Latency time.Duration
	// TargetTime is how long the simulated target had the request; 0 without its header.
	TargetTime time.Duration
	// Err is set when the last try gave no complete answer.
	Err error
}

// Caller sends requests of one team. It is safe for concurrent use.
type Caller struct {
	opts   Options
	client *fasthttp.Client

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
	// preferred is the number of leading addresses that share the load.
	preferred int
	expires   time.Time
}

// New returns a caller.
func New(opts Options) *Caller {
	return &Caller{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, 1)),
		client: &fasthttp.Client{
			// A caller must not repeat a request behind the back of the checks.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			// The default dialer of fasthttp took up to 20 ms for a new connection
			// on loopback, where net takes up to 1 ms.
			Dial:                          dial,
			MaxConnsPerHost:               4096,
			ReadTimeout:                   opts.Timeout,
			WriteTimeout:                  opts.Timeout,
			MaxIdleConnDuration:           30 * time.Second,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// Do sends the request and tries further addresses while the answer says that
// the request did not run because of the instance that was asked.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	start := time.Now()
	var last Answer
	for try := 1; try <= max(1, c.opts.MaxTries); try++ {
		address, err := c.address(try)
		if err != nil {
			last.Err = err
			last.Tries = try
			continue
		}
		last = c.send(address, r)
		last.Tries = try
		if ctx.Err() != nil || !c.another(last) {
			break
		}
		c.forget(address)
	}
	last.Latency = time.Since(start)
	return last
}

// another tells whether a different instance may serve the request.
func (c *Caller) another(a Answer) bool {
	var dial *DialError
	if errors.As(a.Err, &dial) {
		return true
	}
	return a.Code == refusal.InstanceNotFresh.Code || a.Code == refusal.ShuttingDown.Code || a.Code == refusal.RateUnavailable.Code
}

// DialError says that an instance could not be reached; the request was not sent.
type DialError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NoAddressError says that no instance answered the directory request.
type NoAddressError struct{}

// Error describes the fault.
func (*NoAddressError) Error() string { return "no instance gave an address list" }

func (c *Caller) send(address string, r Request) Answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + r.Path)
	req.Header.SetMethod(r.Method)
	req.Header.Set(keyHeader, c.opts.Key)
	req.Header.Set(requestIDHeader, r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.SetBody(r.Body)
	if err := c.client.DoTimeout(req, resp, c.opts.Timeout); err != nil {
		if errors.Is(err, fasthttp.ErrDialTimeout) || isDialError(err) {
			err = &DialError{Address: address, Cause: err}
		}
		return Answer{Address: address, Err: errors.WithStack(err)}
	}
	return Answer{
		Status: resp.StatusCode(), Address: address,
		Code:    refusal.Code(resp.Header.Peek(refusal.CodeHeader)),
		Outcome: refusal.Outcome(resp.Header.Peek(refusal.OutcomeHeader)),
		Body:    append([]byte(nil), resp.Body()...),

		TargetTime: targetTime(resp),
	}
}

func targetTime(resp *fasthttp.Response) time.Duration {
	micros, err := strconv.ParseInt(string(resp.Header.Peek(targetsim.MicrosHeader)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

// address returns the address for the given try, asking the directory when the
// list has expired.
func (c *Caller) address(try int) (string, error) {
	if c.opts.Pinned {
		return c.opts.Seeds[(try-1)%len(c.opts.Seeds)], nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.addresses) == 0 {
		c.refresh()
	}
	if len(c.addresses) == 0 {
		return "", errors.WithStack(&NoAddressError{})
	}
	return c.addresses[(c.rng.IntN(c.preferred)+try-1)%len(c.addresses)], nil
}

func (c *Caller) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(c.addresses[:i:i], c.addresses[i+1:]...)
			if i < c.preferred {
				c.preferred = max(1, c.preferred-1)
			}
			return
		}
	}
}

// directoryAnswer mirrors the answer of the directory.
type directoryAnswer struct {
	LifetimeMS int      `json:"lifetime_ms"`
	Preferred  int      `json:"preferred"`
	Addresses  []string `json:"addresses"`
}

func (c *Caller) refresh() {
	offset := c.rng.IntN(len(c.opts.Seeds))
	for i := range c.opts.Seeds {
		answer, ok := c.ask(c.opts.Seeds[(offset+i)%len(c.opts.Seeds)])
		if ok && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.preferred = min(max(1, answer.Preferred), len(answer.Addresses))
			c.expires = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
			return
		}
	}
}

func (c *Caller) ask(seed string) (directoryAnswer, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + seed + directoryPath)
	req.Header.Set(keyHeader, c.opts.Key)
	var answer directoryAnswer
	if err := c.client.DoTimeout(req, resp, time.Second); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return answer, false
	}
	return answer, json.Unmarshal(resp.Body(), &answer) == nil
}

// NewID returns an id for the n-th request of a run.
func NewID(run string, n int64) string { return run + "-" + strconv.FormatInt(n, 10) }
