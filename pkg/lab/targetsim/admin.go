package targetsim

import (
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

func (s *Server) serveAdmin(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.serveAdminGet(ctx)
		return
	}
	if !ctx.IsPost() {
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	switch string(ctx.Path()) {
	case "/admin/faults":
		faults := s.Faults()
		if !httpserver.ReadJSON(ctx, &faults) {
			return
		}
		if err := s.SetFaults(faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		httpserver.WriteJSON(ctx, faults)
	case "/admin/drain":
		var request struct {
			Draining bool `json:"draining"`
		}
		if httpserver.ReadJSON(ctx, &request) {
			s.SetDraining(request.Draining)
		}
	case "/admin/restart":
		s.Restart()
	case "/admin/reset":
		s.Reset()
	default:
		ctx.Error("no such resource", fasthttp.StatusNotFound)
	}
}

func (s *Server) serveAdminGet(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/admin/faults":
		httpserver.WriteJSON(ctx, s.Faults())
	case "/admin/summary":
		httpserver.WriteJSON(ctx, s.Summary())
	case "/admin/executions":
		httpserver.WriteJSON(ctx, s.Executions(string(ctx.QueryArgs().Peek("request_id"))))
	default:
		ctx.Error("no such resource", fasthttp.StatusNotFound)
	}
}
