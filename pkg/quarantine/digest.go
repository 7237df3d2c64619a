// Package quarantine keeps requests that crash the targets which run them from
// reaching further targets.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies equal requests: those of one team with the same method, host,
// path, query and body. It is cryptographic, so that no team can make its requests look
// like those of another one.
type Digest [16]byte

// String returns the digest as logs show it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of a request. uri is the path with the query.
func DigestOf(team, method, host, uri string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{team, method, host, uri} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Digest(h.Sum(nil)[:len(Digest{})])
}
