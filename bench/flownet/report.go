package flownet

import "slices"

// Window counts the requests that were sent in one period, by outcome.
type Window struct {
	Requests     int `json:"asked"`
	Served       int `json:"served"`
	WithinTarget int `json:"in_target"`
}

// Report is the result of a run.
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
	// WorstWindowShare is the smallest share of requests within target of any window.
	WorstWindowShare float64 `json:"worst_window"`
	// OpenFlowResets counts flows that a daemon reset while their endpoint still held them.
	OpenFlowResets int `json:"reset_open_flows"`
	// MisroutedFlows counts flows whose packets went to other endpoints.
	MisroutedFlows int `json:"misrouted_flows"`
	// DuplicateExecutions counts repeated executions of requests that must run at most
	// once.
	DuplicateExecutions int `json:"double_runs"`
	// OpenedAfterDrain counts flows that opened at an endpoint after it had left or its drain
	// time had passed.
	OpenedAfterDrain int `json:"late_openings"`
	// OpenedInClosedZone counts flows that opened in a zone that was closed.
	OpenedInClosedZone int `json:"closed_openings"`
	// ColdOverloads counts cold endpoints that got more flows than they can handle and
	// crashed. It counts as a violation only if the rate was configured.
	ColdOverloads int `json:"overrun"`
	// StaleRoutes counts flows that were handled according to an outdated configuration.
	StaleRoutes int `json:"late_routes"`
	// CorruptedPackets counts packets that differ from what their sender wrote.
	CorruptedPackets int `json:"forged"`
	// MismatchedResponses counts responses that belong to another request.
	MismatchedResponses int            `json:"mixed"`
	FailedRequests      map[string]int `json:"lost"`
	Decisions           map[string]int `json:"decisions"`
	Windows             []Window       `json:"windows"`
	// StoreCalls counts store calls by kind.
	StoreCalls map[string]int `json:"calls"`
	// Updates and UpdateBytes count the directory updates between balancers and their
	// bytes.
	Updates     int `json:"updates"`
	UpdateBytes int `json:"update_bytes"`
}

// Violations returns the number of violated guarantees.
func (r Report) Violations() int {
	broken := r.OpenFlowResets + r.MisroutedFlows + r.DuplicateExecutions + r.OpenedAfterDrain + r.OpenedInClosedZone + r.StaleRoutes + r.CorruptedPackets + r.MismatchedResponses
	if !r.ColdRateHidden {
		broken += r.ColdOverloads
	}
	return broken
}

func (w *world) report() Report {
	c := w.checker
	created := Report{
		Experiment: "platform", Shape: w.options.Shape.Name, Seed: w.options.Seed, Hash: w.options.Hash,
		Baseline: w.options.Baseline, WorstWindowShare: 1,
		OpenFlowResets: c.openFlowResets, MisroutedFlows: c.misroutedFlows, DuplicateExecutions: c.duplicateExecutions, OpenedAfterDrain: c.openedAfterDrain,
		OpenedInClosedZone: c.openedInClosedZone, ColdOverloads: c.coldOverloads, ColdRateHidden: w.options.ColdRateHidden,
		StaleRoutes: c.staleRoutes, CorruptedPackets: c.corruptedAtEndpoint + c.corruptedAtClient, MismatchedResponses: c.mismatchedResponses,
		FailedRequests: c.failureCauses, Decisions: c.decisions, StoreCalls: c.calls, Updates: c.updates, UpdateBytes: c.updateBytes,
	}
	indices := make([]int, 0, len(c.windows))
	for index := range c.windows {
		indices = append(indices, index)
	}
	slices.Sort(indices)
	served, inTarget := 0, 0
	for _, index := range indices {
		window := *c.windows[index]
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
