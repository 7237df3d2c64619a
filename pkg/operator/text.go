package operator

import (
	"mime"
	"regexp"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// keyPattern matches a caller key wherever an operator may have put it by
// mistake, for example as the value of sha256 or as a key id.
var keyPattern = regexp.MustCompile(`al_[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+`)

// minTokenLength exempts short tokens, which would match ordinary text.
const minTokenLength = 8

// redact removes caller keys, and the token of the operator who sent the
// request, from text that is logged or sent back.
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
