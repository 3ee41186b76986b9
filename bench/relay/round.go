package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// relay is a data path under test.
type relay interface {
	Address() netip.AddrPort
	Run(ctx context.Context) error
}

// sendPattern is the traffic pattern of the senders.
type sendPattern int

const (
	// flood makes every sender send as fast as it can.
	flood sendPattern = iota
	// pace makes one sender send stamped datagrams at a constant rate.
	pace
)

// roundResult is the result of one round of one relay.
type roundResult struct {
	sent     int64
	received int64
	elapsed  time.Duration
	delays   *hdrhistogram.Histogram
}

// settleTime is how long the sinks go on receiving after the relay has stopped.
const settleTime = 50 * time.Millisecond

// round holds the sinks, the relay and the senders of one round.
type round struct {
	options        Options
	clock          stampClock
	sinks          []*sink
	senders        []*sender
	relayUnderTest relay
	sent           *packetCounter
}

// runRound opens sinks, a relay and senders, runs them for the length of a round and closes
// them.
func runRound(ctx context.Context, open opener, options Options, datagrams [][]byte, how sendPattern) (roundResult, error) {
	r := &round{options: options, clock: stampClock{time.Now()}, sent: &packetCounter{}}
	defer r.close()
	if err := r.openAll(open, datagrams, how); err != nil {
		return roundResult{}, err
	}
	var sinkGroup errgroup.Group
	for _, receiver := range r.sinks {
		sinkGroup.Go(receiver.run)
	}
	elapsed, err := r.runSenders(ctx, how)
	time.Sleep(settleTime)
	r.close()
	if sinkError := sinkGroup.Wait(); err == nil {
		err = sinkError
	}
	if err != nil {
		return roundResult{}, err
	}
	return r.result(elapsed), ctx.Err()
}

func (r *round) openAll(open opener, datagrams [][]byte, how sendPattern) error {
	var addresses []netip.AddrPort
	for range r.options.Sinks {
		opened, err := openSink(r.clock)
		if err != nil {
			return err
		}
		r.sinks = append(r.sinks, opened)
		addresses = append(addresses, opened.address())
	}
	var err error
	if r.relayUnderTest, err = open(addresses, r.sent); err != nil {
		return err
	}
	senders := r.options.Senders
	if how == pace {
		senders = 1
	}
	for range senders {
		opened, err := openSender(r.relayUnderTest.Address(), datagrams)
		if err != nil {
			return err
		}
		r.senders = append(r.senders, opened)
	}
	return nil
}

// firstPacketPoll is the interval at which a round checks whether its relay has sent a
// datagram.
const firstPacketPoll = time.Millisecond

// runSenders runs the senders and the relay, and returns how long the relay has sent. The
// round starts with the first datagram that the relay sends. A late start on a busy machine
// therefore does not shorten the round.
func (r *round) runSenders(parent context.Context, how sendPattern) (time.Duration, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	started := time.Now()
	var group errgroup.Group
	group.Go(func() error { return r.relayUnderTest.Run(ctx) })
	for _, sending := range r.senders {
		group.Go(func() error {
			if how == pace {
				return sending.pace(ctx, r.options.DelayRate, r.clock)
			}
			return sending.flood(ctx)
		})
	}
	group.Go(func() error {
		defer cancel()
		r.awaitFirstPacket(ctx)
		started = time.Now()
		wait(ctx, r.options.RoundLength)
		return nil
	})
	err := group.Wait()
	return time.Since(started), err
}

func (r *round) awaitFirstPacket(ctx context.Context) {
	for r.sent.Value() == 0 && ctx.Err() == nil {
		wait(ctx, firstPacketPoll)
	}
}

// wait returns after the duration or when ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *round) close() {
	for _, opened := range r.sinks {
		// Close fails only if the socket is already closed.
		_ = opened.connection.Close()
	}
	for _, opened := range r.senders {
		opened.close()
	}
}

func (r *round) result(elapsed time.Duration) roundResult {
	result := roundResult{sent: r.sent.Value(), elapsed: elapsed, delays: newHistogram()}
	for _, receiver := range r.sinks {
		result.received += receiver.received.Value()
		result.delays.Merge(receiver.delays)
	}
	return result
}
