package relaydaemon

import (
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// cacheLifetime is how long an encoded state may be reused. The ages in the state include
// this time, so that a reused state never seems more recent than it is.
const cacheLifetime = 100 * time.Millisecond

// maxStateSize bounds the directory state of another balancer, in bytes, both as received
// and decompressed.
const maxStateSize = 16 << 20

// stateCache keeps the last encoded state, because many balancers request the same state
// when a configuration is new or when many of them start at once.
type stateCache struct {
	known     directory.Digest
	digest    directory.Digest
	encodedAt time.Duration
	encoded   []byte
}

// encode returns the compressed state for a process that has the digest known. buildState
// is called only if the cached state is for other digests or too old.
func (c *stateCache) encode(now time.Duration, known, digest directory.Digest, buildState func() directory.State) ([]byte, error) {
	if c.encoded != nil && c.known == known && c.digest == digest && now-c.encodedAt < cacheLifetime {
		return c.encoded, nil
	}
	state := buildState()
	delayed := state.Delayed(cacheLifetime)
	plain, err := delayed.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode directory for peer")
	}
	*c = stateCache{known: known, digest: digest, encodedAt: now, encoded: s2.Encode(nil, plain)}
	return c.encoded, nil
}

// decodeState decodes a compressed state of another balancer.
func decodeState(encoded []byte) (directory.State, error) {
	var state directory.State
	length, err := s2.DecodedLen(encoded)
	if err != nil {
		return state, errors.Wrap(err, "read size of compressed directory of peer")
	}
	if length > maxStateSize {
		return state, errors.Errorf("decompressed directory of peer exceeds the size limit: %d bytes", length)
	}
	plain, err := s2.Decode(nil, encoded)
	if err != nil {
		return state, errors.Wrap(err, "decompress directory of peer")
	}
	_, err = state.UnmarshalMsg(plain)
	return state, errors.Wrap(err, "decode directory of peer")
}
