package platformsim

import (
	"encoding/xml"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// objectError is an error response of the S3 API.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func (s *Server) serveObject(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet():
		s.withFaults(ctx, objectRead, s.getObject)
	case ctx.IsPut():
		s.withFaults(ctx, objectWrite, s.putObject)
	default:
		writeObjectError(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed", "")
	}
}

// objectName returns the object name in the path. Otherwise it responds with an
// error and returns false.
func (s *Server) objectName(ctx *fasthttp.RequestCtx) (string, bool) {
	path, err := url.PathUnescape(strings.TrimPrefix(string(ctx.URI().PathOriginal()), "/"))
	if err != nil {
		writeObjectError(ctx, fasthttp.StatusBadRequest, "InvalidURI", err.Error())
		return "", false
	}
	bucket, name, _ := strings.Cut(path, "/")
	if bucket != s.options.Bucket {
		writeObjectError(ctx, fasthttp.StatusNotFound, "NoSuchBucket", bucket)
		return "", false
	}
	if name == "" {
		writeObjectError(ctx, fasthttp.StatusNotImplemented, "NotImplemented", "operations on buckets")
		return "", false
	}
	return name, true
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx) {
	name, ok := s.objectName(ctx)
	if !ok {
		return
	}
	data, err := s.state.Objects().Get(s.context, name)
	if err != nil {
		writeStoreError(ctx, err)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(data)
}

func (s *Server) putObject(ctx *fasthttp.RequestCtx) {
	name, ok := s.objectName(ctx)
	if !ok {
		return
	}
	header := &ctx.Request.Header
	if string(header.Peek("If-None-Match")) != "*" {
		writeObjectError(ctx, fasthttp.StatusNotImplemented, "NotImplemented", "writes without If-None-Match: *")
		return
	}
	if strings.Contains(string(header.Peek("Content-Encoding")), "aws-chunked") {
		writeObjectError(ctx, fasthttp.StatusNotImplemented, "NotImplemented", "aws-chunked bodies")
		return
	}
	if err := s.state.Objects().Put(s.context, name, ctx.PostBody()); err != nil {
		writeStoreError(ctx, err)
	}
}

func writeStoreError(ctx *fasthttp.RequestCtx, err error) {
	var missing *platform.NotFoundError
	var exists *platform.ConditionError
	switch {
	case errors.As(err, &missing):
		writeObjectError(ctx, fasthttp.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
	case errors.As(err, &exists):
		writeObjectError(ctx, fasthttp.StatusPreconditionFailed, "PreconditionFailed",
			"At least one of the pre-conditions you specified did not hold")
	default:
		writeObjectError(ctx, fasthttp.StatusInternalServerError, "InternalError", err.Error())
	}
}

func writeObjectError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	body, err := xml.Marshal(&objectError{Code: code, Message: message})
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/xml")
	ctx.SetBody(body)
}
