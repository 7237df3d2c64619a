// Package targetsim simulates a target by HTTP. It follows the target protocol
// of the design page and has faults that can be switched at run time.
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
	// Seed drives service times and the faults with a fraction.
	Seed uint64
	// Slots is the number of requests that run at once; default 2.
	Slots int
	// Queue is the number of requests that wait beyond the slots; further ones
	// are shed. Default 4; negative means none.
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
	// LoadLag is how far the X-Load header lags.
	LoadLag time.Duration
	// ColdFor is the length of the cold start, in which the service time is
	// multiplied by ColdFactor (default 5).
	ColdFor    time.Duration
	ColdFactor float64
	// ResponseBytes is the length of the answer's body; default 256.
	ResponseBytes int
	// MaxRecords bounds the list of executions; default 200,000.
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

type load struct{ inFlight, queued int }

// Server is one simulated target.
type Server struct {
	options Options
	slots   *slots
	records *recorder
	load    lagged.Value[load]
	service *httpserver.Server
	admin   *httpserver.Server
	origin  time.Time

	// context ends on Close and wakes waiting requests.
	context context.Context
	cancel  context.CancelFunc

	mu            sync.Mutex
	source        *rand.Rand
	faults        Faults
	faultsSet     time.Time
	faultsEnd     chan struct{} // closed when the faults are replaced
	started       time.Time
	drainingSince time.Time
}

// New returns a target that does not listen yet.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options: o, records: newRecorder(o.MaxRecords), origin: time.Now(),
		source: rand.New(rand.NewPCG(o.Seed, 0)), faultsEnd: make(chan struct{}),
	}
	s.slots = &slots{capacity: o.Slots, queueMax: max(o.Queue, 0), changed: func(inFlight, queued int) {
		s.load.Set(time.Since(s.origin), load{inFlight, queued})
	}}
	s.context, s.cancel = context.WithCancel(context.Background())
	s.service = httpserver.New(o.Address, o.MaxConnections, s.serve)
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
	if err := s.service.Start(); err != nil {
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

// SetFaults replaces the faults and ends the stall of requests that stall. It
// fails with *FaultsError.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return errors.WithStack(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsSet = f, time.Now()
	close(s.faultsEnd)
	s.faultsEnd = make(chan struct{})
	return nil
}

// Faults returns the faults as set.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetDraining starts or ends draining: answers carry X-Draining and the health
// path reports it. Requests are still served.
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

// Restart begins the cold start again; connections and requests are kept.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
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

// plan is what happens to one request.
type plan struct {
	faults   Faults // in force, with flapping resolved
	end      <-chan struct{}
	service  time.Duration
	stall    bool
	fail     bool
	half     bool
	cold     bool
	draining bool
}

// draw chooses the plan of one request. It draws the same count of numbers
// for every request, so that a mode does not shift the draws of later ones.
func (s *Server) draw() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f := s.faults.inForce(now.Sub(s.faultsSet))
	stall, fail, half := s.source.Float64(), s.source.Float64(), s.source.Float64()
	factor := math.Exp(s.options.Sigma * s.source.NormFloat64())
	p := plan{
		faults: f, end: s.faultsEnd,
		stall: stall < f.Stall, fail: fail < f.ErrorRate, half: half < f.HalfResponse,
		cold: now.Sub(s.started) < s.options.ColdFor, draining: !s.drainingSince.IsZero(),
	}
	if f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	if p.cold {
		factor *= s.options.ColdFactor
	}
	p.service = time.Duration(float64(s.options.MedianService) * factor)
	return p
}
