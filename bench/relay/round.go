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

// pattern is how senders send.
type pattern int

const (
	// flood: every sender sends as fast as it can.
	flood pattern = iota
	// pace: one sender sends stamped datagrams at an even rate.
	pace
)

// roundResult is what one round of one relay gave.
type roundResult struct {
	sent     int64
	received int64
	elapsed  time.Duration
	delays   *hdrhistogram.Histogram
}

// settleTime is how long the sinks may go on receiving after the relay has
// stopped.
const settleTime = 50 * time.Millisecond

// round is the processes of one round.
type round struct {
	options Options
	clock   stampClock
	sinks   []*sink
	senders []*sender
	under   relay
	sent    *packetCounter
}

// runRound opens sinks, a relay and senders, lets them run for the length of a
// round and closes them.
func runRound(ctx context.Context, open opener, options Options, datagrams [][]byte, how pattern) (roundResult, error) {
	r := &round{options: options, clock: stampClock{time.Now()}, sent: &packetCounter{}}
	defer r.close()
	if err := r.openAll(open, datagrams, how); err != nil {
		return roundResult{}, err
	}
	var sinkGroup errgroup.Group
	for _, receiver := range r.sinks {
		sinkGroup.Go(receiver.run)
	}
	elapsed, err := r.relay(ctx, how)
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

func (r *round) openAll(open opener, datagrams [][]byte, how pattern) error {
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
	if r.under, err = open(addresses, r.sent); err != nil {
		return err
	}
	senders := r.options.Senders
	if how == pace {
		senders = 1
	}
	for range senders {
		opened, err := openSender(r.under.Address(), datagrams)
		if err != nil {
			return err
		}
		r.senders = append(r.senders, opened)
	}
	return nil
}

// firstPacketPoll is how often a round looks whether its relay has sent a datagram.
const firstPacketPoll = time.Millisecond

// relay runs the senders through the relay and returns for how long it has sent. The round
// begins with its first datagram, so that a busy machine which starts it late shortens no round.
func (r *round) relay(parent context.Context, how pattern) (time.Duration, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	started := time.Now()
	var group errgroup.Group
	group.Go(func() error { return r.under.Run(ctx) })
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

// wait returns after a duration, or once ctx ends.
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
		// The only error is that the socket is closed already.
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
