// This file implements packets of open flows, sent to find out whether they
// still reach the row that owns the flow.

package hollow

import (
	"slices"
	"strings"
	"time"

	"github.com/vanetiller/vanetiller/internal/packet"
)

// Outcomes of probes besides the reasons of package admission.
const (
	probeLost         = "lost or unanswered"
	probeReset        = "reset"
	probeMisdelivered = "misdelivered"
	probeNotRouted    = "not routed"
)

// probe is one packet of an open flow.
type probe struct {
	reference flowReference
	sent      time.Duration
	arrived   bool
	// outcome is set for a probe that ended elsewhere than at the owner.
	outcome string
}

// probes holds the probes of a run. The sequence number of a probe's packet is
// its position.
type probes struct {
	all []probe
}

// probe sends packets of randomly chosen open flows.
func (t *traffic) probe(now time.Duration, count int) {
	for range min(count, len(t.flows.open)) {
		index := t.flows.open[t.fleet.random.IntN(len(t.flows.open))]
		record := &t.flows.flows[index]
		if t.lost(t.fleet.agentOf(record.row), record) {
			continue
		}
		reference := flowReference{index, record.generation}
		position := len(t.probes.all)
		t.probes.all = append(t.probes.all, probe{reference: reference, sent: now})
		if !t.send(reference, record, packet.Summary{Sequence: uint32(position)}) {
			t.probes.ended(uint32(position), probeNotRouted)
		}
	}
}

func (p *probes) delivered(position uint32, toOwner bool) {
	if !toOwner {
		p.ended(position, probeMisdelivered)
		return
	}
	p.all[position].arrived = true
}

func (p *probes) ended(position uint32, outcome string) { p.all[position].outcome = outcome }

// underWay is the time before the end of a run in which probes are not judged.
const underWay = time.Second

// ProbeReport tells what became of packets of open flows whose owner ran to the
// end and which were not closed before the end. Packets of the last second are
// left out.
type ProbeReport struct {
	Sent    int `json:"sent"`
	Arrived int `json:"arrived"`
	// Failed lists those that did not arrive, by outcome. A datagram that the
	// network lost is sent again by a real caller; a reset breaks the flow.
	Failed []Count `json:"failed"`
}

// Count is a number of occurrences of one cause.
type Count struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// report sums up the probes of flows that are still open.
func (t *traffic) report() ProbeReport {
	var report ProbeReport
	failed := make(map[string]int)
	for index := range t.probes.all {
		sent := &t.probes.all[index]
		if sent.sent+underWay > t.fleet.network.Now() {
			break
		}
		record := t.flows.find(sent.reference)
		if record == nil || record.state != flowOpen || t.lost(t.fleet.agentOf(record.row), record) {
			continue
		}
		report.Sent++
		switch {
		case sent.arrived:
			report.Arrived++
		case sent.outcome != "":
			failed[sent.outcome]++
		default:
			failed[probeLost]++
		}
	}
	report.Failed = sortedCounts(failed)
	return report
}

func sortedCounts(counts map[string]int) []Count {
	sorted := make([]Count, 0, len(counts))
	for cause, count := range counts {
		sorted = append(sorted, Count{cause, count})
	}
	slices.SortFunc(sorted, func(a, b Count) int { return strings.Compare(a.Cause, b.Cause) })
	return sorted
}
