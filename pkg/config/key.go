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
	// keyPrefix marks the keys made by GenerateKey.
	keyPrefix = "al_"
	// keySecretBytes is the entropy of a key; with 32 bytes a plain digest is
	// safe against guessing.
	keySecretBytes = 32
)

// GenerateKey returns a new caller key with the given key id, and its stored form.
func GenerateKey(id, team string) (key string, stored Key) {
	secret := make([]byte, keySecretBytes)
	// crypto/rand.Read never returns an error; it ends the process if the random
	// source fails.
	_, _ = rand.Read(secret)
	key = keyPrefix + id + "." + base64.RawURLEncoding.EncodeToString(secret)
	return key, Key{Team: team, SHA256: digest(key)}
}

// digest returns the SHA-256 digest of a whole key in lower-case hex.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyDigest returns the value of Key.SHA256 for a key that was not made by
// GenerateKey but issued elsewhere.
func KeyDigest(key string) string { return digest(key) }

// Authenticate returns the id and the team of a presented key. It takes the
// same time for every wrong secret of an existing key id. A key that was issued
// elsewhere does not contain its id and is found by its digest.
func (s *Snapshot) Authenticate(presented string) (id, team string, ok bool) {
	sum := digest(presented)
	rest, hasID := strings.CutPrefix(presented, keyPrefix)
	if hasID {
		id, _, hasID = strings.Cut(rest, ".")
	}
	if !hasID {
		id = s.keyIDs[sum]
	}
	key, exists := s.Config.Keys[id]
	match := subtle.ConstantTimeCompare([]byte(sum), []byte(key.SHA256)) == 1
	if !exists || !match {
		return "", "", false
	}
	return id, key.Team, true
}
