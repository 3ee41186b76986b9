package admission

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// View is what a row knows of its service: the rows at one table version, and
// what is believed of their agents.
type View struct {
	Version table.Version
	Service table.ServiceID
	Rows    []table.Backend
	// Down lists rows whose agent's lease has ended without renewal.
	Down []table.BackendID
	// Leaving lists rows whose agent is stopping; it still answers.
	Leaving []table.BackendID
}

func (v *View) alive(id table.BackendID) bool { return !slices.Contains(v.Down, id) }

// candidate reports whether liveness allows the row to be given new flows.
func (v *View) candidate(id table.BackendID) bool {
	return v.alive(id) && !slices.Contains(v.Leaving, id)
}

func (v *View) row(id table.BackendID) (table.Backend, bool) {
	for _, row := range v.Rows {
		if row.ID == id {
			return row, true
		}
	}
	return table.Backend{}, false
}

// heldView is a view with its slot assignment.
type heldView struct {
	view  View
	slots []int16
}

func newHeldView(view View) *heldView {
	return &heldView{view: view, slots: lookup.AssignSlots(view.Service, view.Rows, view.candidate)}
}

// primary returns the row that decides about new flows with this hash.
func (h *heldView) primary(flowHash uint64) (table.BackendID, bool) {
	if len(h.slots) == 0 {
		return 0, false
	}
	index := h.slots[lookup.SlotOf(flowHash, len(h.slots))]
	if index == lookup.NoCandidate {
		return 0, false
	}
	return h.view.Rows[index].ID, true
}

// second returns the row that would be primary if the given one were not.
func (h *heldView) second(flowHash uint64, primary table.BackendID) (table.BackendID, bool) {
	candidates := make([]lookup.Candidate, len(h.view.Rows))
	for index, row := range h.view.Rows {
		candidates[index].Backend = row.ID
		if row.ID != primary && row.AcceptsNewFlows() && h.view.candidate(row.ID) {
			candidates[index].Weight = row.Weight
		}
	}
	slot := lookup.SlotOf(flowHash, len(h.slots))
	index := lookup.Primary(h.view.Service, slot, candidates)
	if index == lookup.NoCandidate {
		return 0, false
	}
	return h.view.Rows[index].ID, true
}

func (h *heldView) sameRouting(view View) bool {
	return slices.Equal(h.view.Rows, view.Rows) &&
		slices.Equal(h.view.Down, view.Down) &&
		slices.Equal(h.view.Leaving, view.Leaving)
}

// history keeps the current view and those it replaced.
type history struct {
	current *heldView
	past    []*heldView
	// changed is when the current view was installed.
	changed time.Duration
}

const maximumPastViews = 16

// install makes view the current one.
func (h *history) install(now time.Duration, view View) {
	if h.current != nil && h.current.sameRouting(view) {
		h.current.view.Version = view.Version
		return
	}
	if h.current != nil {
		h.past = append(h.past, h.current)
	}
	if len(h.past) > maximumPastViews {
		h.past = slices.Delete(h.past, 0, len(h.past)-maximumPastViews)
	}
	h.current = newHeldView(view)
	h.changed = now
}

// holders returns the rows other than self that were primary for the hash in
// an earlier view, newest first.
func (h *history) holders(flowHash uint64, self table.BackendID) []table.BackendID {
	var holders []table.BackendID
	for index := len(h.past) - 1; index >= 0; index-- {
		holder, exists := h.past[index].primary(flowHash)
		if exists && holder != self && !slices.Contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	return holders
}
