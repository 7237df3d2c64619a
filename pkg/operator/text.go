package operator

import (
	"mime"
	"regexp"
)

// keyPattern matches a caller key wherever an operator may have put it by
// mistake, for example as the value of sha256 or as a key id.
var keyPattern = regexp.MustCompile(`al_[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+`)

// redactKeys removes caller keys from text that is logged or sent back.
func redactKeys(text string) string { return keyPattern.ReplaceAllString(text, "[caller key]") }

// mediaType drops the parameters of a Content-Type header, such as charset.
func mediaType(header string) string {
	parsed, _, err := mime.ParseMediaType(header)
	if err != nil {
		return header
	}
	return parsed
}
