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
	keyPrefix            = "al_"
	// minSecretLength exempts hand-made short secrets from the search for
	// misplaced secrets, which would match ordinary text. Generated secrets
	// have 43 characters.
	minSecretLength = 8
	// maxDecodings bounds repeated percent-decoding; a request that is still
	// encoded after it is malformed.
	maxDecodings = 4
	// maxIdempotencyKey is the longest accepted Idempotency-Key in bytes.
	maxIdempotencyKey = 255
)

// presentedKey is the key that came with a request.
type presentedKey struct {
	value string
	// header is the name of the header that carried it.
	header string
}

// secret returns the part of the key that must never reach a target in any place.
func (k presentedKey) secret() string {
	_, secret, _ := strings.Cut(k.value, ".")
	if len(secret) < minSecretLength {
		return k.value
	}
	return secret
}

// bearerKey returns the key in the value of an Authorization header.
func bearerKey(value []byte) (string, bool) {
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(string(value[:len(bearerPrefix)]), bearerPrefix) {
		return "", false
	}
	token := strings.TrimSpace(string(value[len(bearerPrefix):]))
	return token, strings.HasPrefix(token, keyPrefix)
}

// findKey returns the key of a request and its header. An Authorization header
// that carries no key of arbutuslink is left to the target.
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

// admit checks the request, its key, the batch and the route.
func (c *call) admit() error {
	source := &c.caller.Request.Header
	key, header, err := c.p.dialect.FindKey(source)
	var missing *refusal.Refusal
	if err != nil && (!errors.As(err, &missing) || missing.Code != refusal.KeyMissing.Code) {
		return err
	}
	c.key = presentedKey{key, header}
	if !validTarget(source.RequestURI()) || len(source.Host()) == 0 {
		return refusal.New(refusal.RequestInvalid, nil)
	}
	c.copyHeader()
	if c.key.value != "" {
		if err := c.checkMisplaced(); err != nil {
			return err
		}
	}
	c.cleanHeader()
	c.host, c.method, c.path = string(source.Host()), string(source.Method()), string(c.caller.Path())
	// An instance that is not fresh cannot tell whether a key or route exists.
	if !c.p.Freshness.Fresh() {
		return refusal.New(refusal.NotFresh, nil)
	}
	match, err := c.authorize()
	if err != nil {
		return err
	}
	c.request.Service = match.Route.Choose(rand.Float64())
	return nil
}

// authorize checks key, team, batch and route against the current View and
// fixes what they determine, except for the service.
func (c *call) authorize() (config.RouteMatch, error) {
	c.view = c.p.Viewer.View()
	snapshot := c.view.Config
	match, found := snapshot.Match(c.host, c.method, c.path)
	team := ""
	if !found || !match.Route.Public {
		var err error
		if team, err = c.authenticate(snapshot); err != nil {
			return match, err
		}
	}
	if !found {
		return match, refusal.New(refusal.RouteUnknown, nil)
	}
	if !match.Route.Public && !match.Open(team) {
		return match, refusal.New(refusal.RouteClosed, nil)
	}
	terms := snapshot.Config.Teams[team]
	c.request = Request{
		ID: c.requestID, Team: team, Batch: terms.Batch, Route: match.ID, Service: c.request.Service,
		Idempotent: match.Route.Idempotent, Priority: match.Route.Priority, Objective: match.Route.Objective(),
		Deadline: c.request.Deadline,
	}
	if terms.Priority != nil {
		c.request.Priority = *terms.Priority
	}
	c.timeout = c.p.dialect.callerTimeout(&c.caller.Request.Header, match.Route.Timeout())
	c.attempts, c.redirects = 1, match.Route.MaxRedirects
	if match.Route.Idempotent {
		c.attempts = max(1, match.Route.MaxAttempts)
	}
	return match, nil
}

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

// recheck repeats the checks of admission right before a write. The fence is
// asked last, so that nothing but the write follows it.
func (c *call) recheck() error {
	admitted := c.request
	view := c.p.Viewer.View()
	if view != c.view {
		match, err := c.authorize()
		if err != nil {
			return err
		}
		now := c.request
		c.request = admitted
		if now.Team != admitted.Team || now.Route != admitted.Route || !match.Route.Serves(admitted.Service) ||
			now.Idempotent != admitted.Idempotent {
			// Rate, claim and place were taken under other terms. The caller may repeat the request at once.
			return refusal.After(refusal.NotFresh, time.Millisecond)
		}
	} else if admitted.Team != "" && !view.Config.BatchActive(admitted.Team, c.p.Clock.Now(), c.p.options.ClockError) {
		return refusal.New(refusal.BatchExpired, nil)
	}
	if c.p.Clock.SinceBoot() >= admitted.Deadline {
		return refusal.New(refusal.Overloaded, nil)
	}
	if !c.p.Freshness.Fresh() {
		return refusal.New(refusal.NotFresh, nil)
	}
	return nil
}

// claim records the idempotency key of a request on a route that deduplicates.
// A request without the header is forwarded without a claim.
func (c *call) claim(ctx context.Context) error {
	if !c.view.Config.Config.Routes[c.request.Route].Deduplicate {
		return nil
	}
	values := c.caller.Request.Header.PeekAll(idempotencyKeyHeader)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || len(values[0]) == 0 || len(values[0]) > maxIdempotencyKey {
		return refusal.New(refusal.RequestInvalid, nil)
	}
	var err error
	if releasing, ok := c.p.Claims.(ReleasingClaims); ok {
		c.release, err = releasing.ClaimReleasable(ctx, c.request.Team, c.request.Route, string(values[0]))
	} else {
		err = c.p.Claims.Claim(ctx, c.request.Team, c.request.Route, string(values[0]))
	}
	if err != nil {
		return asRefusal(err, refusal.ClaimUnavailable)
	}
	return nil
}

// validTarget accepts an origin-form request target without dot segments. The
// target is forwarded byte for byte, so its path must mean the same to the
// router and to the server behind it.
func validTarget(uri []byte) bool {
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

// checkMisplaced refuses a request whose header, without the key header, still
// contains the key or its secret. Header names lose
// their case in parsing, so the comparison ignores case.
func (c *call) checkMisplaced() error {
	secret := bytes.ToLower([]byte(c.key.secret()))
	if len(secret) == 0 {
		return refusal.New(refusal.KeyInvalid, nil)
	}
	// wire is free until the first attempt.
	c.wire = appendLower(c.wire[:0], c.header.Header())
	for range maxDecodings {
		if bytes.Contains(c.wire, secret) {
			return refusal.New(refusal.KeyMisplaced, nil)
		}
		if !decodePercent(&c.wire) {
			return nil
		}
	}
	return refusal.New(refusal.RequestInvalid, nil)
}

func appendLower(dst, src []byte) []byte {
	for _, b := range src {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		dst = append(dst, b)
	}
	return dst
}

// decodePercent decodes the valid percent-encodings in place, in lower case,
// and tells whether there were any.
func decodePercent(buf *[]byte) bool {
	b, n := *buf, 0
	for i := 0; i < len(b); i, n = i+1, n+1 {
		b[n] = b[i]
		if b[i] != '%' || i+2 >= len(b) {
			continue
		}
		hi, lo := unhex(b[i+1]), unhex(b[i+2])
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

func unhex(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	default:
		return -1
	}
}
