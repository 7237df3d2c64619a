// Package upstreamsim simulates a target that uses the wire format of the
// users' platform. It injects the faults that the users' documentation describes:
// wrong, late, duplicate, partial or missing responses, and connections that are
// closed at any time.
package upstreamsim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the wire format. A response with NotExecutedHeader states that the
// target did not execute the request.
const (
	RequestIDHeader   = "Arbutuslink-Request-Id"
	TimeoutHeader     = "Arbutuslink-Timeout-Ms"
	TenantHeader      = "Arbutuslink-Tenant"
	TargetHeader      = "Arbutuslink-Target-Instance"
	SignatureHeader   = "Arbutuslink-Server-Signature"
	LoadHeader        = "Arbutuslink-Server-Load"
	NotExecutedHeader = "Arbutuslink-Not-Executed"
)

// Faults are the fractions of requests, 0 to 1, into which each fault is
// injected. At most one fault applies to a request.
type Faults struct {
	// Fail responds with 500 at once. Hang sends no response and closes the
	// connection when the timeout of the request has passed.
	Fail, Hang float64
	// LoseResponse executes the request and resets the connection instead of responding.
	LoseResponse float64
	// Truncate closes the connection after half of the response body. ResetDuringResponse
	// resets it after a random number of bytes of the response.
	Truncate, ResetDuringResponse float64
	// TrailingBytes sends surplus bytes after the response. DuplicateResponse sends a
	// complete second response at once, LateDuplicate sends one 30 ms later.
	TrailingBytes, DuplicateResponse, LateDuplicate float64
	// NoContentLength responds without Content-Length and closes the connection.
	NoContentLength float64
	// Garbage sends bytes that are not an HTTP response, some of which nearly are one.
	Garbage float64
	// EarlyResponse responds with 503 before the request body has been read.
	EarlyResponse float64
	// TruncateHeader closes the connection within the header of the response.
	TruncateHeader float64
	// Close responds with Connection: close.
	Close float64
	// Refuse responds with 503 that the request was not executed. RepeatRefusal writes the
	// last such response on the connection once more while it executes the request; with
	// AnonymousRefusals, refusals that are repeated do not name their request.
	Refuse, RepeatRefusal float64
	AnonymousRefusals     bool
	// Endless sends bytes in the given form until the caller closes the connection.
	Endless float64
	Form    EndlessForm
}

// EndlessForm is what an endless response consists of.
type EndlessForm int

// Forms of endless responses.
const (
	EndlessHeaders EndlessForm = iota
	EndlessHeaderLine
	EndlessInterim
	EndlessChunks
	EndlessChunkExtension
	EndlessChunkSize
	EndlessTrailers
	EndlessBody
	EndlessSurplus
	HugeContentLength
	// The following forms are no responses from their first byte on.
	EndlessGarbage
	EndlessGarbageLines
	EndlessBlankLines
	EndlessStatusLine
	// EndlessFormCount is the number of forms.
	EndlessFormCount
)

// Options configure a target.
type Options struct {
	// ID is the id of the target in the platform's list of targets.
	ID string
	// Service and Zone are stated in the target's entry of that list.
	Service, Zone string
	// Address is IP:port; empty selects a free port of 127.0.0.1.
	Address string
	// BodyBytes is the size of a response's body; 0 takes that of Body.
	BodyBytes int
	// Slots is the number of requests that execute at once. Up to twice as many
	// wait in a queue; further requests are answered with 503.
	Slots int
	// MeanDuration is the mean duration of a request. Durations are uniform between half
	// and one and a half times the mean.
	MeanDuration time.Duration
	// IdleTimeout is the read timeout after which an idle connection is closed; 0
	// means 10 s.
	IdleTimeout time.Duration
	// Seed drives the faults and the durations of requests.
	Seed uint64
	// Work returns how long a request with this path and query takes in place of
	// MeanDuration; nil or 0 leaves it.
	Work func(path string) time.Duration
	// Crashes reports whether a request with this path and query crashes the target while
	// it runs; nil means that none does. OnCrash ends the target then, with Close.
	Crashes func(path string) bool
	OnCrash func(*Server)
}

// Execution is the execution of one request, recorded when it starts.
type Execution struct {
	ID, Tenant, Method, Path, Target, Service string
	// BodyDigest is the digest of the request body.
	BodyDigest uint64
	// KeySeen reports that the request carried an Authorization header, in which
	// callers send their key; it must not reach a target.
	KeySeen bool
	// StartedAt is the start of the execution.
	StartedAt time.Time
	// Answered is set just before the target writes a response with status 200,
	// whether or not an injected fault then damages that response.
	Answered bool
}

// Server is one running target. It is safe for concurrent use.
type Server struct {
	Options
	listener net.Listener
	slots    chan struct{}

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	slowFactor float64
	says       statements
	cold       []coldSpan
	reports    int
	waiting    int
	executions []*Execution
	conns      map[net.Conn]struct{}
	// garbageCount is the number of garbage responses so far.
	garbageCount int
	// garbageEvery is that of SetGarbageEvery, responseCount the number of responses of which
	// it makes some garbage.
	garbageEvery, responseCount int
	// closed is set once Close was called, crashed once a request has crashed the target.
	closed, crashed bool
}

// Start opens the listener and serves it in the background until Close.
func Start(o Options) (*Server, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 10 * time.Second
	}
	listener, err := reusePort.Listen(context.Background(), "tcp", o.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{
		Options: o, listener: listener, slots: make(chan struct{}, o.Slots), slowFactor: 1, conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(o.Seed, 7)),
	}
	go s.accept()
	return s, nil
}

// Addr returns the IP:port that the target listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetFaults replaces the fault fractions; slowFactor multiplies the duration of
// each request.
func (s *Server) SetFaults(m Faults, slowFactor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.slowFactor = m, slowFactor
}

// ListEntry returns the JSON entry that the target writes about itself into the
// platform's list of targets. Each is another report of it. address is the address at
// which it is reached.
func (s *Server) ListEntry(state, address string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	return fmt.Appendf(nil, `{"address":%q,"born":1,"info":{"service":%q,"zone":%q,"slots":%d,"version":"v1"},"status":{"state":%q,"seq":%d,"warmup_left":"%dms"}}`,
		address, s.Service, s.Zone, s.Slots, state, s.reports, s.warmupLeft().Milliseconds())
}

// Executions returns copies of all recorded executions in the order of their start.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make([]Execution, len(s.executions))
	for i, r := range s.executions {
		executions[i] = *r
	}
	return executions
}

// Close closes the listener and resets all connections, as a crash would.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		reset(c)
	}
}

// crash ends the target because of a request.
func (s *Server) crash() {
	s.mu.Lock()
	first := !s.crashed && !s.closed
	s.crashed = true
	s.mu.Unlock()
	if first {
		s.OnCrash(s)
	}
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		closed := s.closed
		s.mu.Unlock()
		if closed {
			reset(c)
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	refused := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(s.IdleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil || !s.handle(c, r, &refused) {
			return
		}
	}
}

// handle answers one request. It reports whether the connection stays open for
// further requests. refused is the id of the last request that was refused on it.
func (s *Server) handle(c net.Conn, r *http.Request, refused *string) bool {
	id := r.Header.Get(RequestIDHeader)
	s.arrived(r)
	s.mu.Lock()
	injected, duration := s.faults.pickFault(s.rng.Float64()), time.Duration(float64(s.MeanDuration)*s.slowFactor*(0.5+s.rng.Float64()))
	s.mu.Unlock()
	if s.Work != nil {
		if work := s.Work(r.URL.RequestURI()); work > 0 {
			duration = work
		}
	}
	if injected == earlyResponse && id != "" && r.Header.Get(TargetHeader) == s.ID {
		s.recordExecution(r, nil)
		return s.writeResponse(c, id, http.StatusServiceUnavailable, injected) && discardBody(c, r)
	}
	_ = c.SetReadDeadline(time.Now().Add(s.IdleTimeout))
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return false
	case id == "":
		return s.writeNotExecuted(c, id, http.StatusBadRequest, "")
	case r.Header.Get(TargetHeader) != s.ID:
		return s.writeNotExecuted(c, id, http.StatusMisdirectedRequest, "")
	case s.refusesWithPause():
		*refused = id
		return s.writePause(c, id, r.Header.Get(InstanceHeader))
	case injected == refuse || !s.acquireSlot():
		*refused = id
		return s.writeNotExecuted(c, id, http.StatusServiceUnavailable, "")
	}
	defer func() { <-s.slots }()
	execution := s.recordExecution(r, body)
	if injected == fail {
		return s.writeResponse(c, id, http.StatusInternalServerError, injected)
	}
	timeout, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || time.Duration(timeout)*time.Millisecond < duration || injected == hang {
		time.Sleep(time.Duration(timeout) * time.Millisecond)
		return false
	}
	if s.Crashes != nil && s.Crashes(r.URL.RequestURI()) {
		time.Sleep(duration / 2)
		s.crash()
		return false
	}
	if injected == repeatRefusal && *refused != "" && !s.repeatRefusal(c, refused) {
		return false
	}
	time.Sleep(duration)
	if injected == loseResponse {
		reset(c)
		return false
	}
	s.mu.Lock()
	execution.Answered = true
	s.mu.Unlock()
	return s.writeResponse(c, id, http.StatusOK, injected)
}

// discardBody reads the rest of the body of a request that has been answered
// already. It reports whether the connection can be used further.
func discardBody(c net.Conn, r *http.Request) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// acquireSlot waits for a slot. It returns false at once if twice as many
// requests as there are slots wait already.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	if s.waiting >= 2*s.Slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

// recordExecution records that the execution of the request has started.
func (s *Server) recordExecution(r *http.Request, body []byte) *Execution {
	execution := &Execution{
		ID: r.Header.Get(RequestIDHeader), Tenant: strings.Join(r.Header.Values(TenantHeader), ", "), Method: r.Method, Path: r.URL.RequestURI(),
		Target: s.ID, Service: s.Service, BodyDigest: Digest(body), KeySeen: r.Header.Get("Authorization") != "", StartedAt: time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, execution)
	return execution
}
