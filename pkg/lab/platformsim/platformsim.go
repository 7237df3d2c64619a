// Package platformsim simulates the platform over HTTP: the subset of the
// DynamoDB and S3 APIs that pkg/platform/dynamo and pkg/platform/s3 use, and
// the instance list. State is kept in memory only.
//
// The service listener serves POST / (DynamoDB JSON 1.0), GET and PUT of
// /bucket/name (S3), GET /instances ([]platform.InstanceListEntry) and POST /instances
// (ListChange). The admin listener serves GET and POST /admin/faults (Faults)
// and GET /admin/stats (Stats).
package platformsim

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
)

// DefaultName is the name of the table and of the bucket when none is given.
const DefaultName = "arbutuslink"

// Options configure a Server.
type Options struct {
	// Address and AdminAddress are IP:port; empty selects a free port of
	// 127.0.0.1.
	Address      string
	AdminAddress string
	// Table and Bucket are the names of the only table and the only bucket; empty
	// means DefaultName.
	Table  string
	Bucket string
	// Seed drives the random selection of writes by LoseAnswers.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
	// Clock drives the delays and the lag of the list; nil means the system clock.
	Clock clock.Clock
}

// Server is the simulated platform.
type Server struct {
	options       Options
	clock         clock.Clock
	faultInjector faultInjector
	state         *memory.Platform
	// kept is the copy of the state that /admin/copy made last, nil before that.
	kept    atomic.Pointer[memory.Copy]
	service *httpserver.Server
	admin   *httpserver.Server

	// context ends on Close and wakes delayed requests.
	context context.Context
	cancel  context.CancelFunc
}

const anyLocalPort = "127.0.0.1:0"

// New returns a server that does not listen yet.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	for _, field := range []*string{&o.Table, &o.Bucket} {
		if *field == "" {
			*field = DefaultName
		}
	}
	for _, field := range []*string{&o.Address, &o.AdminAddress} {
		if *field == "" {
			*field = anyLocalPort
		}
	}
	s := &Server{
		options: o, clock: o.Clock,
		state: memory.New(memory.Options{Clock: o.Clock}),
	}
	s.faultInjector.rng = rand.New(rand.NewPCG(o.Seed, 0))
	s.context, s.cancel = context.WithCancel(context.Background())
	s.service = httpserver.New(o.Address, 0, s.serve)
	s.admin = httpserver.New(o.AdminAddress, 0, s.serveAdmin)
	return s
}

// Start opens both listeners. It fails with *FaultsError when the initial
// faults are out of range and with *httpserver.ListenError.
func (s *Server) Start() error {
	if err := s.SetFaults(s.options.Faults); err != nil {
		return err
	}
	if err := s.service.Start(); err != nil {
		return err
	}
	if err := s.admin.Start(); err != nil {
		return errors.CombineErrors(err, s.service.Close())
	}
	return nil
}

// Close closes both listeners and all connections.
func (s *Server) Close() error {
	s.cancel()
	return errors.CombineErrors(s.service.Close(), s.admin.Close())
}

// Addr returns the address of the service listener, IP:port.
func (s *Server) Addr() string { return s.service.Addr() }

// AdminAddr returns the address of the admin listener, IP:port.
func (s *Server) AdminAddr() string { return s.admin.Addr() }

// URL returns the endpoint URL of the table and the object store.
func (s *Server) URL() string { return "http://" + s.Addr() }

// InstancesURL returns the URL of the instance list.
func (s *Server) InstancesURL() string { return s.URL() + instancesPath }

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faultInjector.get() }

// SetFaults replaces the faults. It fails with *FaultsError.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return errors.WithStack(err)
	}
	s.faultInjector.set(f)
	s.state.SetListLag(time.Duration(f.ListLagMS) * time.Millisecond)
	return nil
}

// Stats returns the request counts.
func (s *Server) Stats() Stats { return s.faultInjector.stats() }

// Change applies a change to the instance list.
func (s *Server) Change(c ListChange) {
	for _, address := range c.Deregister {
		s.state.Deregister(address)
	}
	for _, entry := range c.Register {
		s.state.Register(entry)
	}
}

// ListChange is the body of POST /instances.
type ListChange struct {
	// Register adds entries, or replaces those with the same address.
	Register []platform.InstanceListEntry `json:"register"`
	// Deregister holds the addresses to remove, before Register is applied.
	Deregister []string `json:"deregister"`
}

const instancesPath = "/instances"

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == instancesPath:
		s.serveInstances(ctx)
	case path == "/" && ctx.IsPost():
		s.serveTable(ctx)
	default:
		s.serveObject(ctx)
	}
}

func (s *Server) serveInstances(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet():
		s.withFaults(ctx, listRead, func(ctx *fasthttp.RequestCtx) {
			list, err := s.state.Instances().List(s.context)
			if err != nil {
				drop(ctx)
				return
			}
			httpserver.WriteJSON(ctx, list)
		})
	case ctx.IsPost():
		s.withFaults(ctx, listWrite, func(ctx *fasthttp.RequestCtx) {
			var change ListChange
			if httpserver.ReadJSON(ctx, &change) {
				s.Change(change)
				ctx.SetStatusCode(fasthttp.StatusNoContent)
			}
		})
	default:
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/admin/stats" && ctx.IsGet():
		httpserver.WriteJSON(ctx, s.Stats())
	case path == "/admin/copy" && ctx.IsPost():
		kept := s.state.Copy()
		s.kept.Store(&kept)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case path == "/admin/restore" && ctx.IsPost():
		s.restore(ctx)
	case path == "/admin/faults" && ctx.IsGet():
		httpserver.WriteJSON(ctx, s.Faults())
	case path == "/admin/faults" && ctx.IsPost():
		faults := s.Faults()
		if !httpserver.ReadJSON(ctx, &faults) {
			return
		}
		if err := s.SetFaults(faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		httpserver.WriteJSON(ctx, faults)
	default:
		ctx.Error("no such resource", fasthttp.StatusNotFound)
	}
}

// RestoreRequest is the body of POST /admin/restore.
type RestoreRequest struct {
	// Objects says that the object store is restored as well.
	Objects bool `json:"objects"`
}

// restore goes back to the copy that was made last.
func (s *Server) restore(ctx *fasthttp.RequestCtx) {
	var request RestoreRequest
	if !httpserver.ReadJSON(ctx, &request) {
		return
	}
	kept := s.kept.Load()
	if kept == nil {
		ctx.Error("there is no copy", fasthttp.StatusConflict)
		return
	}
	s.state.Restore(*kept, request.Objects)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func drop(ctx *fasthttp.RequestCtx) { httpserver.Drop(ctx) }
