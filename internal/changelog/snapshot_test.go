package changelog_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// drawChange generates a random valid or invalid change of a small table.
func drawChange(t *rapid.T, number int, version table.Version) *changelog.Change {
	row := table.BackendID(rapid.IntRange(1, 5).Draw(t, "row"))
	service := table.ServiceID(rapid.IntRange(1, 3).Draw(t, "service"))
	change := &changelog.Change{
		ID:          changelog.ChangeID(fmt.Sprintf("change-%d", rapid.IntRange(max(0, number-5), number).Draw(t, "id"))),
		BaseVersion: version,
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		change.AddServices = []table.Service{newService(service)}
	case 1:
		added := newBackend(row, service)
		added.Incarnation = table.Incarnation(number)
		change.AddBackends = []table.Backend{added}
	case 2:
		change.RemoveBackends = []table.BackendID{row}
	case 3:
		change.RemoveServices = []table.ServiceID{service}
	case 4:
		change.Import = &changelog.Import{
			Revision: changelog.Revision(rapid.IntRange(1, 10).Draw(t, "revision")),
			Services: []table.Service{newService(service)}, Backends: []table.Backend{newBackend(row, service)},
		}
	default:
		change.Cells = weightUpdate(row, uint32(rapid.IntRange(0, table.MaxWeight+1).Draw(t, "weight")))
	}
	return change
}

// TestReplicasAgree applies the same random changes to two states, one of which is
// encoded and decoded at random points. It fails if the final encodings differ, if a
// change is applied twice, or if the table becomes invalid.
func TestReplicasAgree(t *testing.T) {
	limits := changelog.Limits{Outcomes: 8, History: 4}
	rapid.Check(t, func(t *rapid.T) {
		state, other := changelog.NewState(limits), changelog.NewState(limits)
		acceptedAt := make(map[changelog.ChangeID]table.Version)
		for number := range rapid.IntRange(1, 60).Draw(t, "changes") {
			change := drawChange(t, number, state.Version())
			before := state.Version()
			outcome := state.Apply(change)
			other.Apply(change)
			if state.Version() > before {
				if earlier, twice := acceptedAt[change.ID]; twice {
					t.Fatalf("%s applied at %d and %d", change.ID, earlier, outcome.Version)
				}
				acceptedAt[change.ID] = outcome.Version
			}
			if err := state.Table().Validate(); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "restore") {
				other = decode(t, limits, other)
			}
		}
		if !bytes.Equal(encode(t, state), encode(t, other)) {
			t.Fatal("the encodings of the two states differ")
		}
	})
}

func encode(t rapid.TB, state *changelog.State) []byte {
	encoded, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func decode(t rapid.TB, limits changelog.Limits, state *changelog.State) *changelog.State {
	restored, err := changelog.Decode(limits, encode(t, state))
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestDecodeRefusesDamage(t *testing.T) {
	state := changelog.NewState(changelog.DefaultLimits())
	state.Apply(&changelog.Change{ID: "first", AddServices: []table.Service{newService(1)}})
	encoded := encode(t, state)
	for name, damaged := range map[string][]byte{
		"cut":      encoded[:len(encoded)-1],
		"extended": append(bytes.Clone(encoded), 0),
		"invalid":  bytes.Replace(encoded, []byte("198.51.100.1:1001"), []byte("198.51.100.1:oooo"), 1),
	} {
		if _, err := changelog.Decode(changelog.DefaultLimits(), damaged); err == nil {
			t.Errorf("Decode accepted the snapshot %q", name)
		}
	}
}
