package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/directory"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	reservedPrefix = "/.arbutus/"
	directoryPath  = reservedPrefix + "directory"
)

// serveCaller is the handler of the callers' listener.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == directoryPath:
		i.serveDirectory(ctx)
		i.counters.request(noRoute, &ctx.Response.Header)
	case strings.HasPrefix(path, reservedPrefix):
		proxy.WriteRefusal(ctx, refusal.New(refusal.RouteUnknown, nil))
		i.counters.request(noRoute, &ctx.Response.Header)
	default:
		i.proxy.Handle(ctx)
		i.countForwarded(ctx, path)
		hideKey(&ctx.Response.Header)
	}
}

const (
	requestIDHeader = "X-Request-Id"
	keyPrefix       = "al_"
)

// hideKey drops the request id of a refusal when it holds a key: the proxy
// repeats the id that the caller gave.
func hideKey(h *fasthttp.ResponseHeader) {
	if len(h.Peek(refusal.CodeHeader)) > 0 && bytes.Contains(h.Peek(requestIDHeader), []byte(keyPrefix)) {
		h.Del(requestIDHeader)
	}
}

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
		Fresh: i.control.MayServe(), Leaving: i.lifecycle.leaving.Load(),
	})
	data, err := answer.JSON()
	if err != nil {
		proxy.WriteRefusal(ctx, refusal.New(refusal.RequestInvalid, err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// countInputErrors counts the refusals of requests that cannot be parsed.
func (i *Instance) countInputErrors(refuse func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		refuse(ctx, err)
		i.counters.request(noRoute, &ctx.Response.Header)
	}
}
