// This file defines the settings of a Machine and their defaults.

package dissemination

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	// MaxDatagramSize is the largest encoded message in bytes, without IP and UDP
	// headers.
	MaxDatagramSize = membership.MaxDatagramSize
	// messageOverhead is an upper bound of the encoding of a message without deltas and
	// members.
	messageOverhead = 64
	// deltaOverhead is an upper bound of the encoding of a delta without its payload.
	deltaOverhead = 15
	// maxBehindMembers limits the members listed in one zone report. An address takes
	// nine bytes.
	maxBehindMembers = 100
)

// Config holds the settings of a Machine.
type Config struct {
	// Self is the identity of this process.
	Self membership.Identity
	// Random is used to choose peers. No other component may use it.
	Random *rand.Rand
	// ZoneFanout is the number of members of its own zone to which a member pushes.
	ZoneFanout int
	// RemoteFanout is the number of members of another zone or region to which a member
	// pushes.
	RemoteFanout int
	// PullDelay is the longest time to wait for a push before a pull.
	PullDelay time.Duration
	// PullTimeout is the time after which a pull is repeated.
	PullTimeout time.Duration
	// FetchTimeout is the time after which a fetch over a connection is abandoned.
	FetchTimeout time.Duration
	// HistoryBytes limits the payloads that are kept to serve pulls.
	HistoryBytes int
	// StatusTimeout is the time after which a status request is repeated, up to
	// StatusAttempts requests in all.
	StatusTimeout  time.Duration
	StatusAttempts int
	// ReportTimeout is the time after which other members of a zone are asked for its
	// report, up to ReportAttempts times, ReportFanout members at a time.
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

// Validate returns an error that names the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.Self.Address == 0 || c.Self.Zone >= membership.MaxZones:
		return errors.New("dissemination: the identity of this process has no address or an invalid zone")
	case c.Random == nil:
		return errors.New("dissemination: the source of randomness is missing")
	case c.ZoneFanout < 1 || c.RemoteFanout < 1:
		return errors.New("dissemination: zone and remote fanout must be positive")
	case c.PullDelay <= 0 || c.PullTimeout <= 0 || c.FetchTimeout <= 0:
		return errors.New("dissemination: pull delay, pull timeout and fetch timeout must be positive")
	case c.StatusTimeout <= 0 || c.ReportTimeout <= 0:
		return errors.New("dissemination: status timeout and report timeout must be positive")
	case c.StatusAttempts < 1 || c.ReportAttempts < 1 || c.ReportFanout < 1:
		return errors.New("dissemination: status attempts, report attempts and report fanout must be positive")
	}
	return nil
}
