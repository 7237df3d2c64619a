package proxy

import "github.com/valyala/fasthttp"

// PresentedKey returns the caller's key of a request, or an empty string.
func PresentedKey(h *fasthttp.RequestHeader) string {
	key, _, err := findKey(h)
	if err != nil {
		return ""
	}
	return key
}
