package changelog_test

import (
	"fmt"
	"testing"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// largeState returns a state whose table has the given number of rows, ten per
// service.
func largeState(b *testing.B, rows int) *changelog.State {
	b.Helper()
	change := &changelog.Change{ID: "rows"}
	for number := range rows {
		service := table.ServiceID(number/10 + 1)
		if number%10 == 0 {
			change.AddServices = append(change.AddServices, newService(service))
		}
		change.AddBackends = append(change.AddBackends, newBackend(table.BackendID(number+1), service))
	}
	state := changelog.NewState(changelog.DefaultLimits())
	if outcome := state.Apply(change); !outcome.Accepted {
		b.Fatal(outcome.Refusal)
	}
	return state
}

// BenchmarkApply measures the application of a change of one cell.
func BenchmarkApply(b *testing.B) {
	for _, rows := range []int{100, 4000, 12_000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			state := largeState(b, rows)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				weight := uint32(number % table.MaxWeight)
				change := changelog.Change{
					ID: changelog.ChangeID(fmt.Sprintf("change-%d", number)), BaseVersion: state.Version(),
					Author: "operator", Reason: "benchmark", Cells: weightUpdate(1, weight),
				}
				if outcome := state.Apply(&change); !outcome.Accepted {
					b.Fatal(outcome.Refusal)
				}
			}
		})
	}
}

// BenchmarkImport measures the import of a revision that changes one cell.
func BenchmarkImport(b *testing.B) {
	for _, rows := range []int{100, 4000, 12_000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			state := largeState(b, rows)
			current := state.Table().Clone()
			revision := changelog.Revision(0)
			for b.Loop() {
				revision++
				current.Backends[0].Weight = uint32(revision % table.MaxWeight)
				change := changelog.Change{
					ID: changelog.ChangeID(fmt.Sprintf("revision-%d", revision)), BaseVersion: state.Version(),
					Import: &changelog.Import{
						Revision: revision, Services: current.Services, Backends: current.Backends,
					},
				}
				if outcome := state.Apply(&change); !outcome.Accepted {
					b.Fatal(outcome.Refusal)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures encoding and decoding of a state whose lists of
// outcomes and records are full.
func BenchmarkSnapshot(b *testing.B) {
	for _, rows := range []int{100, 4000, 12_000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			state := largeState(b, rows)
			for number := range changelog.DefaultLimits().Outcomes + 1 {
				change := changelog.Change{
					ID: changelog.ChangeID(fmt.Sprintf("change-%d", number)), BaseVersion: state.Version(),
					Author: "operator", Reason: "benchmark", Cells: weightUpdate(1, uint32(number)),
				}
				state.Apply(&change)
			}
			size := 0
			for b.Loop() {
				encoded, err := state.Encode()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := changelog.Decode(changelog.DefaultLimits(), encoded); err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
