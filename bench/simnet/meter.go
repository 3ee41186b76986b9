// This file implements the count of each node's traffic.

package simnet

import "time"

// HeaderSize is the number of bytes of the IPv4 and UDP headers of a datagram.
const HeaderSize = 28

const (
	// WindowSeconds is the length, in seconds, of the window whose worst case is kept.
	WindowSeconds = 10
	second        = time.Second
)

// Usage is the control traffic of one node since the meters were started, sent
// and received together, headers included.
type Usage struct {
	SentBytes         uint64
	ReceivedBytes     uint64
	SentDatagrams     uint64
	ReceivedDatagrams uint64
	// WorstWindowBytes is the largest number of bytes, sent and received, in
	// 10 successive seconds.
	WorstWindowBytes uint64
}

// Bytes returns the bytes sent and received.
func (u Usage) Bytes() uint64 { return u.SentBytes + u.ReceivedBytes }

// meter counts the traffic of one node.
type meter struct {
	usage   Usage
	second  int64
	seconds [WindowSeconds]uint64
	window  uint64
}

func (m *meter) sent(now time.Duration, bytes int) {
	m.usage.SentBytes += uint64(bytes)
	m.usage.SentDatagrams++
	m.add(now, uint64(bytes))
}

func (m *meter) received(now time.Duration, bytes int) {
	m.usage.ReceivedBytes += uint64(bytes)
	m.usage.ReceivedDatagrams++
	m.add(now, uint64(bytes))
}

func (m *meter) add(now time.Duration, bytes uint64) {
	m.advance(int64(now / second))
	m.seconds[m.second%WindowSeconds] += bytes
	m.window += bytes
	m.usage.WorstWindowBytes = max(m.usage.WorstWindowBytes, m.window)
}

// advance empties the seconds that have left the window.
func (m *meter) advance(current int64) {
	if current-m.second >= WindowSeconds {
		m.seconds = [WindowSeconds]uint64{}
		m.window = 0
		m.second = current
		return
	}
	for m.second < current {
		m.second++
		expired := &m.seconds[m.second%WindowSeconds]
		m.window -= *expired
		*expired = 0
	}
}
