package lookup

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/table"
)

// referencePrimary is Primary without cannotBeat.
func referencePrimary(service table.ServiceID, slot int, candidates []Candidate) int {
	best := NoCandidate
	for index, candidate := range candidates {
		if candidate.Weight == 0 {
			continue
		}
		score := negativeLog2(rendezvousHash(service, slot, candidate.Backend))
		if best == NoCandidate {
			best = index
			continue
		}
		leader := negativeLog2(rendezvousHash(service, slot, candidates[best].Backend))
		if scoreLess(score, candidate.Weight, leader, candidates[best].Weight) {
			best = index
		}
	}
	return best
}

func drawCandidates(t *rapid.T) []Candidate {
	// There are few distinct weights, so that equal ones are common.
	weight := rapid.SampledFrom([]uint32{0, 1, 2, 3, 100, 101, table.MaxWeight})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{Backend: table.BackendID(rapid.Uint32().Draw(t, "backend")), Weight: weight.Draw(t, "weight")}
	}), 0, 12).Draw(t, "candidates")
}

func TestPrimaryEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := table.ServiceID(rapid.Uint32().Draw(t, "service"))
		candidates := drawCandidates(t)
		for slot := range minSlots {
			if got, want := Primary(service, slot, candidates), referencePrimary(service, slot, candidates); got != want {
				t.Fatalf("slot %d: got candidate %d, want %d", slot, got, want)
			}
		}
	})
}

func TestCannotBeatIsNeverWrong(t *testing.T) {
	drawContender := func(t *rapid.T) contender {
		hash := rapid.Uint64().Draw(t, "hash")
		return contender{
			hash:   hash,
			weight: rapid.Uint32Range(1, table.MaxWeight).Draw(t, "weight"),
			score:  negativeLog2(hash),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		challenger := drawContender(t)
		leader := drawContender(t)
		if challenger.cannotBeat(leader) && scoreLess(challenger.score, challenger.weight, leader.score, leader.weight) {
			t.Fatalf("%+v beats %+v", challenger, leader)
		}
	})
}

func TestNegativeLog2(t *testing.T) {
	const unit = 1 << logFractionBits
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.Uint64Min(1).Draw(t, "value")
		want := 64 - math.Log2(float64(value))
		got := float64(negativeLog2(value)) / unit
		if math.Abs(got-want) > 2.0/unit {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestRebuildEqualsBuild edits a table step by step and compares the rebuilt lookup table
// with a new one. It guards against slots that are reused although their inputs changed.
func TestRebuildEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := &table.Table{Version: 1, Services: []table.Service{
			{ID: 1, Address: "198.51.100.1:80", Protocol: table.ProtocolTCP},
			{ID: 2, Address: "198.51.100.2:80", Protocol: table.ProtocolUDP},
		}}
		rebuilt := Build(configuration, AllAlive)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			editTable(t, configuration)
			dead := table.BackendID(rapid.IntRange(0, 6).Draw(t, "dead"))
			alive := func(id table.BackendID) bool { return id != dead }
			rebuilt = Rebuild(rebuilt, configuration, alive)
			compareTables(t, rebuilt, Build(configuration, alive))
		}
	})
}

// TestRebuildOfAnAddressWithAnotherService gives the address and rows of one service to
// another. Slots must not be reused then, since the service is part of their hash.
func TestRebuildOfAnAddressWithAnotherService(t *testing.T) {
	tableOf := func(service table.ServiceID) *table.Table {
		return &table.Table{
			Services: []table.Service{{ID: service, Address: "198.51.100.1:80", Protocol: table.ProtocolTCP}},
			Backends: []table.Backend{
				{ID: 1, Service: service, Agent: "192.0.2.1:1", Weight: 1},
				{ID: 2, Service: service, Agent: "192.0.2.2:1", Weight: 1},
			},
		}
	}
	got := Rebuild(Build(tableOf(1), AllAlive), tableOf(2), AllAlive)
	want := Build(tableOf(2), AllAlive)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func editTable(t *rapid.T, configuration *table.Table) {
	configuration.Version++
	switch rapid.SampledFrom([]string{"add", "edit", "swap addresses", "remove"}).Draw(t, "edit") {
	case "add":
		configuration.Backends = append(configuration.Backends, drawRow(t, len(configuration.Backends)+1))
	case "edit":
		if last := len(configuration.Backends); last > 0 {
			configuration.Backends[last-1] = drawRow(t, last)
		}
	case "swap addresses":
		services := configuration.Services
		services[0].Address, services[1].Address = services[1].Address, services[0].Address
	case "remove":
		if last := len(configuration.Backends); last > 0 {
			configuration.Backends = configuration.Backends[:last-1]
		}
	}
}

func drawRow(t *rapid.T, id int) table.Backend {
	return table.Backend{
		ID:          table.BackendID(id),
		Service:     table.ServiceID(rapid.IntRange(1, 2).Draw(t, "service")),
		Incarnation: table.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Agent:       rapid.SampledFrom([]table.Endpoint{"192.0.2.1:1", "192.0.2.2:1"}).Draw(t, "agent"),
		Weight:      rapid.Uint32Range(0, 3).Draw(t, "weight"),
		Drain:       rapid.Bool().Draw(t, "drain"),
	}
}

func compareTables(t *rapid.T, got, want *Table) {
	if got.Version() != want.Version() || len(got.services) != len(want.services) {
		t.Fatalf("got version %d with %d services, want %d with %d",
			got.Version(), len(got.services), want.Version(), len(want.services))
	}
	for key, entry := range want.services {
		if !reflect.DeepEqual(entry, got.services[key]) {
			t.Fatalf("service %d: got %+v, want %+v", entry.inputs.service, got.services[key], entry)
		}
	}
}
