package proxy

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// retryAfterMSHeader carries the wait in ms; Retry-After is rounded up to seconds.
const retryAfterMSHeader = "Retry-After-Ms"

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    refusal.Code    `json:"code"`
	Outcome refusal.Outcome `json:"outcome"`
	Message string          `json:"message"`
}

// refuse responds to the caller with the refusal in err. If a target may have run
// the request, the outcome is unknown whatever the reason for the refusal.
func (c *call) refuse(err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.TargetFailed, err)
	}
	reply := *r
	if c.mayHaveRun() {
		reply.Outcome = refusal.OutcomeUnknown
	}
	if reply.Outcome == refusal.OutcomeUnknown && c.mayHaveRun() && !c.request.Idempotent {
		event.OutcomeUnknown.Log(c.p.Log).Str("request_id", c.requestID).Str("route", c.request.Route).
			Str("team", c.request.Team).Str("code", string(reply.Code)).AnErr("cause", reply.Cause).Send()
	}
	c.refusalCode, c.refusalCause = reply.Code, reply.Cause
	c.p.dialect.WriteRefusal(c.caller, &reply)
	c.caller.Response.Header.Set(c.p.dialect.RequestIDHeader, c.requestID)
}

// WriteRefusal writes r as the response of ctx, in the format of the default dialect.
func WriteRefusal(ctx *fasthttp.RequestCtx, r *refusal.Refusal) {
	response := &ctx.Response
	response.Reset()
	response.SetStatusCode(r.Status)
	h := &response.Header
	h.SetContentType("application/json")
	h.Set(refusal.CodeHeader, string(r.Code))
	h.Set(refusal.OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilDiv(r.RetryAfter, time.Second), 10))
		h.Set(retryAfterMSHeader, strconv.FormatInt(ceilDiv(r.RetryAfter, time.Millisecond), 10))
	}
	// Marshalling three strings cannot fail.
	body, _ := json.Marshal(refusalBody{r.Code, r.Outcome, r.Meaning})
	response.SetBodyRaw(body)
}

// ceilDiv returns d in units, rounded up.
func ceilDiv(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }
