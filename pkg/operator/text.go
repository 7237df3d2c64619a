package operator

import (
	"mime"
	"regexp"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// keyPattern matches a caller key anywhere in a text. An operator may have put one
// in the wrong place, for example as the value of sha256 or as a key id.
var keyPattern = regexp.MustCompile(`al_[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+`)

// minTokenLength is the length in bytes from which tokens are removed; shorter
// ones would match ordinary text.
const minTokenLength = 8

// redact removes caller keys and the token in the request's Authorization header
// from a text that is logged or sent back.
func redact(ctx *fasthttp.RequestCtx, text string) string {
	text = keyPattern.ReplaceAllString(text, "[caller key]")
	header := string(ctx.Request.Header.Peek(api.HeaderAuthorization))
	if token := strings.TrimPrefix(header, api.AuthorizationPrefix); len(token) >= minTokenLength {
		text = strings.ReplaceAll(text, token, "[operator token]")
	}
	return text
}

// mediaType drops the parameters of a Content-Type header, such as charset.
func mediaType(header string) string {
	parsed, _, err := mime.ParseMediaType(header)
	if err != nil {
		return header
	}
	return parsed
}
