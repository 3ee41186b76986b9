package experiment

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
)

// MinimumOpenFlows gives tests minimumOpenFlows.
const MinimumOpenFlows = minimumOpenFlows

// Kill gives tests kill.
type Kill struct {
	Backend string
	At      time.Time
}

// NewReport gives tests newReport.
func NewReport(ledger *backend.Ledger, results []caller.Result, kills []Kill) Report {
	seen := evidence{ledger: ledger, results: results}
	for _, exported := range kills {
		seen.kills = append(seen.kills, kill{backend: exported.Backend, at: exported.At})
	}
	return newReport(seen)
}

// LargestOverMean gives tests largestOverMean.
func LargestOverMean(shares []float64) float64 { return largestOverMean(shares) }
