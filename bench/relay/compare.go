package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/lookup"
)

// Measurement is the result of one relay.
type Measurement struct {
	// PacketsPerSecond is the median forwarding rate of the rounds. The senders offer more
	// packets than the relay can forward.
	PacketsPerSecond float64
	// RoundRates are the forwarding rates of all rounds in order.
	RoundRates []float64
	// ReceivedShare is the share of the forwarded packets that reached a sink. The others
	// overflowed the receive buffers of the sinks.
	ReceivedShare float64
	// DelayP50 and DelayP99 are percentiles of the delay from sender to sink at
	// Options.DelayRate.
	DelayP50 time.Duration
	DelayP99 time.Duration
	// DelaySamples is the number of packets from which the percentiles are computed.
	DelaySamples int64
}

// Report is the result of a comparison.
type Report struct {
	Options  Options
	Bare     Measurement
	Balancer Measurement
}

// RelativeRate returns the rate of the balancer divided by the rate of the bare relay.
func (r Report) RelativeRate() float64 {
	return r.Balancer.PacketsPerSecond / r.Bare.PacketsPerSecond
}

// AddedDelayP50 returns the median delay through the balancer minus that through the bare
// relay.
func (r Report) AddedDelayP50() time.Duration { return r.Balancer.DelayP50 - r.Bare.DelayP50 }

// AddedDelayP99 returns the same difference for the 99th percentile.
func (r Report) AddedDelayP99() time.Duration { return r.Balancer.DelayP99 - r.Bare.DelayP99 }

// accumulator collects the results of the rounds of one relay.
type accumulator struct {
	open     opener
	rates    []float64
	sent     int64
	received int64
	delays   *hdrhistogram.Histogram
}

// opener opens a relay that forwards to the sinks and counts the packets that it sends.
type opener func(sinks []netip.AddrPort, sent *packetCounter) (relay, error)

// Compare measures both relays in alternating rounds. It returns an error if an option is
// out of range, a socket operation fails or ctx ends.
func Compare(ctx context.Context, options Options) (Report, error) {
	if err := options.validate(); err != nil {
		return Report{}, err
	}
	datagrams, err := sampleDatagrams(options)
	if err != nil {
		return Report{}, err
	}
	bare := &accumulator{open: openBare(options), delays: newHistogram()}
	balanced := &accumulator{open: openBalancer(options), delays: newHistogram()}
	for round := range options.Rounds {
		// The order alternates so that a drift in the load of the machine favors
		// neither relay.
		turns := []*accumulator{bare, balanced}
		if round%2 == 1 {
			slices.Reverse(turns)
		}
		for _, side := range turns {
			if err := side.measureRound(ctx, options, datagrams); err != nil {
				return Report{}, err
			}
		}
	}
	return Report{Options: options, Bare: bare.measurement(), Balancer: balanced.measurement()}, nil
}

func openBare(options Options) opener {
	return func(sinks []netip.AddrPort, sent *packetCounter) (relay, error) {
		return newBareRelay(loopback().AddrPort(), options.Sockets, sinks, sent)
	}
}

func openBalancer(options Options) opener {
	return func(sinks []netip.AddrPort, sent *packetCounter) (relay, error) {
		opened, err := balancer.New(balancer.Config{
			Listen:  loopback().AddrPort(),
			Sockets: options.Sockets,
			Metrics: balancer.Metrics{Forwarded: sent},
		})
		if err != nil {
			return nil, err
		}
		opened.Publish(lookup.Build(sampleTable(options, sinks), lookup.AllAlive))
		return opened, nil
	}
}

func (m *accumulator) measureRound(ctx context.Context, options Options, datagrams [][]byte) error {
	flooded, err := runRound(ctx, m.open, options, datagrams, flood)
	if err != nil {
		return err
	}
	m.rates = append(m.rates, float64(flooded.sent)/flooded.elapsed.Seconds())
	m.sent += flooded.sent
	m.received += flooded.received
	paced, err := runRound(ctx, m.open, options, datagrams, pace)
	if err != nil {
		return err
	}
	m.delays.Merge(paced.delays)
	return nil
}

func (m *accumulator) measurement() Measurement {
	return Measurement{
		PacketsPerSecond: median(m.rates),
		RoundRates:       m.rates,
		ReceivedShare:    float64(m.received) / float64(m.sent),
		DelayP50:         time.Duration(m.delays.ValueAtPercentile(50)),
		DelayP99:         time.Duration(m.delays.ValueAtPercentile(99)),
		DelaySamples:     m.delays.TotalCount(),
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
