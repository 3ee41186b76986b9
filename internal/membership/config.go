// This file defines the settings of a Machine and their defaults.

package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxDatagramSize is the largest encoded message in bytes, without IP and UDP
	// headers.
	MaxDatagramSize = 1200
	// MaxAttachmentSize is the largest attachment in bytes.
	MaxAttachmentSize = 64
	// maxUpdateSize is the longest msgp encoding of an update in bytes.
	maxUpdateSize = 31
	// updatesPerSyncResponse is the number of updates that fit in a sync response beside
	// the sender, the digests of all zones and the attachment.
	updatesPerSyncResponse = (MaxDatagramSize - 64 - MaxZones*8 - MaxAttachmentSize) / maxUpdateSize
	// maxUpdatesPerMessage limits the updates accepted in one message.
	maxUpdatesPerMessage = MaxDatagramSize / 20
	// maxSeeds limits the seeds that are kept.
	maxSeeds = 64
)

// Config holds the settings of a Machine.
type Config struct {
	// Self is the identity of this process.
	Self Identity
	// Random is used to choose peers. No other component may use it.
	Random *rand.Rand
	// ProbeInterval is the time between two probes of members of the own zone.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for the ack of a direct ping before other members
	// are asked to ping the target.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked.
	IndirectProbes int
	// SuspicionTimeout is the time a suspected member has to refute the suspicion.
	SuspicionTimeout time.Duration
	// RemoteInterval is the time between two pings to members of other zones.
	RemoteInterval time.Duration
	// ReconnectInterval is the time between two pings of failed members or seeds.
	ReconnectInterval time.Duration
	// SyncInterval is the minimum time between two sync requests.
	SyncInterval time.Duration
	// GossipBytes limits the size of the updates attached to one message.
	GossipBytes int
	// UnreachableTimeout is how long, in addition to the expected interval between
	// messages, a zone may be silent before it counts as unreachable.
	UnreachableTimeout time.Duration
	// Retention is how long members are kept that failed or left, or whose zone is
	// unreachable.
	Retention time.Duration
	// MemberLimit limits the members that are kept.
	MemberLimit int
}

// DefaultConfig returns the settings for a fleet of up to 1,100 members.
func DefaultConfig(self Identity, random *rand.Rand) Config {
	return Config{
		Self:               self,
		Random:             random,
		ProbeInterval:      time.Second,
		ProbeTimeout:       400 * time.Millisecond,
		IndirectProbes:     3,
		SuspicionTimeout:   4 * time.Second,
		RemoteInterval:     4 * time.Second,
		ReconnectInterval:  5 * time.Second,
		SyncInterval:       5 * time.Second,
		GossipBytes:        186,
		UnreachableTimeout: 8 * time.Second,
		Retention:          2 * time.Hour,
		MemberLimit:        4096,
	}
}

// Validate returns an error that names the first invalid setting.
func (c Config) Validate() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"probe interval", c.ProbeInterval},
		{"probe timeout", c.ProbeTimeout},
		{"suspicion timeout", c.SuspicionTimeout},
		{"remote interval", c.RemoteInterval},
		{"reconnect interval", c.ReconnectInterval},
		{"sync interval", c.SyncInterval},
		{"unreachable timeout", c.UnreachableTimeout},
		{"retention", c.Retention},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			return errors.Errorf("membership: %s must be positive", duration.name)
		}
	}
	switch {
	case c.Self.Address == 0:
		return errors.New("membership: the address of this process is missing")
	case c.Self.Zone >= MaxZones:
		return errors.Errorf("membership: zone number %d must be below %d", c.Self.Zone, MaxZones)
	case c.Random == nil:
		return errors.New("membership: the source of randomness is missing")
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.New("membership: probe timeout must be below the probe interval")
	case c.GossipBytes < maxUpdateSize || c.GossipBytes > MaxDatagramSize/2:
		return errors.Errorf("membership: gossip bytes must be from %d to %d", maxUpdateSize, MaxDatagramSize/2)
	case c.MemberLimit < 1:
		return errors.New("membership: member limit must be positive")
	}
	return nil
}
