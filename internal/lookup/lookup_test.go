package lookup_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const flowCount = 20_000

func without(configuration *table.Table, removed table.BackendID) *table.Table {
	left := configuration.Clone()
	left.Backends = slices.DeleteFunc(left.Backends, func(b table.Backend) bool { return b.ID == removed })
	return left
}

// backendsOf returns the row of each flow; every flow must have one.
func backendsOf(built *lookup.Table, flows []packet.Flow) []table.BackendID {
	chosen := make([]table.BackendID, len(flows))
	for i, flow := range flows {
		target, outcome := built.Route(flow)
		Expect(outcome).To(Equal(lookup.Routed))
		chosen[i] = target.Backend
	}
	return chosen
}

func expectMovedOnlyFrom(removed table.BackendID, before, after []table.BackendID) {
	GinkgoHelper()
	moved := 0
	for i := range before {
		if before[i] == removed {
			Expect(after[i]).NotTo(Equal(removed))
			moved++
			continue
		}
		Expect(after[i]).To(Equal(before[i]))
	}
	Expect(moved).To(BeNumerically(">", 0))
}

var _ = Describe("Table", func() {
	configuration := fleet(3, 7)
	flows := randomFlows(configuration, flowCount)

	It("is the same for two balancers", func() {
		one := lookup.Build(configuration, lookup.AllAlive)
		other := lookup.Build(configuration.Clone(), lookup.AllAlive)
		Expect(backendsOf(one, flows)).To(Equal(backendsOf(other, flows)))
	})

	It("gives a flow only rows of its own service", func() {
		built := lookup.Build(configuration, lookup.AllAlive)
		for _, flow := range flows {
			target, _ := built.Route(flow)
			service, _ := configuration.Service(target.Service)
			Expect(service.Address.AddrPort()).To(Equal(flow.Destination))
			row, _ := configuration.Backend(target.Backend)
			Expect(target).To(Equal(lookup.Target{
				Service: row.Service, Backend: row.ID, Incarnation: row.Incarnation, Agent: row.Agent.AddrPort(),
			}))
		}
	})

	DescribeTable("moves only the flows of a row that goes",
		func(change func(removed table.BackendID) *lookup.Table) {
			before := backendsOf(lookup.Build(configuration, lookup.AllAlive), flows)
			for _, removed := range []table.BackendID{1, 10, 21} {
				expectMovedOnlyFrom(removed, before, backendsOf(change(removed), flows))
			}
		},
		Entry("by drain", func(removed table.BackendID) *lookup.Table {
			drained := configuration.Clone()
			drained.Backends[removed-1].Drain = true
			return lookup.Build(drained, lookup.AllAlive)
		}),
		Entry("by weight 0", func(removed table.BackendID) *lookup.Table {
			unweighted := configuration.Clone()
			unweighted.Backends[removed-1].Weight = 0
			return lookup.Build(unweighted, lookup.AllAlive)
		}),
		Entry("by death", func(removed table.BackendID) *lookup.Table {
			return lookup.Build(configuration, func(id table.BackendID) bool { return id != removed })
		}),
		Entry("by deletion", func(removed table.BackendID) *lookup.Table {
			// Seven rows and six have the same number of slots.
			return lookup.Build(without(configuration, removed), lookup.AllAlive)
		}),
	)

	It("ignores liveness if no row is alive", func() {
		dead := lookup.Build(configuration, func(table.BackendID) bool { return false })
		Expect(backendsOf(dead, flows)).To(Equal(backendsOf(lookup.Build(configuration, lookup.AllAlive), flows)))
	})

	It("has no target where no row may be given flows", func() {
		drained := configuration.Clone()
		for i := range drained.Backends {
			drained.Backends[i].Drain = true
		}
		built := lookup.Build(drained, lookup.AllAlive)
		_, outcome := built.Route(flows[0])
		Expect(outcome).To(Equal(lookup.NoBackend))
	})

	It("knows a service by address, port and protocol together", func() {
		built := lookup.Build(configuration, lookup.AllAlive)
		other := flows[0]
		other.Protocol = table.ProtocolUDP
		_, outcome := built.Route(other)
		Expect(outcome).To(Equal(lookup.UnknownService))
		_, outcome = built.Route(packet.Flow{})
		Expect(outcome).To(Equal(lookup.UnknownService))
	})
})

var _ = Describe("Assign", func() {
	DescribeTable("gives slots in proportion to weights",
		func(weights ...uint32) {
			const services = 200 // enough slots that chance evens out
			held := make([]int, len(weights))
			slots, total := 0, uint32(0)
			rows := fleet(1, len(weights)).Backends
			for i, weight := range weights {
				rows[i].Weight = weight
				total += weight
			}
			for service := range services {
				for _, index := range lookup.AssignSlots(table.ServiceID(service+1), rows, lookup.AllAlive) {
					held[index]++
					slots++
				}
			}
			for i, weight := range weights {
				want := float64(weight) / float64(total)
				got := float64(held[i]) / float64(slots)
				Expect(got).To(BeNumerically("~", want, 0.01), fmt.Sprint("row ", i))
			}
		},
		Entry("equal", uint32(100), uint32(100), uint32(100)),
		Entry("one, two and three", uint32(1), uint32(2), uint32(3)),
		Entry("far apart", uint32(1), uint32(99)),
		Entry("largest", uint32(table.MaxWeight), uint32(table.MaxWeight/2), uint32(table.MaxWeight/4)),
		Entry("with a zero", uint32(5), uint32(0), uint32(5)),
	)

	It("marks slots that no row may hold", func() {
		slots := lookup.AssignSlots(1, nil, lookup.AllAlive)
		Expect(slots).To(HaveEach(int16(lookup.NoCandidate)))
		Expect(slots).To(HaveLen(lookup.SlotCount(0)))
	})
})
