// Package relay compares the balancer's data path with a bare UDP relay that
// receives and sends the same batches over the same kind of sockets without
// looking at them. What the balancer falls short of the bare relay is the price
// of decoding, deciding and encapsulating.
//
// Senders, relay and sinks run in one process over loopback addresses. The two
// relays take turns in short rounds, so that other load on the machine meets
// both.
package relay

import (
	"time"

	"github.com/pkg/errors"
)

// Options are the conditions of a comparison.
type Options struct {
	// Services and RowsPerService are the size of the table.
	Services       int
	RowsPerService int
	// Flows is the number of distinct packets sent in turn.
	Flows int
	// Payload is the number of bytes behind the TCP header, at least 16.
	Payload int
	// Sockets is the number of sockets and goroutines of the relay.
	Sockets int
	// Senders is the number of goroutines that send; each uses
	// socketsPerSender source ports.
	Senders int
	// Sinks is the number of sockets and goroutines that receive.
	Sinks int
	// Rounds is how many times each relay runs for the rate and for the
	// delay.
	Rounds int
	// RoundLength is how long a round sends.
	RoundLength time.Duration
	// DelayRate is the number of packets a second sent by one sender while
	// the delay is measured.
	DelayRate int
	// Seed seeds the choice of flows.
	Seed uint64
}

// DefaultOptions returns a comparison with one core a relay, which takes about
// half a minute.
func DefaultOptions() Options {
	return Options{
		Services:       1500,
		RowsPerService: 8,
		Flows:          4096,
		Payload:        1000,
		Sockets:        1,
		Senders:        2,
		Sinks:          4,
		Rounds:         7,
		RoundLength:    time.Second,
		DelayRate:      10_000,
		Seed:           1,
	}
}

func (o Options) validate() error {
	counts := []int{o.Services, o.RowsPerService, o.Flows, o.Sockets, o.Senders, o.Sinks, o.Rounds, o.DelayRate}
	for _, count := range counts {
		if count < 1 {
			return errors.New("relay: every count and rate must be at least 1")
		}
	}
	if o.RowsPerService*o.Services > maximumRows || o.Services > maximumServices {
		return errors.Errorf("relay: at most %d services and %d rows", maximumServices, maximumRows)
	}
	if o.Payload < stampSize || o.Payload > maximumPayload {
		return errors.Errorf("relay: payload must be from %d to %d bytes", stampSize, maximumPayload)
	}
	if o.RoundLength <= 0 {
		return errors.New("relay: the length of a round must be positive")
	}
	return nil
}
