// Package relay measures the cost of the data path of the balancer: decoding, deciding and
// encapsulating. It compares the packet rate and delay of the balancer with those of a bare
// UDP relay, which forwards the same batches over the same kind of sockets without parsing
// them. Its input is the size of the table and of the traffic.
//
// Senders, relay and sinks run in one process over loopback addresses. The two relays
// alternate in short rounds, so that other load on the machine affects both.
package relay

import (
	"time"

	"github.com/pkg/errors"
)

// Options configure a comparison.
type Options struct {
	// Services and RowsPerService determine the size of the table.
	Services       int
	RowsPerService int
	// Flows is the number of distinct packets, which are sent in turn.
	Flows int
	// Payload is the number of bytes after the TCP header, at least 16 (stampSize).
	Payload int
	// Sockets is the number of sockets and goroutines of the relay.
	Sockets int
	// Senders is the number of sending goroutines. Each uses socketsPerSender source
	// ports.
	Senders int
	// Sinks is the number of receiving sockets and goroutines.
	Sinks int
	// Rounds is how many times each relay runs to measure the rate, and as many times again
	// to measure the delay.
	Rounds int
	// RoundLength is how long each round sends.
	RoundLength time.Duration
	// DelayRate is the number of packets per second that one sender sends to measure the
	// delay.
	DelayRate int
	// Seed initializes the choice of flows.
	Seed uint64
}

// DefaultOptions returns a comparison with one core per relay, which takes about half a
// minute.
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
			return errors.New("relay: counts and rates in the options must be at least 1")
		}
	}
	if o.RowsPerService*o.Services > maximumRows || o.Services > maximumServices {
		return errors.Errorf("relay: options exceed %d services or %d rows in total", maximumServices, maximumRows)
	}
	if o.Payload < stampSize || o.Payload > maximumPayload {
		return errors.Errorf("relay: payload size must be from %d to %d bytes", stampSize, maximumPayload)
	}
	if o.RoundLength <= 0 {
		return errors.New("relay: round length must be positive")
	}
	return nil
}
