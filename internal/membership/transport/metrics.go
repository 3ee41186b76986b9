// This file defines the metrics of an Endpoint.

package transport

import (
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// DirectionLabel and StateLabel are labels of the metrics. DirectionLabel is "sent" or
// "received". StateLabel is the text of a membership.State, or "unreachable" for a live
// member of an unreachable zone.
const (
	DirectionLabel = "direction"
	StateLabel     = "state"
)

// headerSize is the size of the IPv4 and UDP headers.
const headerSize = 28

const (
	directionSent     = "sent"
	directionReceived = "received"
	stateUnreachable  = "unreachable"
)

// Metrics holds the metrics of an Endpoint. Metrics that are nil are discarded.
type Metrics struct {
	// Datagrams and Bytes count by DirectionLabel. Bytes includes the IPv4 and UDP headers.
	Datagrams metrics.Counter
	Bytes     metrics.Counter
	// Malformed counts datagrams that are not from an IPv4 address, exceed the maximum size
	// or could not be decoded.
	Malformed metrics.Counter
	// Members is the number of members by StateLabel.
	Members metrics.Gauge
}

// setDefaults replaces nil metrics by ones that discard.
func (m *Metrics) setDefaults() {
	for _, counter := range []*metrics.Counter{&m.Datagrams, &m.Bytes, &m.Malformed} {
		if *counter == nil {
			*counter = discard.NewCounter()
		}
	}
	if m.Members == nil {
		m.Members = discard.NewGauge()
	}
}

func (m *Metrics) count(direction string, bytes int) {
	m.Datagrams.With(DirectionLabel, direction).Add(1)
	m.Bytes.With(DirectionLabel, direction).Add(float64(bytes + headerSize))
}

func (m *Metrics) setMembers(members []membership.Member) {
	counts := map[string]int{
		membership.StateAlive.String(): 0, membership.StateSuspect.String(): 0,
		membership.StateFailed.String(): 0, membership.StateLeft.String(): 0,
		stateUnreachable: 0,
	}
	for _, member := range members {
		counts[stateLabel(member)]++
	}
	for state, count := range counts {
		m.Members.With(StateLabel, state).Set(float64(count))
	}
}

func stateLabel(member membership.Member) string {
	live := member.State == membership.StateAlive || member.State == membership.StateSuspect
	if live && !member.Reachable {
		return stateUnreachable
	}
	return member.State.String()
}
