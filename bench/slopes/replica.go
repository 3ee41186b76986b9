// This file implements the measurements of the replicated state machine of the
// table.

package slopes

import (
	"fmt"
	"runtime"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

func replicaExperiments() []experiment {
	fleetRows := []int{1600, 3200, 6400, 12_000}
	return []experiment{
		{"replica state", costHeap, "rows of the table", fleetRows, exactly(heapOfReplica)},
		{"replica history", costHeap, "changes remembered", []int{250, 500, 1000, 2000}, exactly(heapOfHistory)},
		{"snapshot", "bytes", "rows of the table", fleetRows, exactly(bytesOfSnapshot)},
		{"change", "bytes", "rows changed", []int{1, 2, 4, 8, 16}, exactly(bytesOfChange)},
		{"import", "bytes", "rows of the table", fleetRows, exactly(bytesOfImport)},
		{"change applied", costTime, "rows of the table", fleetRows, exactly(timeOfChange)},
		{"import applied", costTime, "rows of the table", fleetRows, exactly(timeOfImport)},
	}
}

// importOf returns the change that brings in a whole table.
func importOf(sample *table.Table, revision int, base table.Version) *changelog.Change {
	return &changelog.Change{
		ID:   changelog.ChangeID(fmt.Sprintf("import-%d", revision)),
		Base: base,
		Who:  "platform",
		Import: &changelog.Import{
			Revision: changelog.Revision(revision),
			Services: sample.Services,
			Backends: sample.Backends,
		},
	}
}

// importedState returns the state after the first import.
func importedState(rows int) *changelog.State {
	state := changelog.NewState(changelog.DefaultLimits())
	mustAccept(state, importOf(sampleTable(rows/rowsPerService, rowsPerService), 1, 0))
	return state
}

func mustAccept(state *changelog.State, change *changelog.Change) {
	if outcome := state.Apply(change); !outcome.Accepted {
		panic(fmt.Sprintf("slopes: a change was refused: %+v", outcome.Refusal))
	}
}

// weightChange returns a change of the weights of successive rows.
func weightChange(number, rows int, base table.Version) *changelog.Change {
	change := &changelog.Change{
		ID:   changelog.ChangeID(fmt.Sprintf("01234567-89ab-cdef-0123-%012d", number)),
		Base: base,
		Who:  "operator@example.org",
		When: 1_790_000_000_000_000_000,
		Why:  "more recordings than usual this week",
	}
	for index := range rows {
		weight := uint32(rowWeight + 1 + number%rowWeight)
		change.Cells = append(change.Cells, changelog.CellUpdate{
			Backend: table.BackendID(index + 1), Weight: &weight,
		})
	}
	return change
}

func heapOfReplica(rows int) float64 { return heapOfDecoded(encodeState(importedState(rows))) }

// heapOfDecoded measures a state that shares nothing with what it came from.
func heapOfDecoded(encoded []byte) float64 {
	heap := heapOf(func() any {
		state, err := changelog.Decode(changelog.DefaultLimits(), encoded)
		if err != nil {
			panic("slopes: cannot decode a snapshot: " + err.Error())
		}
		return state
	})
	runtime.KeepAlive(encoded)
	return heap
}

func encodeState(state *changelog.State) []byte {
	encoded, err := state.Encode()
	if err != nil {
		panic("slopes: cannot encode a snapshot: " + err.Error())
	}
	return encoded
}

func heapOfHistory(changes int) float64 {
	state := importedState(rowsPerService)
	before := encodeState(state)
	for number := range changes {
		mustAccept(state, weightChange(number, 1, state.Version()))
	}
	after := encodeState(state)
	heap := heapOfDecoded(after) - heapOfDecoded(before)
	runtime.KeepAlive(after)
	return heap
}

func bytesOfSnapshot(rows int) float64 { return float64(len(encodeState(importedState(rows)))) }

func bytesOfChange(rows int) float64 { return encodedSize(weightChange(1, rows, 1)) }

func bytesOfImport(rows int) float64 {
	return encodedSize(importOf(sampleTable(rows/rowsPerService, rowsPerService), 1, 0))
}

func encodedSize(change *changelog.Change) float64 {
	encoded, err := change.MarshalMsg(nil)
	if err != nil {
		panic("slopes: cannot encode a change: " + err.Error())
	}
	return float64(len(encoded))
}

func timeOfChange(rows int) float64 {
	state := importedState(rows)
	return nanoseconds(func(number int) {
		mustAccept(state, weightChange(number, 1, state.Version()))
	})
}

// timeOfImport imports revisions that differ in one weight.
func timeOfImport(rows int) float64 {
	state := importedState(rows)
	sample := sampleTable(rows/rowsPerService, rowsPerService)
	return nanoseconds(func(number int) {
		changed := sample.Clone()
		changed.Backends[scattered(number, len(changed.Backends))].Weight += uint32(1 + number%rowWeight)
		mustAccept(state, importOf(changed, number+2, state.Version()))
	})
}
