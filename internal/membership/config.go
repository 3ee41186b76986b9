// This file defines the settings of a Machine and their defaults.

package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaximumDatagramSize bounds an encoded message in bytes, without IP and UDP
	// headers.
	MaximumDatagramSize = 1200
	// MaximumAttachmentSize bounds the attachment in bytes.
	MaximumAttachmentSize = 64
	// maximumUpdateSize is the longest encoding of an update in bytes, by the
	// msgp formats of its fields.
	maximumUpdateSize = 31
	// syncUpdates is how many updates fit in a sync response beside the
	// other fields: sender, digests of all zones and attachment.
	syncUpdates = (MaximumDatagramSize - 64 - MaximumZones*8 - MaximumAttachmentSize) / maximumUpdateSize
	// maximumUpdates bounds the updates that are read from one message.
	maximumUpdates = MaximumDatagramSize / 20
	// maximumSeeds bounds the seeds kept.
	maximumSeeds = 64
)

// Config holds the settings of a Machine.
type Config struct {
	// Self names this process.
	Self Identity
	// Random decides whom to ping. The machine alone may use it.
	Random *rand.Rand
	// ProbeInterval is the time between two probes of zone members.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct ping may take before others are asked
	// to ping too.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionTimeout is how long a suspected member has for refuting.
	SuspicionTimeout time.Duration
	// RemoteInterval is the time between two pings into other zones.
	RemoteInterval time.Duration
	// ReconnectInterval is the time between two pings of failed members or
	// seeds.
	ReconnectInterval time.Duration
	// SyncInterval is the least time between two sync requests.
	SyncInterval time.Duration
	// GossipBytes bounds the updates attached to one message.
	GossipBytes int
	// UnreachableTimeout is how long nothing may be heard of a zone, beside
	// the expected time between two messages, before it is unreachable.
	UnreachableTimeout time.Duration
	// Retention is how long failed members, members that left, and members of
	// an unreachable zone are remembered.
	Retention time.Duration
	// MemberLimit bounds the members remembered.
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

// Validate returns an error that names the first setting that cannot be used.
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
		return errors.New("membership: no own address")
	case c.Self.Zone >= MaximumZones:
		return errors.Errorf("membership: zone %d must be below %d", c.Self.Zone, MaximumZones)
	case c.Random == nil:
		return errors.New("membership: no source of randomness")
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.New("membership: probe timeout must be below the probe interval")
	case c.GossipBytes < maximumUpdateSize || c.GossipBytes > MaximumDatagramSize/2:
		return errors.Errorf("membership: gossip bytes must be from %d to %d", maximumUpdateSize, MaximumDatagramSize/2)
	case c.MemberLimit < 1:
		return errors.New("membership: member limit must be positive")
	}
	return nil
}
