package experiment

import (
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/fabric"
)

// MinimumOpenFlows gives tests minimumOpenFlows.
const MinimumOpenFlows = minimumOpenFlows

// Kill gives tests kill.
type Kill struct {
	Backend string
	At      time.Time
}

// Acceptance is the acceptance of a connection by the agent of a back end.
type Acceptance struct {
	Backend      string
	Caller       netip.AddrPort
	Acknowledged uint32
	At           time.Time
}

// NewReport gives tests newReport.
func NewReport(ledger *backend.Ledger, acceptances []Acceptance, results []caller.Result, kills []Kill) Report {
	backendOf := make(map[netip.AddrPort]string)
	seen := evidence{ledger: ledger, results: results, openings: newOpenings(backendOf)}
	for _, exported := range acceptances {
		agent := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(backendOf)+1))
		backendOf[agent] = exported.Backend
		seen.openings.observe(exported.At, fabric.AcceptedConnection{
			Agent: agent, Caller: exported.Caller, Acknowledged: exported.Acknowledged,
		})
	}
	for _, exported := range kills {
		seen.kills = append(seen.kills, kill{backend: exported.Backend, at: exported.At})
	}
	return newReport(seen)
}

// LargestOverMean gives tests largestOverMean.
func LargestOverMean(shares []float64) float64 { return largestOverMean(shares) }

// Departure gives tests departure; a zero Until lasts.
type Departure struct {
	Backend string
	From    time.Time
	Until   time.Time
}

// LateAdmissions gives tests countLate for one connection.
func LateAdmissions(accepted Acceptance, departures ...Departure) int {
	var left []departure
	for _, exported := range departures {
		left = append(left, departure{backend: exported.Backend, from: exported.From, until: exported.Until})
	}
	sightings := [][]backend.Sighting{{{Backend: accepted.Backend, At: accepted.At}}}
	return countLate(sightings, left, lateAfter)
}
