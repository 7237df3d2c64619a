package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/document"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Server serves the operator API.
type Server struct {
	coordinator Coordinator
	dumper      Dumper
	metrics     fasthttp.RequestHandler
	// tokenDigests maps operator names to the SHA-256 digests of their tokens in hex.
	tokenDigests map[string]string
	log          *zerolog.Logger
}

// New returns a server. tokenDigests maps operator names to the SHA-256 digests of
// their tokens in hex; metrics answers scrapes of api.MetricsPath.
func New(c Coordinator, d Dumper, metrics fasthttp.RequestHandler, tokenDigests map[string]string, log *zerolog.Logger) *Server {
	return &Server{coordinator: c, dumper: d, metrics: metrics, tokenDigests: tokenDigests, log: log}
}

// Handle authenticates the operator and answers the request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	author, ok := s.authenticate(string(ctx.Request.Header.Peek(api.HeaderAuthorization)))
	if !ok {
		event.AuthFailed.Log(s.log).Stringer("remote", ctx.RemoteAddr()).Send()
		replyFailure(ctx, fasthttp.StatusUnauthorized, api.Failure{Code: api.CodeUnauthorized, Message: "the operator token is missing or wrong"})
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == api.ConfigPath && method == fasthttp.MethodGet:
		s.getConfig(ctx)
	case path == api.ConfigPath && method == fasthttp.MethodPatch:
		s.patchConfig(ctx, author)
	case path == api.HistoryPath && method == fasthttp.MethodGet:
		s.getHistory(ctx)
	case path == api.StatusPath && method == fasthttp.MethodGet:
		reply(ctx, fasthttp.StatusOK, s.coordinator.Status())
	case path == api.MembershipPath && method == fasthttp.MethodGet:
		reply(ctx, fasthttp.StatusOK, s.coordinator.Members())
	case path == api.ReplacePath && method == fasthttp.MethodPost:
		s.replaceMembership(ctx)
	case path == api.DumpPath && method == fasthttp.MethodGet:
		reply(ctx, fasthttp.StatusOK, s.dumper.Dump())
	case path == api.MetricsPath && method == fasthttp.MethodGet:
		s.metrics(ctx)
	default:
		s.replyUnknownEndpoint(ctx, path)
	}
}

// allowedMethods holds the value of the Allow header for each path.
var allowedMethods = map[string]string{
	api.ConfigPath:     fasthttp.MethodGet + ", " + fasthttp.MethodPatch,
	api.HistoryPath:    fasthttp.MethodGet,
	api.StatusPath:     fasthttp.MethodGet,
	api.MembershipPath: fasthttp.MethodGet,
	api.ReplacePath:    fasthttp.MethodPost,
	api.DumpPath:       fasthttp.MethodGet,
	api.MetricsPath:    fasthttp.MethodGet,
}

// replyUnknownEndpoint answers a request for an unknown path or with a method that
// the path does not allow.
func (s *Server) replyUnknownEndpoint(ctx *fasthttp.RequestCtx, path string) {
	methods, ok := allowedMethods[path]
	if !ok {
		replyFailure(ctx, fasthttp.StatusNotFound, api.Failure{Code: api.CodeNotFound, Message: "unknown path " + path})
		return
	}
	ctx.Response.Header.Set(api.HeaderAllow, methods)
	replyFailure(ctx, fasthttp.StatusMethodNotAllowed, api.Failure{Code: api.CodeMethodNotAllowed, Message: "the method is not allowed on " + path})
}

// authenticate returns the name of the operator whose token is in the header. It
// compares against every token so that the time taken does not reveal which names
// exist.
func (s *Server) authenticate(header string) (name string, ok bool) {
	sum := sha256.Sum256([]byte(strings.TrimPrefix(header, api.AuthorizationPrefix)))
	digest := []byte(hex.EncodeToString(sum[:]))
	for candidate, want := range s.tokenDigests {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(want))) == 1 {
			name, ok = candidate, true
		}
	}
	return name, ok && strings.HasPrefix(header, api.AuthorizationPrefix)
}

func (s *Server) getConfig(ctx *fasthttp.RequestCtx) {
	version, c, err := s.coordinator.Current(ctx)
	if err != nil {
		s.replyError(ctx, err)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(version))
	reply(ctx, fasthttp.StatusOK, api.Document{Version: version, Config: c})
}

func (s *Server) getHistory(ctx *fasthttp.RequestCtx) {
	since, err := strconv.ParseInt(string(ctx.QueryArgs().Peek(api.ParameterSince)), 10, 64)
	if err != nil && ctx.QueryArgs().Has(api.ParameterSince) {
		s.replyError(ctx, &requestError{"since must be a version number"})
		return
	}
	changes, err := s.coordinator.History(ctx, since)
	if err != nil {
		s.replyError(ctx, err)
		return
	}
	reply(ctx, fasthttp.StatusOK, api.History{Changes: changes})
}

func (s *Server) patchConfig(ctx *fasthttp.RequestCtx, author string) {
	expected, err := parseETag(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)))
	if err != nil {
		replyFailure(ctx, fasthttp.StatusPreconditionRequired, api.Failure{
			Code: api.CodeVersionMissing, Applied: api.AppliedNo,
			Message: `the header If-Match must name the version that the patch was written against, such as "12"`,
		})
		return
	}
	version, err := s.coordinator.Propose(ctx, Proposal{
		Expected: expected, Author: author,
		MediaType: mediaType(string(ctx.Request.Header.ContentType())), Patch: ctx.PostBody(),
	})
	if err != nil {
		event.PatchRefused.Log(s.log).Str("author", author).Int64("expected", expected).Str("error", redact(ctx, err.Error())).Send()
		s.replyPatchError(ctx, expected, err)
		return
	}
	event.PatchAccepted.Log(s.log).Str("author", author).Int64("version", version).Send()
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(version))
	reply(ctx, fasthttp.StatusAccepted, api.PatchResult{Version: version, State: api.Accepted})
}

// replyPatchError answers a refused patch. The answer to a stale patch lists the
// changes since its version.
func (s *Server) replyPatchError(ctx *fasthttp.RequestCtx, expected int64, err error) {
	var stale *StaleVersionError
	if !errors.As(err, &stale) {
		s.replyError(ctx, err)
		return
	}
	// The history only helps the operator to rebase the patch, so the refusal is sent
	// without it if it cannot be read.
	changes, _ := s.coordinator.History(ctx, expected)
	replyFailure(ctx, fasthttp.StatusPreconditionFailed, api.Failure{
		Code: api.CodeStaleVersion, Message: stale.Error(), Applied: api.AppliedNo, Current: stale.Current, Changes: changes,
	})
}

func (s *Server) replaceMembership(ctx *fasthttp.RequestCtx) {
	var r api.Replacement
	if err := document.Decode(ctx.PostBody(), &r); err != nil {
		s.replyError(ctx, err)
		return
	}
	if err := s.coordinator.Replace(ctx, r.Gone); err != nil {
		s.replyError(ctx, err)
		return
	}
	reply(ctx, fasthttp.StatusOK, s.coordinator.Members())
}

// replyError answers with the status and failure code for an error.
func (s *Server) replyError(ctx *fasthttp.RequestCtx, err error) {
	failure := api.Failure{Message: err.Error(), Applied: api.AppliedNo}
	var (
		invalid     *document.InvalidError
		syntax      *document.SyntaxError
		patch       *config.PatchError
		patchType   *config.UnknownPatchTypeError
		request     *requestError
		pending     *PendingError
		replaced    *ReplaceError
		unreachable *UnavailableError
	)
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.As(err, &invalid):
		status, failure.Code = fasthttp.StatusUnprocessableEntity, api.CodePatchInvalid
		for _, f := range invalid.Fields {
			failure.Fields = append(failure.Fields, api.InvalidField{Path: f.Path, Value: formatValue(f.Value), Allowed: f.Allowed})
		}
	case errors.As(err, &syntax), errors.As(err, &patch):
		status, failure.Code = fasthttp.StatusUnprocessableEntity, api.CodePatchInvalid
	case errors.As(err, &patchType):
		status, failure.Code = fasthttp.StatusUnsupportedMediaType, api.CodeMediaTypeUnsupported
	case errors.As(err, &request):
		status, failure.Code = fasthttp.StatusBadRequest, api.CodeRequestInvalid
	case errors.As(err, &pending):
		status, failure.Code = fasthttp.StatusConflict, api.CodePreviousPending
	case errors.As(err, &replaced):
		status, failure.Code = fasthttp.StatusConflict, api.CodeReplacementRefused
	case errors.As(err, &unreachable):
		status, failure.Code = fasthttp.StatusServiceUnavailable, api.CodePlatformUnavailable
		if unreachable.OutcomeUnknown {
			failure.Applied = api.AppliedUnknown
		}
	default:
		failure.Code, failure.Applied = api.CodeInternal, api.AppliedUnknown
	}
	replyFailure(ctx, status, failure)
}

// formatValue returns a value as JSON, or "" if it cannot be encoded.
func formatValue(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// parseETag returns the version in an If-Match header, which may lack the quotes.
func parseETag(value string) (int64, error) {
	text, err := strconv.Unquote(value)
	if err != nil {
		text = value
	}
	version, err := strconv.ParseInt(text, 10, 64)
	return version, errors.WithStack(err)
}

// reply answers with a body encoded as JSON.
func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		replyFailure(ctx, fasthttp.StatusInternalServerError, api.Failure{Code: api.CodeInternal, Message: err.Error()})
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(api.ContentTypeJSON)
	ctx.SetBody(data)
}

// replyFailure answers with a failure, from which it removes caller keys and the
// operator's token.
func replyFailure(ctx *fasthttp.RequestCtx, status int, failure api.Failure) {
	if failure.Code != api.CodeUnauthorized {
		failure.Message = redact(ctx, failure.Message)
	}
	for i := range failure.Fields {
		failure.Fields[i].Path = redact(ctx, failure.Fields[i].Path)
		failure.Fields[i].Value = redact(ctx, failure.Fields[i].Value)
	}
	// Failure holds only strings and numbers and always encodes.
	data, _ := json.Marshal(failure)
	ctx.SetStatusCode(status)
	ctx.SetContentType(api.ContentTypeJSON)
	ctx.SetBody(data)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retryAfter/time.Second)))
	}
}

// retryAfter is the Retry-After value sent while the platform is unavailable.
const retryAfter = 5 * time.Second
