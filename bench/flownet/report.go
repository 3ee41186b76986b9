package flownet

import "slices"

// Window is what became of the requests that were sent in one period.
type Window struct {
	Requests     int `json:"asked"`
	Served       int `json:"served"`
	WithinTarget int `json:"in_target"`
}

// Report is the outcome of a run.
type Report struct {
	Experiment        string     `json:"experiment"`
	Shape             string     `json:"shape"`
	Seed              uint64     `json:"seed"`
	Hash              HashScheme `json:"hash"`
	Baseline          bool       `json:"baseline"`
	ColdRateHidden    bool       `json:"untold"`
	Requests          int        `json:"asked"`
	ServedShare       float64    `json:"served"`
	WithinTargetShare float64    `json:"in_target"`
	// WorstWindowShare is the least share in target of a window.
	WorstWindowShare float64 `json:"worst_window"`
	// OpenFlowResets counts flows that a daemon reset while their endpoint lived.
	OpenFlowResets int `json:"reset_open_flows"`
	// MisroutedFlows counts flows whose packets went to other endpoints.
	MisroutedFlows int `json:"misrouted_flows"`
	// DuplicateExecutions counts requests that ran twice and must not.
	DuplicateExecutions int `json:"double_runs"`
	// OpenedAfterDrain counts flows that opened at an endpoint that had left.
	OpenedAfterDrain int `json:"late_openings"`
	// OpenedInClosedZone counts flows that opened in a zone that was closed.
	OpenedInClosedZone int `json:"closed_openings"`
	// ColdOverloads counts cold endpoints that got more than they carry and failed. It breaks a
	// promise only if the rate was told.
	ColdOverloads int `json:"overrun"`
	// StaleRoutes counts flows that were treated by an old configuration.
	StaleRoutes int `json:"late_routes"`
	// CorruptedPackets counts packets that arrived not as their sender wrote them.
	CorruptedPackets int `json:"forged"`
	// MismatchedResponses counts answers that belong to another request.
	MismatchedResponses int            `json:"mixed"`
	FailedRequests      map[string]int `json:"lost"`
	Decisions           map[string]int `json:"decisions"`
	Windows             []Window       `json:"windows"`
	// StoreCalls counts the calls of the store, by kind.
	StoreCalls map[string]int `json:"calls"`
	// Updates and UpdateBytes count what balancers tell each other of the directory.
	Updates     int `json:"updates"`
	UpdateBytes int `json:"update_bytes"`
}

// Violations returns the number of broken promises.
func (r Report) Violations() int {
	broken := r.OpenFlowResets + r.MisroutedFlows + r.DuplicateExecutions + r.OpenedAfterDrain + r.OpenedInClosedZone + r.StaleRoutes + r.CorruptedPackets + r.MismatchedResponses
	if !r.ColdRateHidden {
		broken += r.ColdOverloads
	}
	return broken
}

func (w *world) report() Report {
	l := w.ledger
	created := Report{
		Experiment: "platform", Shape: w.options.Shape.Name, Seed: w.options.Seed, Hash: w.options.Hash,
		Baseline: w.options.Baseline, WorstWindowShare: 1,
		OpenFlowResets: l.resetOpen, MisroutedFlows: l.misrouted, DuplicateExecutions: l.doubleRuns, OpenedAfterDrain: l.lateOpenings,
		OpenedInClosedZone: l.closedOpenings, ColdOverloads: l.overrun, ColdRateHidden: w.options.ColdRateHidden,
		StaleRoutes: l.lateRoutes, CorruptedPackets: l.forgedPackets + l.forgedToClient, MismatchedResponses: l.mixed,
		FailedRequests: l.causes, Decisions: l.decisions, StoreCalls: l.calls, Updates: l.updates, UpdateBytes: l.updateBytes,
	}
	indices := make([]int, 0, len(l.windows))
	for index := range l.windows {
		indices = append(indices, index)
	}
	slices.Sort(indices)
	served, inTarget := 0, 0
	for _, index := range indices {
		window := *l.windows[index]
		created.Windows = append(created.Windows, window)
		created.Requests += window.Requests
		served += window.Served
		inTarget += window.WithinTarget
		created.WorstWindowShare = min(created.WorstWindowShare, share(window.WithinTarget, window.Requests))
	}
	created.ServedShare = share(served, created.Requests)
	created.WithinTargetShare = share(inTarget, created.Requests)
	return created
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
