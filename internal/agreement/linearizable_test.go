package agreement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// registerInput is a compare-and-set of one row: the change sets the row's
// weight if the row was last changed by the expected change.
type registerInput struct {
	row      table.BackendID
	expected changelog.ChangeID
	id       changelog.ChangeID
}

// registerOutput is what the operator was told in the end.
type registerOutput struct {
	answer   agreement.Answer
	accepted bool
}

// registerModel holds, for one row, the change that last altered it.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{changelog.ChangeID("row-1")} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		rows := make(map[table.BackendID][]porcupine.Operation)
		for _, operation := range history {
			row := operation.Input.(registerInput).row
			rows[row] = append(rows[row], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range rows {
			parts = append(parts, part)
		}
		return parts
	},
	Step: func(state, input, output any) []any {
		last := state.(changelog.ChangeID)
		compare, told := input.(registerInput), output.(registerOutput)
		matches := last == compare.expected
		switch {
		case told.answer == agreement.AnswerUnknown && matches:
			return []any{last, compare.id}
		case told.answer == agreement.AnswerUnknown:
			return []any{last}
		case told.accepted && matches:
			return []any{compare.id}
		case !told.accepted && !matches:
			return []any{last}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

const (
	registerRows   = 2
	clients        = 4
	clientPatience = 12 * time.Second
	historyLength  = 25 * time.Second
)

// client sets rows one after another, each from what some process holds, which
// may be old. It repeats an undecided change under the same identifier.
type client struct {
	number    int
	operation int
	started   time.Duration
	change    *changelog.Change
	input     registerInput
}

// registers runs clients against a cluster and records what they were told.
type registers struct {
	*schedule
	clients []*client
	history []porcupine.Operation
}

func (r *registers) begin(c *client) {
	c.operation++
	p := r.processes[r.random.IntN(r.machines)]
	row := table.BackendID(1 + r.random.IntN(registerRows))
	version := p.state.RowVersion(row)
	if version == 0 {
		return
	}
	id := changelog.ChangeID(fmt.Sprintf("client-%d-%d", c.number, c.operation))
	// Every weight is new: a change that sets what is set leaves the row's
	// version as it is.
	weight := uint32(2 + c.operation + 1000*c.number)
	c.change = &changelog.Change{
		ID: id, Base: p.state.Version(), Who: "client", Why: "test",
		ExpectedRows: []changelog.RowExpectation{{Backend: row, Version: version}},
		Cells:        []changelog.CellUpdate{{Backend: row, Weight: &weight}},
	}
	c.input = registerInput{row: row, expected: r.checker.lastChangeOf(row, version), id: id}
	c.started = r.now
	r.attempt(c)
}

func (r *registers) attempt(c *client) {
	if p := r.leader(); p != nil {
		r.propose(p, c.change)
	}
}

// poll sees to a client: it begins, repeats or ends its operation.
func (r *registers) poll(c *client) {
	if c.change == nil {
		r.begin(c)
		return
	}
	id := agreement.ProposalID(c.change.ID)
	answer, answered := r.answers[id]
	switch {
	case answered && answer == agreement.AnswerCommitted:
		r.end(c, registerOutput{answer: answer, accepted: r.checker.versionOf[c.change.ID] != 0})
	case r.now > c.started+clientPatience:
		r.end(c, registerOutput{answer: agreement.AnswerUnknown})
	case answered || r.checker.attempts[id] == 0:
		r.attempt(c)
	}
}

func (r *registers) end(c *client, output registerOutput) {
	returned := int64(r.now)
	if output.answer == agreement.AnswerUnknown {
		// What is unknown may still happen at any later time.
		returned = int64(time.Hour)
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: c.number*1000 + c.operation, Input: c.input, Output: output,
		Call: int64(c.started), Return: returned,
	})
	c.change = nil
}

// recordHistory lets clients and faults run and returns what clients were told.
func recordHistory(t *testing.T, seed uint64) *registers {
	t.Helper()
	of := shape{machines: 9, zones: 5, replicas: 3, witnesses: 2, seed: seed}
	r := &registers{schedule: &schedule{cluster: newCluster(of), choose: seededChooser(seed), proposed: registerRows}}
	if !r.waitFormed(time.Minute) || !r.accept(registerTable(), 5*time.Second) {
		t.Fatalf("%s: not formed", r)
	}
	for number := range clients {
		r.clients = append(r.clients, &client{number: number})
	}
	for end := r.now + historyLength; r.now < end; {
		r.step()
		for range 5 {
			for _, c := range r.clients {
				r.poll(c)
			}
			r.advance(150 * time.Millisecond)
		}
	}
	for _, c := range r.clients {
		if c.change != nil {
			r.end(c, registerOutput{answer: agreement.AnswerUnknown})
		}
	}
	return r
}

// registerTable creates the rows that the clients set, in one change.
func registerTable() *changelog.Change {
	change := addRow(1)
	second := addRow(2)
	change.AddServices = append(change.AddServices, second.AddServices...)
	change.AddBackends = append(change.AddBackends, second.AddBackends...)
	return change
}

func TestRowsAreLinearizable(t *testing.T) {
	accepted, unknown := 0, 0
	for seed := range uint64(40) {
		r := recordHistory(t, seed)
		if len(r.checker.violations) > 0 {
			t.Fatalf("%s: %v", r, r.checker.violations)
		}
		for _, operation := range r.history {
			output := operation.Output.(registerOutput)
			if output.accepted {
				accepted++
			}
			if output.answer == agreement.AnswerUnknown {
				unknown++
			}
		}
		result := porcupine.CheckOperations(registerModel.ToModel(), r.history)
		if !result {
			t.Fatalf("%s: %d operations are not linearizable", r, len(r.history))
		}
	}
	t.Logf("%d changes accepted, %d unknown", accepted, unknown)
	if accepted == 0 {
		t.Fatal("no change was accepted")
	}
}

// TestLinearizabilityCatchesALostChange takes an accepted change out of a
// history, as if the change had reverted.
func TestLinearizabilityCatchesALostChange(t *testing.T) {
	told := func(accepted bool) registerOutput {
		return registerOutput{answer: agreement.AnswerCommitted, accepted: accepted}
	}
	history := []porcupine.Operation{
		{ClientId: 1, Input: registerInput{1, "row-1", "first"}, Output: told(true), Call: 1, Return: 2},
		{ClientId: 2, Input: registerInput{1, "row-1", "second"}, Output: told(true), Call: 3, Return: 4},
	}
	if porcupine.CheckOperations(registerModel.ToModel(), history) {
		t.Fatal("a change that reverted went unnoticed")
	}
}
