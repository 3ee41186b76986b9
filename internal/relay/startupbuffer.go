package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// maxBufferedPackets limits the packets held before the directory is known. A busy balancer
	// receives that many in a fifth of a second.
	maxBufferedPackets = 512
	// bufferLifetime is how long a packet is held. A client has sent the last copy of its opening
	// packet by then, and repeats any other packet.
	bufferLifetime = time.Second
)

// bufferedPacket is a packet that arrived before the directory was known.
type bufferedPacket struct {
	arrivedAt time.Duration
	key       segment.FlowKey
	opening   bool
	packet    []byte
}

// startupBuffer holds the packets that arrive before the directory is known. Routers send packets
// to a balancer as soon as it has restarted, and clients would repeat them only later. The buffer
// keeps only the latest copy of an opening packet.
type startupBuffer struct{ packets []bufferedPacket }

// add holds a copy of a packet. It reports whether there was room.
func (s *startupBuffer) add(now time.Duration, key segment.FlowKey, opening bool, packet []byte) bool {
	s.packets = slices.DeleteFunc(s.packets, func(held bufferedPacket) bool {
		olderCopy := opening && held.opening && held.key == key
		return olderCopy || now-held.arrivedAt > bufferLifetime
	})
	if len(s.packets) >= maxBufferedPackets {
		return false
	}
	s.packets = append(s.packets, bufferedPacket{now, key, opening, slices.Clone(packet)})
	return true
}

// takeAll removes and returns the packets held: opening packets first, and among them the newest,
// whose clients have waited least.
func (s *startupBuffer) takeAll(now time.Duration) []bufferedPacket {
	packets := slices.DeleteFunc(s.packets, func(held bufferedPacket) bool { return now-held.arrivedAt > bufferLifetime })
	s.packets = nil
	slices.Reverse(packets)
	slices.SortStableFunc(packets, func(a, b bufferedPacket) int {
		switch {
		case a.opening == b.opening:
			return 0
		case a.opening:
			return -1
		}
		return 1
	})
	return packets
}

// bufferPacket handles a packet that arrives before the directory is known.
func (b *Balancer) bufferPacket(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	if !b.startupBuffer.add(now, key, header.OpensFlow(), packet) {
		b.recordEvent(Event{Kind: EventNotReady, Flow: key})
	}
}

// releaseBuffered handles the packets that arrived before the directory was known.
func (b *Balancer) releaseBuffered(now time.Duration) {
	for _, held := range b.startupBuffer.takeAll(now) {
		header, _ := b.config.Codec.Decode(held.packet)
		header.SinceFirstAttempt += now - held.arrivedAt
		b.recordEvent(Event{Kind: EventReleased, Flow: held.key, Version: b.snapshot.Version(), Elapsed: now - held.arrivedAt})
		b.routePacket(now, held.key, header, held.packet)
	}
}
