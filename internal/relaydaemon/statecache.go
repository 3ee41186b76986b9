package relaydaemon

import (
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// cacheLifetime is how long an encoded state may be given to others. Its ages are told as
// they are at the end of that.
const cacheLifetime = 100 * time.Millisecond

// maxStateSize bounds the directory of a peer, in bytes.
const maxStateSize = 16 << 20

// stateCache keeps the state that was encoded last: when a configuration is new or many
// processes start, all ask for the same.
type stateCache struct {
	known     directory.Digest
	digest    directory.Digest
	encodedAt time.Duration
	encoded   []byte
}

// encode returns the compressed state beyond what another process knows.
func (c *stateCache) encode(now time.Duration, known, digest directory.Digest, buildState func() directory.State) ([]byte, error) {
	if c.encoded != nil && c.known == known && c.digest == digest && now-c.encodedAt < cacheLifetime {
		return c.encoded, nil
	}
	state := buildState()
	state.Age += cacheLifetime
	plain, err := state.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	*c = stateCache{known: known, digest: digest, encodedAt: now, encoded: s2.Encode(nil, plain)}
	return c.encoded, nil
}

// decodeState reads a state that another process has encoded.
func decodeState(encoded []byte) (directory.State, error) {
	var state directory.State
	length, err := s2.DecodedLen(encoded)
	if err != nil {
		return state, errors.Wrap(err, "directory of a peer")
	}
	if length > maxStateSize {
		return state, errors.Errorf("directory of a peer: %d bytes", length)
	}
	plain, err := s2.Decode(nil, encoded)
	if err != nil {
		return state, errors.Wrap(err, "directory of a peer")
	}
	_, err = state.UnmarshalMsg(plain)
	return state, errors.Wrap(err, "directory of a peer")
}
