package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// earlyLimit bounds the packets that are held before the directory is known: what
	// comes in a fifth of a second at a busy balancer.
	earlyLimit = 512
	// earlyLifetime is how long one is held. A client has sent the last copy of its opening
	// packet by then, and repeats any other.
	earlyLifetime = time.Second
)

// earlyPacket is a packet that came before the directory was known.
type earlyPacket struct {
	at     time.Duration
	key    segment.FlowKey
	opens  bool
	packet []byte
}

// early holds the packets that come before the directory is known: routers send them to
// a balancer that has just been restarted, and clients would repeat them only later. Of a
// flow that is to be opened it holds the latest copy.
type early struct{ packets []earlyPacket }

// hold keeps a packet. It reports whether there was room.
func (e *early) hold(now time.Duration, key segment.FlowKey, opens bool, packet []byte) bool {
	e.packets = slices.DeleteFunc(e.packets, func(held earlyPacket) bool {
		copied := opens && held.opens && held.key == key
		return copied || now-held.at > earlyLifetime
	})
	if len(e.packets) >= earlyLimit {
		return false
	}
	e.packets = append(e.packets, earlyPacket{now, key, opens, slices.Clone(packet)})
	return true
}

// take removes and returns what is held: packets that open flows first, and among them the
// newest, whose clients have waited least.
func (e *early) take(now time.Duration) []earlyPacket {
	taken := slices.DeleteFunc(e.packets, func(held earlyPacket) bool { return now-held.at > earlyLifetime })
	e.packets = nil
	slices.Reverse(taken)
	slices.SortStableFunc(taken, func(a, b earlyPacket) int {
		switch {
		case a.opens == b.opens:
			return 0
		case a.opens:
			return -1
		}
		return 1
	})
	return taken
}

// holdEarly handles a packet that comes before the directory is known.
func (b *Balancer) holdEarly(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	if !b.early.hold(now, key, header.OpensFlow(), packet) {
		b.event(Event{Kind: EventNotReady, Flow: key})
	}
}

// releaseEarly handles what came before the directory was known.
func (b *Balancer) releaseEarly(now time.Duration) {
	for _, held := range b.early.take(now) {
		header, _ := b.config.Codec.Decode(held.packet)
		header.SinceFirstAttempt += now - held.at
		b.event(Event{Kind: EventReleased, Flow: held.key, Version: b.snapshot.Version(), Elapsed: now - held.at})
		b.arrive(now, held.key, header, held.packet)
	}
}
