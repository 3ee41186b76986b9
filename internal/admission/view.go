package admission

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// View is the state of a row's service: the rows at one table version, and
// the state of their agents as reported by the daemons.
type View struct {
	Version table.Version
	Service table.ServiceID
	Rows    []table.Backend
	// Down lists the rows whose agent's lease has ended without renewal.
	Down []table.BackendID
	// Leaving lists the rows whose agent is stopping but still answers.
	Leaving []table.BackendID
}

// consideredAlive reports whether the lease of the row's agent is not known to have
// ended.
func (v *View) consideredAlive(id table.BackendID) bool { return !slices.Contains(v.Down, id) }

// mayTakeNewFlows reports whether the row's agent is neither down nor stopping.
// It ignores the drain state and weight of the row.
func (v *View) mayTakeNewFlows(id table.BackendID) bool {
	return v.consideredAlive(id) && !slices.Contains(v.Leaving, id)
}

func (v *View) row(id table.BackendID) (table.Backend, bool) {
	for _, row := range v.Rows {
		if row.ID == id {
			return row, true
		}
	}
	return table.Backend{}, false
}

// assignedView is a view together with the assignment of hash slots to its rows.
// Each slot holds the index of its primary row in view.Rows, or lookup.NoCandidate.
type assignedView struct {
	view  View
	slots []int16
}

func newAssignedView(view View) *assignedView {
	return &assignedView{view: view, slots: lookup.AssignSlots(view.Service, view.Rows, view.mayTakeNewFlows)}
}

// primary returns the row that decides about new flows with the given hash. It
// returns false if no row of the view accepts new flows.
func (a *assignedView) primary(flowHash uint64) (table.BackendID, bool) {
	if len(a.slots) == 0 {
		return 0, false
	}
	index := a.slots[lookup.SlotOf(flowHash, len(a.slots))]
	if index == lookup.NoCandidate {
		return 0, false
	}
	return a.view.Rows[index].ID, true
}

// secondChoice returns the row that would be primary for the hash if the given
// primary did not take part.
func (a *assignedView) secondChoice(flowHash uint64, primary table.BackendID) (table.BackendID, bool) {
	candidates := make([]lookup.Candidate, len(a.view.Rows))
	for index, row := range a.view.Rows {
		candidates[index].Backend = row.ID
		if row.ID != primary && row.AcceptsNewFlows() && a.view.mayTakeNewFlows(row.ID) {
			candidates[index].Weight = row.Weight
		}
	}
	slot := lookup.SlotOf(flowHash, len(a.slots))
	index := lookup.Primary(a.view.Service, slot, candidates)
	if index == lookup.NoCandidate {
		return 0, false
	}
	return a.view.Rows[index].ID, true
}

// sameRouting reports whether the given view has the same rows and the same agent
// states as this one. The versions may differ.
func (a *assignedView) sameRouting(view View) bool {
	return slices.Equal(a.view.Rows, view.Rows) &&
		slices.Equal(a.view.Down, view.Down) &&
		slices.Equal(a.view.Leaving, view.Leaving)
}

// viewHistory keeps the current view and its most recent predecessors.
type viewHistory struct {
	current *assignedView
	past    []*assignedView
	// changedAt is when the current view was installed. An update of only its
	// version does not count.
	changedAt time.Duration
}

// maxPastViews bounds the number of replaced views that are kept.
const maxPastViews = 16

// install makes view the current one. A view with the same routing only updates
// the version of the current view.
func (h *viewHistory) install(now time.Duration, view View) {
	if h.current != nil && h.current.sameRouting(view) {
		h.current.view.Version = view.Version
		return
	}
	if h.current != nil {
		h.past = append(h.past, h.current)
	}
	if len(h.past) > maxPastViews {
		h.past = slices.Delete(h.past, 0, len(h.past)-maxPastViews)
	}
	h.current = newAssignedView(view)
	h.changedAt = now
}

// previousPrimaries returns the rows other than self that were primary for the
// hash in an earlier view. The most recent comes first.
func (h *viewHistory) previousPrimaries(flowHash uint64, self table.BackendID) []table.BackendID {
	var primaries []table.BackendID
	for index := len(h.past) - 1; index >= 0; index-- {
		primary, exists := h.past[index].primary(flowHash)
		if exists && primary != self && !slices.Contains(primaries, primary) {
			primaries = append(primaries, primary)
		}
	}
	return primaries
}
