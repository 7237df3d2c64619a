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

// Server answers operators.
type Server struct {
	coordinator Coordinator
	dumper      Dumper
	metrics     fasthttp.RequestHandler
	tokens      map[string]string
	log         *zerolog.Logger
}

// New returns a server. tokens maps operator names to SHA-256 digests in hex;
// metrics serves the scrape endpoint.
func New(c Coordinator, d Dumper, metrics fasthttp.RequestHandler, tokens map[string]string, log *zerolog.Logger) *Server {
	return &Server{coordinator: c, dumper: d, metrics: metrics, tokens: tokens, log: log}
}

// Handle is the fasthttp handler.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	author, ok := s.authenticate(string(ctx.Request.Header.Peek(api.HeaderAuthorization)))
	if !ok {
		event.AuthFailed.Log(s.log).Stringer("remote", ctx.RemoteAddr()).Send()
		fail(ctx, fasthttp.StatusUnauthorized, api.Failure{Code: api.CodeUnauthorized, Message: "the operator token is missing or wrong"})
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
		s.replace(ctx)
	case path == api.DumpPath && method == fasthttp.MethodGet:
		reply(ctx, fasthttp.StatusOK, s.dumper.Dump())
	case path == api.MetricsPath && method == fasthttp.MethodGet:
		s.metrics(ctx)
	default:
		s.unknown(ctx, path)
	}
}

// allowedMethods lists the methods of each path for the header Allow.
var allowedMethods = map[string]string{
	api.ConfigPath:     fasthttp.MethodGet + ", " + fasthttp.MethodPatch,
	api.HistoryPath:    fasthttp.MethodGet,
	api.StatusPath:     fasthttp.MethodGet,
	api.MembershipPath: fasthttp.MethodGet,
	api.ReplacePath:    fasthttp.MethodPost,
	api.DumpPath:       fasthttp.MethodGet,
	api.MetricsPath:    fasthttp.MethodGet,
}

func (s *Server) unknown(ctx *fasthttp.RequestCtx, path string) {
	methods, ok := allowedMethods[path]
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, api.Failure{Code: api.CodeNotFound, Message: "there is no " + path})
		return
	}
	ctx.Response.Header.Set(api.HeaderAllow, methods)
	fail(ctx, fasthttp.StatusMethodNotAllowed, api.Failure{Code: api.CodeMethod, Message: "the method is not allowed on " + path})
}

// authenticate compares against every token so that the time taken does not
// tell which names exist.
func (s *Server) authenticate(header string) (name string, ok bool) {
	sum := sha256.Sum256([]byte(strings.TrimPrefix(header, api.AuthorizationPrefix)))
	digest := []byte(hex.EncodeToString(sum[:]))
	for candidate, want := range s.tokens {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(want))) == 1 {
			name, ok = candidate, true
		}
	}
	return name, ok && strings.HasPrefix(header, api.AuthorizationPrefix)
}

func (s *Server) getConfig(ctx *fasthttp.RequestCtx) {
	version, c, err := s.coordinator.Current(ctx)
	if err != nil {
		s.failWith(ctx, err)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(version))
	reply(ctx, fasthttp.StatusOK, api.Document{Version: version, Config: c})
}

func (s *Server) getHistory(ctx *fasthttp.RequestCtx) {
	since, err := strconv.ParseInt(string(ctx.QueryArgs().Peek(api.ParameterSince)), 10, 64)
	if err != nil && ctx.QueryArgs().Has(api.ParameterSince) {
		s.failWith(ctx, &requestError{"since must be a version number"})
		return
	}
	changes, err := s.coordinator.History(ctx, since)
	if err != nil {
		s.failWith(ctx, err)
		return
	}
	reply(ctx, fasthttp.StatusOK, api.History{Changes: changes})
}

func (s *Server) patchConfig(ctx *fasthttp.RequestCtx, author string) {
	expected, err := parseETag(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)))
	if err != nil {
		fail(ctx, fasthttp.StatusPreconditionRequired, api.Failure{
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
		s.failPatch(ctx, expected, err)
		return
	}
	event.PatchAccepted.Log(s.log).Str("author", author).Int64("version", version).Send()
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(version))
	reply(ctx, fasthttp.StatusAccepted, api.PatchResult{Version: version, State: api.Accepted})
}

func (s *Server) failPatch(ctx *fasthttp.RequestCtx, expected int64, err error) {
	var stale *StaleVersionError
	if !errors.As(err, &stale) {
		s.failWith(ctx, err)
		return
	}
	// The history is a help to the operator; without it the refusal is still complete.
	changes, _ := s.coordinator.History(ctx, expected)
	fail(ctx, fasthttp.StatusPreconditionFailed, api.Failure{
		Code: api.CodeStaleVersion, Message: stale.Error(), Applied: api.AppliedNo, Current: stale.Current, Changes: changes,
	})
}

func (s *Server) replace(ctx *fasthttp.RequestCtx) {
	var r api.Replacement
	if err := document.Decode(ctx.PostBody(), &r); err != nil {
		s.failWith(ctx, err)
		return
	}
	if err := s.coordinator.Replace(ctx, r.Gone); err != nil {
		s.failWith(ctx, err)
		return
	}
	reply(ctx, fasthttp.StatusOK, s.coordinator.Members())
}

// failWith maps an error to an answer.
func (s *Server) failWith(ctx *fasthttp.RequestCtx, err error) {
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
			failure.Fields = append(failure.Fields, api.Field{Path: f.Path, Value: printValue(f.Value), Allowed: f.Allowed})
		}
	case errors.As(err, &syntax), errors.As(err, &patch):
		status, failure.Code = fasthttp.StatusUnprocessableEntity, api.CodePatchInvalid
	case errors.As(err, &patchType):
		status, failure.Code = fasthttp.StatusUnsupportedMediaType, api.CodeMediaType
	case errors.As(err, &request):
		status, failure.Code = fasthttp.StatusBadRequest, api.CodeRequestInvalid
	case errors.As(err, &pending):
		status, failure.Code = fasthttp.StatusConflict, api.CodePreviousPending
	case errors.As(err, &replaced):
		status, failure.Code = fasthttp.StatusConflict, api.CodeReplaceRefused
	case errors.As(err, &unreachable):
		status, failure.Code = fasthttp.StatusServiceUnavailable, api.CodePlatformDown
		if unreachable.OutcomeUnknown {
			failure.Applied = api.AppliedUnknown
		}
	default:
		failure.Code, failure.Applied = api.CodeInternal, api.AppliedUnknown
	}
	fail(ctx, status, failure)
}

func printValue(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

func parseETag(value string) (int64, error) {
	text, err := strconv.Unquote(value)
	if err != nil {
		text = value
	}
	version, err := strconv.ParseInt(text, 10, 64)
	return version, errors.WithStack(err)
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, api.Failure{Code: api.CodeInternal, Message: err.Error()})
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(api.ContentTypeJSON)
	ctx.SetBody(data)
}

func fail(ctx *fasthttp.RequestCtx, status int, failure api.Failure) {
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

// retryAfter is the wait suggested to operators while the platform is away.
const retryAfter = 5 * time.Second
