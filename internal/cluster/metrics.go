// This file defines the metrics of a Node.

package cluster

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

const (
	directionSent     = "sent"
	directionReceived = "received"
	stateUnreachable  = "unreachable"
)

// headerSize is the size of the IPv4 and UDP headers.
const headerSize = 28

// Metrics holds the metrics of a Node. Metrics that are nil are discarded.
type Metrics struct {
	// Bytes counts by DirectionLabel: datagrams with their headers, and the contents of
	// connections.
	Bytes metrics.Counter
	// Malformed counts datagrams, attachments and fetch requests that are not valid.
	Malformed metrics.Counter
	// Members is the number of members by StateLabel.
	Members metrics.Gauge
	// HeldVersion is the newest version of the table that this process holds.
	HeldVersion metrics.Gauge
}

// setDefaults replaces nil metrics by ones that discard.
func (m *Metrics) setDefaults() {
	for _, counter := range []*metrics.Counter{&m.Bytes, &m.Malformed} {
		if *counter == nil {
			*counter = discard.NewCounter()
		}
	}
	for _, gauge := range []*metrics.Gauge{&m.Members, &m.HeldVersion} {
		if *gauge == nil {
			*gauge = discard.NewGauge()
		}
	}
}

func (m *Metrics) countDatagram(direction string, bytes int) {
	m.Bytes.With(DirectionLabel, direction).Add(float64(bytes + headerSize))
}

func (m *Metrics) countStream(direction string, bytes int) {
	m.Bytes.With(DirectionLabel, direction).Add(float64(bytes))
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
	if isLive(member) && !member.Reachable {
		return stateUnreachable
	}
	return member.State.String()
}

// isLive reports whether a member is in a live state.
func isLive(member membership.Member) bool {
	return member.State == membership.StateAlive || member.State == membership.StateSuspect
}
