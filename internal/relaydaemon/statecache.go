package relaydaemon

import (
	"bytes"
	"compress/gzip"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// cacheLifetime is how long an encoded state may be given to others. Its ages are as much
// too low at the end.
const cacheLifetime = 100 * time.Millisecond

// stateCache keeps the state that was encoded last: when a configuration is new or many
// processes start, all ask for the same.
type stateCache struct {
	known   directory.Digest
	digest  directory.Digest
	at      time.Duration
	encoded []byte
}

// encode returns the compressed state beyond what another process knows.
func (c *stateCache) encode(now time.Duration, known, digest directory.Digest, state func() directory.State) ([]byte, error) {
	if c.encoded != nil && c.known == known && c.digest == digest && now-c.at < cacheLifetime {
		return c.encoded, nil
	}
	described := state()
	described.Age += cacheLifetime
	plain, err := described.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	*c = stateCache{known: known, digest: digest, at: now, encoded: compressed.Bytes()}
	return c.encoded, nil
}
