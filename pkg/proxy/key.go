package proxy

import "github.com/valyala/fasthttp"

// PresentedKey returns the key that the caller sent in the format of the default
// dialect. It is empty if there is no key or more than one.
func PresentedKey(h *fasthttp.RequestHeader) string {
	key, _, err := findKey(h)
	if err != nil {
		return ""
	}
	return key
}
