package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix = "al_"
	// keySecretBytes of entropy make a plain digest safe against guessing.
	keySecretBytes = 32
)

// GenerateKey returns a new caller key for the key id and the form to store.
func GenerateKey(id, team string) (key string, stored Key) {
	secret := make([]byte, keySecretBytes)
	// crypto/rand.Read never fails; it ends the process if the source is broken.
	_, _ = rand.Read(secret)
	key = keyPrefix + id + "." + base64.RawURLEncoding.EncodeToString(secret)
	return key, Key{Team: team, SHA256: digest(key)}
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the stored form of a key that was issued elsewhere.
func Digest(key string) string { return digest(key) }

// Authenticate returns the id and the team of a presented key. It takes the
// same time for every wrong secret of an existing key id. A key that was issued
// elsewhere has no id in it and is found by its digest.
func (s *Snapshot) Authenticate(presented string) (id, team string, ok bool) {
	sum := digest(presented)
	rest, own := strings.CutPrefix(presented, keyPrefix)
	if own {
		id, _, own = strings.Cut(rest, ".")
	}
	if !own {
		id = s.digests[sum]
	}
	key, exists := s.Config.Keys[id]
	match := subtle.ConstantTimeCompare([]byte(sum), []byte(key.SHA256)) == 1
	if !exists || !match {
		return "", "", false
	}
	return id, key.Team, true
}
