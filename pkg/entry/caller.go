package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/directory"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Paths that the instance serves itself instead of forwarding them to targets.
const (
	reservedPrefix = "/.arbutus/"
	directoryPath  = reservedPrefix + "directory"
)

// serveCaller handles the requests on the caller listener: it serves the directory,
// refuses other reserved paths, and passes all other requests to the proxy.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == directoryPath:
		i.serveDirectory(ctx)
		i.counters.countRequest(noRoute, &ctx.Response.Header)
	case strings.HasPrefix(path, reservedPrefix):
		proxy.WriteRefusal(ctx, refusal.New(refusal.RouteUnknown, nil))
		i.counters.countRequest(noRoute, &ctx.Response.Header)
	default:
		i.proxy.Handle(ctx)
		i.countProxied(ctx, path)
		dropRequestIDWithKey(&ctx.Response.Header)
	}
}

const (
	requestIDHeader = "X-Request-Id"
	keyPrefix       = "al_" // start of every caller key
)

// dropRequestIDWithKey removes the request id header from a refusal if it contains a
// key, because the proxy echoes the id that the caller sent.
func dropRequestIDWithKey(h *fasthttp.ResponseHeader) {
	if len(h.Peek(refusal.CodeHeader)) > 0 && bytes.Contains(h.Peek(requestIDHeader), []byte(keyPrefix)) {
		h.Del(requestIDHeader)
	}
}

// serveDirectory answers an authenticated caller with the addresses to use.
func (i *Instance) serveDirectory(ctx *fasthttp.RequestCtx) {
	view := i.control.View()
	key := proxy.PresentedKey(&ctx.Request.Header)
	if key == "" {
		proxy.WriteRefusal(ctx, refusal.New(refusal.KeyMissing, nil))
		return
	}
	_, team, ok := view.Config.Authenticate(key)
	if !ok {
		proxy.WriteRefusal(ctx, refusal.New(refusal.KeyInvalid, nil))
		return
	}
	answer := i.directory.Answer(view, team, ctx.RemoteIP().String(), directory.State{
		MayServe: i.control.MayServe() && !i.paths.Lost(), Leaving: i.lifecycle.leaving.Load(),
	})
	data, err := answer.JSON()
	if err != nil {
		proxy.WriteRefusal(ctx, refusal.New(refusal.RequestInvalid, err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// countParseErrors wraps the server's error handler so that refusals of requests
// that cannot be parsed are counted too.
func (i *Instance) countParseErrors(refuse func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		refuse(ctx, err)
		i.counters.countRequest(noRoute, &ctx.Response.Header)
	}
}
