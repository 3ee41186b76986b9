// This file implements the metering of the control traffic of each node.

package simnet

import "time"

// HeaderSize is the number of bytes of the IPv4 and UDP headers of a datagram.
const HeaderSize = 28

const (
	// WindowSeconds is the length of the sliding window of Usage.WorstWindowBytes in seconds.
	WindowSeconds = 10
	second        = time.Second
)

// Usage is the control traffic of one node since ResetMeters, headers included.
type Usage struct {
	SentBytes         uint64
	ReceivedBytes     uint64
	SentDatagrams     uint64
	ReceivedDatagrams uint64
	// WorstWindowBytes is the maximum number of bytes sent and received in WindowSeconds
	// successive seconds.
	WorstWindowBytes uint64
}

// Bytes returns the total of bytes sent and received.
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

// advance moves the window to the current second and removes expired seconds from it.
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
