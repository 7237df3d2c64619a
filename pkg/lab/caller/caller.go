// Package caller simulates the callers of a fleet: it requests the addresses of
// instances from the directory, uses them until the response expires, and sends
// requests.
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

// Names in the protocol between callers, instances and simulated targets.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "X-Arbutus-Key"
	directoryPath   = "/.arbutus/directory"
)

// Options configure one caller.
type Options struct {
	Team string
	Key  string
	// Seeds are caller addresses of some instances, IP:port. The caller requests
	// the directory from them.
	Seeds []string
	// Pinned sends every request to the seeds, the first try to the first seed, and
	// never uses the directory.
	Pinned bool
	// MaxTries is the maximum number of tries of a request. A try is followed
	// by another one only if the instance did not execute the request.
	MaxTries int
	// Timeout bounds one try.
	Timeout time.Duration
	// Seed drives the choice of addresses.
	Seed uint64
}

// Request is one request to send.
type Request struct {
	ID             string
	Method         string
	Path           string
	Body           []byte
	IdempotencyKey string
}

// Answer is the response to a request, or the error of its last try.
type Answer struct {
	Status int
	// Code and Outcome are set when the fleet refused the request.
	Code    refusal.Code
	Outcome refusal.Outcome
	Body    []byte
	// Address is the caller address of the instance that the last try was sent to.
	Address string
	// Tries counts all tries, including those without an address.
	Tries int
	// Latency is the time of all tries together.
	Latency time.Duration
	// TargetTime is how long the simulated target had the request, or 0 if the
	// response does not state it.
	TargetTime time.Duration
	// Err is set when the last try got no complete response.
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
	// expires is the time after which the addresses must be requested again.
	expires time.Time
}

// New returns a caller.
func New(opts Options) *Caller {
	return &Caller{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, 1)),
		client: &fasthttp.Client{
			// Retries by the client would be hidden from the checks of an experiment.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			// The default dialer of fasthttp took up to 20 ms for a new connection
			// on loopback; that of package net takes up to 1 ms.
			Dial:                          dial,
			MaxConnsPerHost:               4096,
			ReadTimeout:                   opts.Timeout,
			WriteTimeout:                  opts.Timeout,
			MaxIdleConnDuration:           30 * time.Second,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// Do sends the request. It tries further addresses while the instance cannot be
// reached or refuses the request for a reason that concerns only that instance.
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
		if ctx.Err() != nil || !c.retryElsewhere(last) {
			break
		}
		c.dropAddress(address)
	}
	last.Latency = time.Since(start)
	return last
}

// retryElsewhere reports whether another instance may serve the request: it was
// not executed, and the cause concerns only the instance that was tried.
func (c *Caller) retryElsewhere(a Answer) bool {
	var dial *DialError
	if errors.As(a.Err, &dial) {
		return true
	}
	return a.Code == refusal.InstanceNotFresh.Code || a.Code == refusal.ShuttingDown.Code || a.Code == refusal.RateUnavailable.Code
}

// DialError reports that the connection to an instance failed; the request was
// not sent.
type DialError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NoAddressError reports that the caller has no address to send a request to,
// because no seed returned a list of addresses.
type NoAddressError struct{}

// Error describes the failure.
func (*NoAddressError) Error() string { return "no instance returned a list of addresses" }

// send makes one try.
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

// targetTime returns the time that the simulated target reports, or 0.
func targetTime(resp *fasthttp.Response) time.Duration {
	micros, err := strconv.ParseInt(string(resp.Header.Peek(targetsim.ElapsedMicrosHeader)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

// address returns the address for the given try, counted from 1. It requests the
// list of addresses again when the current one has expired. Try n gets the
// address that is n-1 places after a random preferred one.
func (c *Caller) address(try int) (string, error) {
	if c.opts.Pinned {
		return c.opts.Seeds[(try-1)%len(c.opts.Seeds)], nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.addresses) == 0 {
		c.refreshAddresses()
	}
	if len(c.addresses) == 0 {
		return "", errors.WithStack(&NoAddressError{})
	}
	return c.addresses[(c.rng.IntN(c.preferred)+try-1)%len(c.addresses)], nil
}

// dropAddress removes an address from the list until the next refresh.
func (c *Caller) dropAddress(address string) {
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

// directoryAnswer is the response of the directory.
type directoryAnswer struct {
	LifetimeMS int `json:"lifetime_ms"`
	// Preferred is the number of leading addresses to prefer.
	Preferred int      `json:"preferred"`
	Addresses []string `json:"addresses"`
}

// refreshAddresses requests the list of addresses from the seeds, starting at a
// random one, and keeps the current list if none returns one. The caller holds
// the lock.
func (c *Caller) refreshAddresses() {
	offset := c.rng.IntN(len(c.opts.Seeds))
	for i := range c.opts.Seeds {
		answer, ok := c.fetchDirectory(c.opts.Seeds[(offset+i)%len(c.opts.Seeds)])
		if ok && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.preferred = min(max(1, answer.Preferred), len(answer.Addresses))
			c.expires = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
			return
		}
	}
}

func (c *Caller) fetchDirectory(seed string) (directoryAnswer, bool) {
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

// NewID returns the id of the n-th request of a run.
func NewID(run string, n int64) string { return run + "-" + strconv.FormatInt(n, 10) }
