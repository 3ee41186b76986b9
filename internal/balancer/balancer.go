// Package balancer implements the balancer role: it receives encapsulated
// packets from the fabric, chooses the primary back end row of each by hash,
// and sends the packet on to the agent beside that back end.
//
// A balancer keeps no state of flows. Decider holds the whole decision about
// one datagram and does no I/O; package udpfront moves datagrams in batches;
// Balancer joins the two and publishes lookup tables to them.
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

// Config is the configuration of a balancer.
type Config struct {
	// Listen is the IPv4 address and UDP port to receive on. Port 0 takes a
	// free one.
	Listen netip.AddrPort
	// Sockets is the number of sockets that share the port, each served by
	// one goroutine. It must be at least 1.
	Sockets int
	// Logger receives the balancer's start, stop and table changes. It may be
	// nil.
	Logger *log.Logger
	// Metrics are the balancer's counters.
	Metrics Metrics
}

// Balancer is one balancer process's data path.
type Balancer struct {
	front    *udpfront.Listener
	table    atomic.Pointer[lookup.Table]
	counters *counters
	logger   *log.Logger
}

// New opens the sockets of a balancer. It fails if the address cannot be
// bound or the number of sockets is not positive. Datagrams are handled once
// Run is called.
func New(config Config) (*Balancer, error) {
	front, err := udpfront.Listen(config.Listen, config.Sockets)
	if err != nil {
		return nil, err
	}
	return &Balancer{
		front:    front,
		counters: newCounters(config.Metrics),
		logger:   orSilent(config.Logger),
	}, nil
}

// Address returns the address that the balancer receives on.
func (b *Balancer) Address() netip.AddrPort { return b.front.Address() }

// Publish makes every later decision use the table.
func (b *Balancer) Publish(table *lookup.Table) {
	b.table.Store(table)
	b.logger.Info("lookup table published", "version", table.Version())
}

// Run handles datagrams until ctx ends, then closes the sockets and returns
// nil. It fails only if a socket fails while ctx is live, and closes the
// sockets then, too. It must be called once.
func (b *Balancer) Run(ctx context.Context) error {
	b.logger.Info("balancer started", "address", b.Address())
	err := b.front.Run(ctx, func() udpfront.Handler { return b.newWorker() })
	b.logger.Info("balancer stopped", "address", b.Address(), "error", err)
	return err
}

// worker handles the datagrams of one socket.
type worker struct {
	balancer *Balancer
	decider  *Decider
	tally    tally
}

func (b *Balancer) newWorker() *worker {
	return &worker{balancer: b, decider: NewDecider()}
}

// Handle implements udpfront.Handler.
func (w *worker) Handle(datagram, output []byte) (udpfront.Datagram, bool) {
	decision := w.decider.Decide(w.balancer.table.Load(), datagram, output)
	w.tally[decision.Reason]++
	if decision.Reason != Forwarded {
		return udpfront.Datagram{}, false
	}
	return udpfront.Datagram{Destination: decision.Destination, Payload: decision.Datagram}, true
}

// BatchSent implements udpfront.Handler.
func (w *worker) BatchSent(failed int) {
	w.tally[Forwarded] -= uint32(failed)
	w.tally[SendFailed] += uint32(failed)
	w.balancer.counters.add(&w.tally)
}

func orSilent(logger *log.Logger) *log.Logger {
	if logger != nil {
		return logger
	}
	return log.New(io.Discard)
}
