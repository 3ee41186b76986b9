package flownet

import "slices"

// Window is what became of the requests that were sent in one period.
type Window struct {
	Asked    int `json:"asked"`
	Served   int `json:"served"`
	InTarget int `json:"in_target"`
}

// Report is the outcome of a run.
type Report struct {
	Experiment string  `json:"experiment"`
	Shape      string  `json:"shape"`
	Seed       uint64  `json:"seed"`
	Hash       Hash    `json:"hash"`
	Baseline   bool    `json:"baseline"`
	Untold     bool    `json:"untold"`
	Asked      int     `json:"asked"`
	Served     float64 `json:"served"`
	InTarget   float64 `json:"in_target"`
	// WorstWindow is the least share in target of a window.
	WorstWindow float64 `json:"worst_window"`
	// ResetOpen counts flows that a daemon reset while their endpoint lived.
	ResetOpen int `json:"reset_open_flows"`
	// Misrouted counts flows whose packets went to other endpoints.
	Misrouted int `json:"misrouted_flows"`
	// DoubleRuns counts requests that ran twice and must not.
	DoubleRuns int `json:"double_runs"`
	// LateOpenings counts flows that opened at an endpoint that had left.
	LateOpenings int `json:"late_openings"`
	// ClosedOpenings counts flows that opened in a zone that was closed.
	ClosedOpenings int `json:"closed_openings"`
	// Overrun counts cold endpoints that got more than they carry and failed. It breaks a
	// promise only if the rate was told.
	Overrun int `json:"overrun"`
	// LateRoutes counts flows that were treated by an old configuration.
	LateRoutes int `json:"late_routes"`
	// Forged counts packets that arrived not as their sender wrote them.
	Forged int `json:"forged"`
	// Mixed counts answers that belong to another request.
	Mixed     int            `json:"mixed"`
	Lost      map[string]int `json:"lost"`
	Decisions map[string]int `json:"decisions"`
	Windows   []Window       `json:"windows"`
	// Calls counts the calls of the store, by kind.
	Calls map[string]int `json:"calls"`
	// Updates and UpdateBytes count what balancers tell each other of the directory.
	Updates     int `json:"updates"`
	UpdateBytes int `json:"update_bytes"`
}

// Broken returns the number of broken promises.
func (r Report) Broken() int {
	broken := r.ResetOpen + r.Misrouted + r.DoubleRuns + r.LateOpenings + r.ClosedOpenings + r.LateRoutes + r.Forged + r.Mixed
	if !r.Untold {
		broken += r.Overrun
	}
	return broken
}

func (w *world) report() Report {
	l := w.ledger
	created := Report{
		Experiment: "platform", Shape: w.options.Shape.Name, Seed: w.options.Seed, Hash: w.options.Hash,
		Baseline: w.options.Baseline, WorstWindow: 1,
		ResetOpen: l.resetOpen, Misrouted: l.misrouted, DoubleRuns: l.doubleRuns, LateOpenings: l.lateOpenings,
		ClosedOpenings: l.closedOpenings, Overrun: l.overrun, Untold: w.options.Untold,
		LateRoutes: l.lateRoutes, Forged: l.forgedPackets + l.forgedToClient, Mixed: l.mixed,
		Lost: l.causes, Decisions: l.decisions, Calls: l.calls, Updates: l.updates, UpdateBytes: l.updateBytes,
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
		created.Asked += window.Asked
		served += window.Served
		inTarget += window.InTarget
		created.WorstWindow = min(created.WorstWindow, share(window.InTarget, window.Asked))
	}
	created.Served = share(served, created.Asked)
	created.InTarget = share(inTarget, created.Asked)
	return created
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
