// Package quarantine keeps requests that crash the targets which run them from
// reaching further targets.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
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

// Owner returns the one of some names that is responsible for the digest, the same at all
// instances that know the same names; "" without any.
func (d Digest) Owner(names []string) (owner string) {
	var highest uint64
	for _, name := range names {
		h := xxhash.New()
		_, _ = h.Write(d[:])
		_, _ = h.WriteString(name)
		if sum := h.Sum64(); owner == "" || sum > highest {
			owner, highest = name, sum
		}
	}
	return owner
}
