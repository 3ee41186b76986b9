package relaydaemon

import (
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

func TestStateCacheReusesCurrentState(t *testing.T) {
	g := gomega.NewWithT(t)
	var cache stateCache
	builds := 0
	encode := func(now time.Duration, known, digest directory.Digest) directory.State {
		encoded, err := cache.encode(now, known, digest, func() directory.State {
			builds++
			return directory.State{Through: digest.Revision, ConfigurationVersion: digest.ConfigurationVersion, Confirmed: true, Age: time.Second}
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		state, err := decodeState(encoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return state
	}
	known, digest := directory.Digest{ConfigurationVersion: 1, Revision: 2}, directory.Digest{ConfigurationVersion: 3, Revision: 4}
	first := encode(0, known, digest)
	g.Expect(first.Through).To(gomega.Equal(directory.Revision(4)))
	g.Expect(first.Age).To(gomega.Equal(time.Second+cacheLifetime), "age at the end of the cache lifetime")
	encode(cacheLifetime-1, known, digest)
	g.Expect(builds).To(gomega.Equal(1), "cached state reused for the same digests")
	encode(cacheLifetime-1, digest, digest)
	encode(cacheLifetime-1, digest, directory.Digest{ConfigurationVersion: 3, Revision: 5})
	g.Expect(builds).To(gomega.Equal(3))
	encode(2*cacheLifetime, digest, directory.Digest{ConfigurationVersion: 3, Revision: 5})
	g.Expect(builds).To(gomega.Equal(4), "cached state expired")
}

func TestDecodeStateRejectsInvalidData(t *testing.T) {
	g := gomega.NewWithT(t)
	huge := append([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}, make([]byte, 100)...)
	for _, encoded := range [][]byte{nil, {1, 2, 3}, huge, s2.Encode(nil, []byte("no state"))} {
		_, err := decodeState(encoded)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}
