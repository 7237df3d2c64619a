package proxy

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	keyHeader            = "X-Arbutus-Key"
	idempotencyKeyHeader = "Idempotency-Key"
	bearerPrefix         = "Bearer "
	// keyPrefix begins every key that arbutuslink generates.
	keyPrefix = "al_"
	// minSecretLength is the shortest secret that is searched for on its own
	// outside the key header. Manually chosen secrets can be shorter and would
	// match ordinary text. Generated secrets have 43 characters.
	minSecretLength = 8
	// maxDecodePasses bounds repeated percent-decoding; a request that is still
	// percent-encoded after it is malformed.
	maxDecodePasses = 4
	// maxIdempotencyKeyBytes is the longest accepted Idempotency-Key in bytes.
	maxIdempotencyKeyBytes = 255
)

// presentedKey is the key that a caller sent with a request; it may be invalid.
type presentedKey struct {
	value string
	// header is the name of the header that carried it.
	header string
}

// secret returns the part of the key that must not reach a target anywhere in
// a request: the part after the first dot, or the whole key if that part is
// shorter than minSecretLength.
func (k presentedKey) secret() string {
	_, secret, _ := strings.Cut(k.value, ".")
	if len(secret) < minSecretLength {
		return k.value
	}
	return secret
}

// bearerKey returns the bearer token in the value of an Authorization header
// and whether it has the form of a key of arbutuslink.
func bearerKey(value []byte) (string, bool) {
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(string(value[:len(bearerPrefix)]), bearerPrefix) {
		return "", false
	}
	token := strings.TrimSpace(string(value[len(bearerPrefix):]))
	return token, strings.HasPrefix(token, keyPrefix)
}

// findKey returns the key of a request and the name of the header that carries
// it. An Authorization header without a key of arbutuslink is meant for the
// target and ignored.
func findKey(h *fasthttp.RequestHeader) (key, header string, err error) {
	var bearer []string
	for _, value := range h.PeekAll(fasthttp.HeaderAuthorization) {
		if key, ok := bearerKey(value); ok {
			bearer = append(bearer, key)
		}
	}
	values := h.PeekAll(keyHeader)
	switch {
	case len(values)+len(bearer) == 0:
		return "", "", refusal.New(refusal.KeyMissing, nil)
	case len(values)+len(bearer) > 1:
		return "", "", refusal.New(refusal.KeyMisplaced, nil)
	case len(values) == 1:
		return string(values[0]), keyHeader, nil
	default:
		return bearer[0], fasthttp.HeaderAuthorization, nil
	}
}

// admit checks the request, its key, the batch and the route, and chooses the
// service.
func (c *call) admit() error {
	source := &c.caller.Request.Header
	key, header, err := c.p.dialect.FindKey(source)
	var refused *refusal.Refusal
	if err != nil && (!errors.As(err, &refused) || refused.Code != refusal.KeyMissing.Code) {
		return err
	}
	c.key = presentedKey{key, header}
	if !validRequestTarget(source.RequestURI()) || len(source.Host()) == 0 {
		return refusal.New(refusal.RequestInvalid, nil)
	}
	c.copyHeader()
	if c.key.value != "" {
		if err := c.checkMisplaced(); err != nil {
			return err
		}
	}
	c.cleanHeader()
	c.host, c.method = string(source.Host()), string(source.Method())
	sentPath, _, _ := bytes.Cut(source.RequestURI(), []byte{'?'})
	c.sentPath = string(sentPath)
	c.path = c.sentPath
	if !c.p.dialect.LiteralPaths {
		c.path = string(c.caller.Path())
	}
	// An instance whose configuration may be out of date cannot tell whether a key
	// or route exists.
	if !c.p.ServeChecker.MayServe() {
		return refusal.New(refusal.InstanceNotFresh, nil)
	}
	match, err := c.authorize()
	if err != nil {
		return err
	}
	c.request.Service = match.Route.ChooseService(rand.Float64())
	return nil
}

// authorize checks key, team, batch and route against the current View and
// sets the fields of c that they determine, except for the service.
func (c *call) authorize() (config.RouteMatch, error) {
	c.view = c.p.Viewer.View()
	snapshot := c.view.Config
	match, routeFound := snapshot.Match(c.host, c.method, c.path)
	team := ""
	if !routeFound || !match.Route.Public {
		var err error
		if team, err = c.authenticate(snapshot); err != nil {
			return match, err
		}
	}
	if !routeFound {
		return match, refusal.New(refusal.RouteUnknown, nil)
	}
	if !match.Route.Public && !match.Admits(team) {
		return match, refusal.New(refusal.RouteClosed, nil)
	}
	if c.path != c.sentPath {
		// The target may or may not normalise the path, so both forms must have one route.
		if sent, found := snapshot.Match(c.host, c.method, c.sentPath); !found || sent.ID != match.ID {
			return match, refusal.New(refusal.RequestInvalid, nil)
		}
	}
	teamConfig := snapshot.Config.Teams[team]
	c.request = Request{
		ID: c.requestID, Team: team, Batch: teamConfig.Batch, Route: match.ID, Service: c.request.Service,
		PathPrefix: match.Route.PathPrefix, HedgePercent: match.Route.HedgePercent,
		Idempotent: match.Route.Idempotent, Priority: match.Route.Priority, Objective: match.Route.Objective(),
		Deadline: c.request.Deadline,
	}
	if teamConfig.Priority != nil {
		c.request.Priority = *teamConfig.Priority
	}
	c.timeout = c.p.dialect.callerTimeout(&c.caller.Request.Header, match.Route.Timeout())
	c.maxAttempts, c.maxRedirects = 1, match.Route.MaxRedirects
	if match.Route.Idempotent {
		c.maxAttempts = max(1, match.Route.MaxAttempts)
	}
	return match, nil
}

// authenticate returns the team of the presented key. It fails if the key is
// missing or unknown, or the contract of the team's batch has expired.
func (c *call) authenticate(snapshot *config.Snapshot) (team string, err error) {
	if c.key.header == "" {
		return "", refusal.New(refusal.KeyMissing, nil)
	}
	_, team, ok := snapshot.Authenticate(c.key.value)
	if !ok {
		return "", refusal.New(refusal.KeyInvalid, nil)
	}
	if !snapshot.BatchActive(team, c.p.Clock.Now(), c.p.options.ClockError) {
		return "", refusal.New(refusal.BatchExpired, nil)
	}
	return team, nil
}

// recheckAdmission repeats the checks of admission immediately before the write of an
// attempt. The fence (ServeChecker) is checked last, so that only the write follows it, but
// for the target: what the fence waits for may withdraw it. Errors are *refusal.Refusal and
// *TargetWithdrawnError.
func (c *call) recheckAdmission(attempt Attempt) error {
	admitted := c.request
	view := c.p.Viewer.View()
	if view != c.view {
		match, err := c.authorize()
		if err != nil {
			return err
		}
		current := c.request
		c.request = admitted
		if current.Team != admitted.Team || current.Route != admitted.Route || !match.Route.UsesService(admitted.Service) ||
			current.Idempotent != admitted.Idempotent {
			// The rate token, the claim and the queue slot were taken for another
			// team, route, service or idempotency. The caller may repeat the request
			// after 1 ms.
			return refusal.WithRetryAfter(refusal.InstanceNotFresh, time.Millisecond)
		}
	} else if admitted.Team != "" && !view.Config.BatchActive(admitted.Team, c.p.Clock.Now(), c.p.options.ClockError) {
		return refusal.New(refusal.BatchExpired, nil)
	}
	if c.p.Clock.SinceBoot() >= admitted.Deadline {
		return refusal.New(refusal.Overloaded, nil)
	}
	if err := c.checkDrain(); err != nil {
		return err
	}
	if err := c.recheckSuspect(); err != nil {
		return err
	}
	if !c.p.ServeChecker.MayServe() {
		return refusal.New(refusal.InstanceNotFresh, nil)
	}
	if IsWithdrawn(attempt) {
		return errors.WithStack(&TargetWithdrawnError{Target: attempt.Target()})
	}
	return nil
}

// checkDrain refuses a request that a shutdown of this instance may break off. Its caller may
// send it to another instance at once.
func (c *call) checkDrain() error {
	if c.p.drainPlan.Load().Accepts(c.p.Clock.SinceBoot(), c.request.Deadline) {
		return nil
	}
	return refusal.WithRetryAfter(refusal.ShuttingDown, time.Millisecond)
}

// claim records the idempotency key of a request on a route that deduplicates
// requests. A request without the header is forwarded without a claim.
func (c *call) claim(ctx context.Context) error {
	if !c.view.Config.Config.Routes[c.request.Route].Deduplicate {
		return nil
	}
	values := c.caller.Request.Header.PeekAll(idempotencyKeyHeader)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || len(values[0]) == 0 || len(values[0]) > maxIdempotencyKeyBytes {
		return refusal.New(refusal.RequestInvalid, nil)
	}
	var err error
	if releasing, ok := c.p.Claims.(ReleasingClaims); ok {
		c.releaseClaim, err = releasing.ClaimReleasable(ctx, c.request.Team, c.request.Route, string(values[0]))
	} else {
		err = c.p.Claims.Claim(ctx, c.request.Team, c.request.Route, string(values[0]))
	}
	if err != nil {
		return asRefusal(err, refusal.ClaimUnavailable)
	}
	return nil
}

// validRequestTarget accepts an HTTP request target (path and query) in origin
// form without dot segments. It is forwarded byte for byte, so the router here
// and the server behind it must understand its path in the same way.
func validRequestTarget(uri []byte) bool {
	if len(uri) == 0 || uri[0] != '/' {
		return false
	}
	for _, b := range uri {
		if b <= ' ' || b == 0x7f || b == '#' {
			return false
		}
	}
	path, _, _ := bytes.Cut(uri, []byte{'?'})
	if bytes.IndexByte(path, '%') < 0 && bytes.IndexByte(path, '.') < 0 && bytes.IndexByte(path, '\\') < 0 {
		return true
	}
	decoded, err := url.PathUnescape(string(path))
	if err != nil || strings.ContainsAny(decoded, "\\\x00\r\n") {
		return false
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// checkMisplaced refuses a request whose request line or headers other than the
// key header contain the secret, also percent-encoded. Header names lose their
// case in parsing, so the comparison ignores case.
func (c *call) checkMisplaced() error {
	secret := bytes.ToLower([]byte(c.key.secret()))
	if len(secret) == 0 {
		return refusal.New(refusal.KeyInvalid, nil)
	}
	// sendBuffer is not in use before the first attempt.
	c.sendBuffer = appendLower(c.sendBuffer[:0], c.header.Header())
	for range maxDecodePasses {
		if bytes.Contains(c.sendBuffer, secret) {
			return refusal.New(refusal.KeyMisplaced, nil)
		}
		if !decodePercent(&c.sendBuffer) {
			return nil
		}
	}
	return refusal.New(refusal.RequestInvalid, nil)
}

// appendLower appends src with ASCII letters in lower case.
func appendLower(dst, src []byte) []byte {
	for _, b := range src {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		dst = append(dst, b)
	}
	return dst
}

// decodePercent replaces valid percent-encodings in place by the lower-case
// characters that they encode, and reports whether there were any.
func decodePercent(buf *[]byte) bool {
	b, n := *buf, 0
	for i := 0; i < len(b); i, n = i+1, n+1 {
		b[n] = b[i]
		if b[i] != '%' || i+2 >= len(b) {
			continue
		}
		hi, lo := hexValue(b[i+1]), hexValue(b[i+2])
		if hi >= 0 && lo >= 0 {
			b[n] = byte(hi<<4 | lo)
			if 'A' <= b[n] && b[n] <= 'Z' {
				b[n] += 'a' - 'A'
			}
			i += 2
		}
	}
	*buf = b[:n]
	return n < len(b)
}

// hexValue returns the value of a lower-case hexadecimal digit, or -1.
func hexValue(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	default:
		return -1
	}
}
