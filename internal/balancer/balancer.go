// Package balancer implements the data path of the balancer role. A balancer
// receives the callers' packets in Geneve datagrams from the fabric. It hashes the
// flow of each packet to select the primary row of the service from a lookup
// table, and sends the packet to the agent beside the back end of that row.
//
// A balancer keeps no flow state. Decider makes the forwarding decision about one
// datagram without I/O. Package udpfront receives and sends datagrams in batches.
// Balancer connects the two and provides them with the current lookup table.
package balancer

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/vanetiller/vanetiller/internal/balancer/udpfront"
	"github.com/vanetiller/vanetiller/internal/lookup"
)

// Config holds the parameters of a balancer.
type Config struct {
	// Listen is the IPv4 address and UDP port to receive on. Port 0 selects a
	// free port.
	Listen netip.AddrPort
	// Sockets is the number of sockets that share the port, each served by
	// one goroutine. It must be at least 1.
	Sockets int
	// Logger logs the start and stop of the balancer and table changes. It may
	// be nil.
	Logger *log.Logger
	// Metrics holds the counters of the balancer.
	Metrics Metrics
}

// Balancer is the data path of a balancer process.
type Balancer struct {
	listener *udpfront.Listener
	table    atomic.Pointer[lookup.Table]
	counters *counters
	logger   *log.Logger
}

// New opens the sockets of a balancer. It fails if the address cannot be
// bound or the number of sockets is not positive. No datagram is handled before
// Run is called.
func New(config Config) (*Balancer, error) {
	listener, err := udpfront.Listen(config.Listen, config.Sockets)
	if err != nil {
		return nil, err
	}
	return &Balancer{
		listener: listener,
		counters: newCounters(config.Metrics),
		logger:   loggerOrDiscard(config.Logger),
	}, nil
}

// Address returns the address on which the balancer receives.
func (b *Balancer) Address() netip.AddrPort { return b.listener.Address() }

// Publish sets the lookup table for all later decisions. It may be called while Run
// is running.
func (b *Balancer) Publish(table *lookup.Table) {
	b.table.Store(table)
	b.logger.Info("lookup table published", "version", table.Version())
}

// Run handles datagrams until ctx ends, then closes the sockets and returns nil. If
// a socket fails before ctx ends, Run closes the sockets and returns the error. It
// must be called only once.
func (b *Balancer) Run(ctx context.Context) error {
	b.logger.Info("balancer started", "address", b.Address())
	err := b.listener.Run(ctx, func() udpfront.Handler { return b.newSocketHandler() })
	b.logger.Info("balancer stopped", "address", b.Address(), "error", err)
	return err
}

// socketHandler implements udpfront.Handler for one socket.
type socketHandler struct {
	balancer *Balancer
	decider  *Decider
	counts   reasonCounts
}

func (b *Balancer) newSocketHandler() *socketHandler {
	return &socketHandler{balancer: b, decider: NewDecider()}
}

// Handle decides about one datagram and counts the result.
func (h *socketHandler) Handle(datagram, output []byte) (udpfront.Datagram, bool) {
	decision := h.decider.Decide(h.balancer.table.Load(), datagram, output)
	h.counts[decision.Reason]++
	if decision.Reason != Forwarded {
		return udpfront.Datagram{}, false
	}
	return udpfront.Datagram{Destination: decision.Destination, Payload: decision.Datagram}, true
}

// BatchSent adds the counts of the batch to the metrics. Datagrams that the kernel
// refused to send count as SendFailed instead of Forwarded.
func (h *socketHandler) BatchSent(failed int) {
	h.counts[Forwarded] -= uint32(failed)
	h.counts[SendFailed] += uint32(failed)
	h.balancer.counters.add(&h.counts)
}

func loggerOrDiscard(logger *log.Logger) *log.Logger {
	if logger != nil {
		return logger
	}
	return log.New(io.Discard)
}
