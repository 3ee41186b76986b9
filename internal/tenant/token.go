// This file generates tokens and computes their hashes.

package tenant

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

const (
	tokenPrefix = "vanetiller_"
	tokenBytes  = 32
	hashPrefix  = "sha256:"
)

// Token is the bearer token of a caller. It has 256 random bits, so that an
// unsalted hash is sufficient: a brute-force search for the token is infeasible.
type Token string

// Hash is the SHA-256 hash of a token.
type Hash [sha256.Size]byte

// NewToken generates a random token.
func NewToken() Token {
	var secret [tokenBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret[:])
	return Token(tokenPrefix + base64.RawURLEncoding.EncodeToString(secret[:]))
}

// Hash returns the hash to store in the tokens file.
func (t Token) Hash() Hash { return sha256.Sum256([]byte(t)) }

// String returns the format of the tokens file, such as "sha256:0f3a...".
func (h Hash) String() string { return hashPrefix + hex.EncodeToString(h[:]) }

// ParseHash parses the format returned by String.
func ParseHash(text string) (Hash, error) {
	var parsed Hash
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found || len(digits) != hex.EncodedLen(len(parsed)) {
		return Hash{}, errors.Errorf("must be %q and %d hexadecimal digits", hashPrefix, hex.EncodedLen(len(parsed)))
	}
	if _, err := hex.Decode(parsed[:], []byte(digits)); err != nil {
		return Hash{}, errors.Errorf("must be %q and %d hexadecimal digits", hashPrefix, hex.EncodedLen(len(parsed)))
	}
	return parsed, nil
}
