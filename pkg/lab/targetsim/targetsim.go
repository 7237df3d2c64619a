// Package targetsim simulates a target over HTTP. It implements the target
// protocol (the X- headers of serve.go and the health path) and has faults that
// can be switched at run time.
//
// The admin listener serves GET and POST /admin/faults (Faults), POST
// /admin/drain ({"draining": bool}), POST /admin/restart (cold start again),
// GET /admin/summary (Summary), GET /admin/executions?request_id=ID
// ([]Execution) and POST /admin/reset (clears the records).
package targetsim

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
	"github.com/arbutuslink/arbutuslink/pkg/lab/lagged"
)

// Options configure a Server. Zero values select the defaults.
type Options struct {
	// Address and AdminAddress are IP:port; empty selects a free port of
	// 127.0.0.1.
	Address      string
	AdminAddress string
	// Seed drives the service times and the faults that affect a fraction of the
	// requests.
	Seed uint64
	// Slots is the number of requests that execute at once; default 2.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; further ones
	// are shed. Default 4; negative means no queue.
	Queue int
	// MaxConnections bounds open connections; default 400.
	MaxConnections int
	// MedianService and Sigma describe the log-normal service time: its median
	// (default 10 ms) and the standard deviation of its logarithm (0 is constant).
	MedianService time.Duration
	Sigma         float64
	// HealthPath and HealthTime are the path of probes (default /health) and the
	// time that a probe holds a slot (default 25 ms).
	HealthPath string
	HealthTime time.Duration
	// LoadLag is the age of the load that the X-Load header reports.
	LoadLag time.Duration
	// ColdFor is the duration of the cold start, during which service times are
	// multiplied by ColdFactor (default 5).
	ColdFor    time.Duration
	ColdFactor float64
	// ResponseBytes is the length of a response body; default 256.
	ResponseBytes int
	// MaxRecords bounds the list of recorded executions; default 200,000.
	MaxRecords int
	// Faults are the initial faults.
	Faults Faults
}

const anyLocalPort = "127.0.0.1:0"

func (o Options) withDefaults() Options {
	setDefault(&o.Address, anyLocalPort)
	setDefault(&o.AdminAddress, anyLocalPort)
	setDefault(&o.Slots, 2)
	setDefault(&o.Queue, 4)
	setDefault(&o.MaxConnections, 400)
	setDefault(&o.MedianService, 10*time.Millisecond)
	setDefault(&o.HealthPath, "/health")
	setDefault(&o.HealthTime, 25*time.Millisecond)
	setDefault(&o.ColdFactor, 5)
	setDefault(&o.ResponseBytes, 256)
	setDefault(&o.MaxRecords, 200_000)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// load is the pair of counts that the X-Load header reports.
type load struct{ inFlight, queued int }

// Server is one simulated target.
type Server struct {
	options Options
	slots   *slots
	records *recorder
	// load is the history of the load; its times count from createdAt.
	load      lagged.Value[load]
	service   *restartable
	admin     *httpserver.Server
	createdAt time.Time

	// context ends on Close and wakes waiting requests.
	context context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// faultsSetAt is the start of the first period of flapping.
	faultsSetAt time.Time
	// faultsReplaced is closed when the faults are replaced, which ends stalls.
	faultsReplaced chan struct{}
	// coldStartAt is the start of the last cold start.
	coldStartAt time.Time
	// drainingSince is zero unless the target is draining.
	drainingSince time.Time
}

// New returns a target that does not listen yet.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options: o, records: newRecorder(o.MaxRecords), createdAt: time.Now(),
		rng: rand.New(rand.NewPCG(o.Seed, 0)), faultsReplaced: make(chan struct{}),
	}
	s.slots = &slots{capacity: o.Slots, maxQueued: max(o.Queue, 0), onChange: func(inFlight, queued int) {
		s.load.Set(time.Since(s.createdAt), load{inFlight, queued})
	}}
	s.context, s.cancel = context.WithCancel(context.Background())
	start := func(address string) *httpserver.Server { return httpserver.New(address, o.MaxConnections, s.serve) }
	s.service = &restartable{current: start(o.Address), start: start}
	s.admin = httpserver.New(o.AdminAddress, 0, s.serveAdmin)
	return s
}

// Start opens both listeners and begins the cold start. It fails with
// *FaultsError when the initial faults are out of range and with
// *httpserver.ListenError.
func (s *Server) Start() error {
	if err := s.SetFaults(s.options.Faults); err != nil {
		return err
	}
	s.Restart()
	if err := s.service.current.Start(); err != nil {
		return err
	}
	if err := s.admin.Start(); err != nil {
		return errors.CombineErrors(err, s.service.Close())
	}
	return nil
}

// Close closes both listeners and all connections at once.
func (s *Server) Close() error {
	s.cancel()
	return errors.CombineErrors(s.service.Close(), s.admin.Close())
}

// Addr returns the address of the service listener, IP:port.
func (s *Server) Addr() string { return s.service.Addr() }

// AdminAddr returns the address of the admin listener, IP:port.
func (s *Server) AdminAddr() string { return s.admin.Addr() }

// SetFaults replaces the faults and lets stalled requests continue. It fails with
// *FaultsError.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return errors.WithStack(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsSetAt = f, time.Now()
	close(s.faultsReplaced)
	s.faultsReplaced = make(chan struct{})
	return nil
}

// Faults returns the faults as they were set, with flapping not resolved.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetDraining starts or ends draining. While draining, responses carry X-Draining
// and the health path reports it; requests are still served.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !draining:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = time.Now()
	}
}

// Restart starts another cold start; it keeps connections and requests.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldStartAt = time.Now()
}

// Summary returns the counts of requests.
func (s *Server) Summary() Summary {
	summary := s.records.counts()
	summary.InFlight, summary.Queued = s.slots.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	summary.DrainingSince = s.drainingSince
	return summary
}

// Executions returns the executions of one request, or of all requests when
// the id is empty, in the order of their start.
func (s *Server) Executions(requestID string) []Execution { return s.records.list(requestID) }

// Reset clears the records.
func (s *Server) Reset() { s.records.reset() }

// plan is the treatment of one request, decided on its arrival.
type plan struct {
	faults Faults // in force, with flapping resolved
	// replaced is closed when the faults are replaced, which ends a stall.
	replaced    <-chan struct{}
	serviceTime time.Duration
	// stall, fail and truncate are the outcomes of the random draws against
	// Faults.Stall, ErrorRate and HalfResponse.
	stall    bool
	fail     bool
	truncate bool
	// cold and draining are the state of the target when the request arrived.
	cold     bool
	draining bool
}

// drawPlan draws the plan of one request. It draws the same number of random
// values for every request, so that a fault does not shift the draws of later
// requests.
func (s *Server) drawPlan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f := s.faults.inForce(now.Sub(s.faultsSetAt))
	stall, fail, truncate := s.rng.Float64(), s.rng.Float64(), s.rng.Float64()
	factor := math.Exp(s.options.Sigma * s.rng.NormFloat64())
	p := plan{
		faults: f, replaced: s.faultsReplaced,
		stall: stall < f.Stall, fail: fail < f.ErrorRate, truncate: truncate < f.HalfResponse,
		cold: now.Sub(s.coldStartAt) < s.options.ColdFor, draining: !s.drainingSince.IsZero(),
	}
	if f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	if p.cold {
		factor *= s.options.ColdFactor
	}
	p.serviceTime = time.Duration(float64(s.options.MedianService) * factor)
	return p
}
