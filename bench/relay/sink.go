package relay

import (
	"net"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/vanetiller/vanetiller/internal/balancer/udpfront"
)

const (
	sinkBuffer      = 4 << 20 // bytes
	maximumDelay    = 10 * time.Second
	histogramDigits = 3
)

// sink receives datagrams, counts them and records the delay of stamped ones.
type sink struct {
	connection *net.UDPConn
	clock      stampClock
	received   packetCounter
	delays     *hdrhistogram.Histogram
}

func openSink(clock stampClock) (*sink, error) {
	connection, err := net.ListenUDP("udp4", loopback())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := connection.SetReadBuffer(sinkBuffer); err != nil {
		connection.Close()
		return nil, errors.WithStack(err)
	}
	return &sink{connection: connection, clock: clock, delays: newHistogram()}, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maximumDelay), histogramDigits)
}

func (s *sink) address() netip.AddrPort {
	return s.connection.LocalAddr().(*net.UDPAddr).AddrPort()
}

// run receives until the socket is closed.
func (s *sink) run() error {
	packets := ipv4.NewPacketConn(s.connection)
	messages := newMessages(udpfront.BatchSize)
	for {
		count, err := packets.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		s.received.Add(float64(count))
		for i := range count {
			s.record(messages[i].Buffers[0][:messages[i].N])
		}
	}
}

func (s *sink) record(datagram []byte) {
	age, stamped := s.clock.age(datagram)
	if !stamped {
		return
	}
	// The histogram records a delay above its maximum as the maximum.
	_ = s.delays.RecordValue(min(int64(age), int64(maximumDelay)))
}
