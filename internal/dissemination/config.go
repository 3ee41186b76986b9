// This file defines the settings of a Machine and their defaults.

package dissemination

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	// MaximumDatagramSize bounds an encoded message in bytes, without IP and UDP
	// headers.
	MaximumDatagramSize = membership.MaximumDatagramSize
	// messageOverhead bounds the encoding of a message without deltas and
	// names.
	messageOverhead = 64
	// deltaOverhead bounds the encoding of a delta beside its payload.
	deltaOverhead = 15
	// namedMembers bounds the members named in one zone report; an address
	// takes nine bytes.
	namedMembers = 100
)

// Config holds the settings of a Machine.
type Config struct {
	// Self names this process.
	Self membership.Identity
	// Random decides whom to push to and pull from. The machine alone may use
	// it.
	Random *rand.Rand
	// ZoneFanout is to how many members of its zone each member pushes.
	ZoneFanout int
	// RemoteFanout is to how many members of another zone or region one member
	// pushes.
	RemoteFanout int
	// PullDelay is the longest time to wait for a push before a pull.
	PullDelay time.Duration
	// PullTimeout is the time after which a pull is repeated.
	PullTimeout time.Duration
	// FetchTimeout is the time after which a fetch over a connection is given
	// up.
	FetchTimeout time.Duration
	// HistoryBytes bounds the payloads kept for others.
	HistoryBytes int
	// StatusTimeout is the time after which a status request is repeated, up
	// to StatusTries in all.
	StatusTimeout  time.Duration
	StatusAttempts int
	// ReportTimeout is the time after which other members of a zone are asked
	// for a report, up to ReportTries times, ReportFanout at a time.
	ReportTimeout  time.Duration
	ReportAttempts int
	ReportFanout   int
}

// DefaultConfig returns the settings for a fleet of up to 1,100 members.
func DefaultConfig(self membership.Identity, random *rand.Rand) Config {
	return Config{
		Self:           self,
		Random:         random,
		ZoneFanout:     4,
		RemoteFanout:   2,
		PullDelay:      300 * time.Millisecond,
		PullTimeout:    500 * time.Millisecond,
		FetchTimeout:   30 * time.Second,
		HistoryBytes:   256 << 10,
		StatusTimeout:  400 * time.Millisecond,
		StatusAttempts: 4,
		ReportTimeout:  2200 * time.Millisecond,
		ReportAttempts: 3,
		ReportFanout:   2,
	}
}

// Validate returns an error that names the first setting that cannot be used.
func (c Config) Validate() error {
	switch {
	case c.Self.Address == 0 || c.Self.Zone >= membership.MaximumZones:
		return errors.New("dissemination: no usable identity")
	case c.Random == nil:
		return errors.New("dissemination: no source of randomness")
	case c.ZoneFanout < 1 || c.RemoteFanout < 1:
		return errors.New("dissemination: fanouts must be positive")
	case c.PullDelay <= 0 || c.PullTimeout <= 0 || c.FetchTimeout <= 0:
		return errors.New("dissemination: pull and fetch times must be positive")
	case c.StatusTimeout <= 0 || c.ReportTimeout <= 0:
		return errors.New("dissemination: survey times must be positive")
	case c.StatusAttempts < 1 || c.ReportAttempts < 1 || c.ReportFanout < 1:
		return errors.New("dissemination: survey tries and fanout must be positive")
	}
	return nil
}
