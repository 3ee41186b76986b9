// This file implements the back ends of UDP services.

package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/exchange"
)

// DatagramBackend answers every request on the spot. It is safe for concurrent
// use.
type DatagramBackend struct {
	settings Settings
	socket   *net.UDPConn
	accepted atomic.Int64

	mutex sync.Mutex
	// seen is when the last datagram of each peer came.
	lastReceived map[netip.AddrPort]time.Time
}

const (
	datagramBufferSize = 9000
	// peerIdle is how long a peer without datagrams counts as open.
	peerIdleTime = 2 * time.Second
)

// NewDatagram opens the socket of a back end. It fails when the address is
// taken. Slots and WorkTime have no meaning for datagrams.
func NewDatagram(settings Settings) (*DatagramBackend, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s", settings.Name)
	}
	return &DatagramBackend{settings: settings, socket: socket, lastReceived: make(map[netip.AddrPort]time.Time)}, nil
}

// Address is the UDP address of the back end.
func (b *DatagramBackend) Address() netip.AddrPort {
	return b.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run serves until ctx ends and returns nil then.
func (b *DatagramBackend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.socket.Close() })
	defer stop()
	buffer := make([]byte, datagramBufferSize)
	for {
		size, peer, err := b.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrapf(err, "back end %s", b.settings.Name)
		}
		if err != nil {
			continue
		}
		b.answer(peer, buffer[:size])
	}
}

func (b *DatagramBackend) answer(peer netip.AddrPort, data []byte) {
	b.recordPeer(peer)
	request, err := exchange.DecodeDatagram(data)
	if err != nil {
		return
	}
	b.settings.Recorder.recordContact(request.Flow, b.settings.Name)
	if request.Service != b.settings.Service {
		b.settings.Recorder.recordMisdelivery()
	}
	answer := exchange.Datagram{
		Flow: request.Flow, Request: request.Request,
		Service: b.settings.Service, Backend: b.settings.Name,
	}
	// The caller repeats a request whose answer is lost.
	_, _ = b.socket.WriteToUDPAddrPort(answer.Encode(), peer)
}

func (b *DatagramBackend) recordPeer(peer netip.AddrPort) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, known := b.lastReceived[peer]; !known {
		b.accepted.Add(1)
	}
	b.lastReceived[peer] = time.Now()
}

// Counters returns the numbers so far. A peer is open while it sends.
func (b *DatagramBackend) Counters() Counters {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	oldest := time.Now().Add(-peerIdleTime)
	counters := Counters{Accepted: b.accepted.Load()}
	for _, last := range b.lastReceived {
		if last.After(oldest) {
			counters.Open++
		}
	}
	return counters
}
