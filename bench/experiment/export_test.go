package experiment

import (
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/fabric"
)

// MinimumOpenFlows exports minimumOpenFlows.
const MinimumOpenFlows = minimumOpenFlows

// Kill exports kill.
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

// NewReport exports newReport.
func NewReport(recorder *backend.Recorder, acceptances []Acceptance, results []caller.Result, kills []Kill) Report {
	backendOf := make(map[netip.AddrPort]string)
	observed := observations{recorder: recorder, results: results, acceptances: newAcceptances(backendOf)}
	for _, exported := range acceptances {
		agent := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(backendOf)+1))
		backendOf[agent] = exported.Backend
		observed.acceptances.observe(exported.At, fabric.AcceptedConnection{
			Agent: agent, Caller: exported.Caller, Acknowledged: exported.Acknowledged,
		})
	}
	for _, exported := range kills {
		observed.kills = append(observed.kills, kill{backend: exported.Backend, at: exported.At})
	}
	return newReport(observed)
}

// MaxOverMean exports maxOverMean.
func MaxOverMean(shares []float64) float64 { return maxOverMean(shares) }

// DrainPeriod exports drainPeriod. A period with a zero Until has no end.
type DrainPeriod struct {
	Backend string
	From    time.Time
	Until   time.Time
}

// CountLateConnections exports countLateConnections for one connection.
func CountLateConnections(accepted Acceptance, exportedPeriods ...DrainPeriod) int {
	var periods []drainPeriod
	for _, exported := range exportedPeriods {
		periods = append(periods, drainPeriod{backend: exported.Backend, from: exported.From, until: exported.Until})
	}
	contacts := [][]backend.FirstContact{{{Backend: accepted.Backend, At: accepted.At}}}
	return countLateConnections(contacts, periods, drainGrace)
}
