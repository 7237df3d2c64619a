package upstreamsim

import (
	"hash/fnv"
	"io"
)

// Body returns the body of the correct response to a request, which depends only
// on the request id.
func Body(id string) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	size := 20 + int(h.Sum64()%3000)
	body := make([]byte, size)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	return body
}

// Signature returns the value of SignatureHeader in a response: the ids of the
// target and of the request.
func Signature(target, id string) string { return target + "." + id }

// Digest returns the FNV-1a hash of a body.
func Digest(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}
