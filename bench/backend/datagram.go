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

// DatagramBackend is a UDP server of one service that answers every request immediately. It is safe
// for concurrent use.
type DatagramBackend struct {
	settings Settings
	socket   *net.UDPConn
	accepted atomic.Int64

	mutex sync.Mutex
	// lastReceived is the time of the last datagram of each peer.
	lastReceived map[netip.AddrPort]time.Time
}

const (
	datagramBufferSize = 9000
	// peerIdleTime is how long a peer counts as open after its last datagram.
	peerIdleTime = 2 * time.Second
)

// NewDatagram opens the socket of a back end. It fails if the address cannot be bound. It ignores
// the settings Slots and WorkTime.
func NewDatagram(settings Settings) (*DatagramBackend, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "open the socket of back end %s", settings.Name)
	}
	return &DatagramBackend{settings: settings, socket: socket, lastReceived: make(map[netip.AddrPort]time.Time)}, nil
}

// Address is the UDP address of the back end.
func (b *DatagramBackend) Address() netip.AddrPort {
	return b.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run serves requests until ctx ends, then returns nil.
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
			return errors.Wrapf(err, "read from the socket of back end %s", b.settings.Name)
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
	// A lost answer needs no handling, since the caller retransmits the request.
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

// Counters returns the current counters. A peer counts as open until peerIdleTime after its last
// datagram.
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
