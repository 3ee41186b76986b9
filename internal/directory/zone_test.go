package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

const closedZone = "zone-7"

func zoneItem(zone string, revision directory.Revision, closed bool) directory.Item {
	return directory.Item{Key: "zones/" + zone, Zone: zone, Closed: closed, Revision: revision}
}

// closedZones returns the names of the zones that a machine takes for closed.
func closedZones(machine *directory.Machine) []string {
	names := []string{}
	for _, each := range machine.Snapshot().Closed() {
		names = append(names, each.Zone)
	}
	return names
}

var _ = Describe("Machine, with zones that are closed", func() {
	var machine *directory.Machine

	inZone := func() *directory.Endpoint {
		value := endpoint("s", false)
		value.Zone = closedZone
		return value
	}
	closed := func(id directory.EndpointID) bool {
		candidate, exists := machine.Snapshot().Candidate(id)
		Expect(exists).To(BeTrue())
		return candidate.Closed
	}

	BeforeEach(func() {
		machine = directory.New()
		machine.Listing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, inZone())}, 2)
	})

	It("shows which endpoints must get no new flow, and since when", func() {
		machine.Changes(time.Second, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		Expect(closed(directory.Named("a"))).To(BeTrue())
		Expect(machine.Snapshot().Closed()).To(Equal([]directory.ClosedZone{{Zone: closedZone, Revision: 3, Since: time.Second}}))
		machine.Changes(2*time.Second, []directory.Item{endpointItem("b", 4, inZone())}, 4)
		Expect(closed(directory.Named("b"))).To(BeTrue(), "one that starts while the zone is closed")
		machine.Changes(3*time.Second, []directory.Item{zoneItem(closedZone, 5, false)}, 5)
		Expect(closed(directory.Named("a"))).To(BeFalse())
	})

	It("does not end the flows of its endpoints", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		candidate, _ := machine.Snapshot().Candidate(directory.Named("a"))
		Expect(candidate.Leaving).To(BeFalse())
		Expect(candidate.Gone).To(BeFalse())
	})

	It("opens it again if a listing does not have its entry, as after a compaction", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.Listing(time.Second, []directory.Item{endpointItem("a", 2, inZone())}, 9)
		Expect(closed(directory.Named("a"))).To(BeFalse())
	})

	It("keeps one closed that was closed after a listing had begun", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 8, true)}, 3)
		machine.Listing(time.Second, []directory.Item{endpointItem("a", 2, inZone())}, 5)
		Expect(closed(directory.Named("a"))).To(BeTrue())
	})

	It("is not closed again by anything older", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		before := machine.State(0)
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 4)
		Expect(closedZones(machine)).To(BeEmpty())
		machine.Adopt(0, before)
		Expect(closedZones(machine)).To(BeEmpty())
	})

	It("is not closed by a peer that has not heard of its end, in a process that has", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		stale := machine.State(0)
		late := directory.New()
		late.Listing(0, []directory.Item{configurationItem(1, 1)}, 9)
		late.Adopt(0, stale)
		Expect(closedZones(late)).To(BeEmpty())
	})

	It("is told to a process that starts, and to one that knows all but that", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		started := directory.New()
		started.Adopt(0, machine.State(0))
		Expect(closedZones(started)).To(Equal([]string{closedZone}))
		behind := directory.New()
		behind.Listing(0, []directory.Item{configurationItem(1, 1)}, 2)
		behind.Adopt(0, machine.StateAfter(0, behind.Digest()))
		Expect(closedZones(behind)).To(Equal([]string{closedZone}))
	})

	It("is opened by a whole state that does not show it closed", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		other := directory.New()
		other.Listing(0, []directory.Item{configurationItem(1, 1)}, 9)
		machine.Adopt(0, other.State(0))
		Expect(closedZones(machine)).To(BeEmpty())
	})

	It("is remembered as open for as long as somebody may say otherwise", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		machine.Changes(directory.Retention, nil, 5)
		Expect(machine.State(directory.Retention).Zones).To(HaveLen(1))
		machine.Changes(directory.Retention+time.Second, nil, 6)
		Expect(machine.State(directory.Retention + time.Second).Zones).To(BeEmpty())
		Expect(machine.ChangesAfter(0, 3).Whole).To(BeTrue(), "who knows less has to be told everything")
	})

	It("takes endpoints for cold after it was opened only where they have a limit then", func() {
		machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.Changes(5*time.Second, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		candidate, _ := machine.Snapshot().Candidate(directory.Named("a"))
		Expect(candidate.WarmAt).To(BeZero())
		limited := &directory.Configuration{Version: 2, ColdStarts: []directory.ColdStart{
			{Service: "s", Lasts: 2 * time.Second, Rate: 12},
		}}
		machine.Changes(6*time.Second, []directory.Item{{Revision: 5, Configuration: limited}}, 5)
		candidate, _ = machine.Snapshot().Candidate(directory.Named("a"))
		Expect(candidate.WarmAt).To(Equal(7 * time.Second))
	})
})

var _ = Describe("Spread, with zones that are closed", func() {
	It("tells of one in an update, and of many by a state that is fetched", func() {
		teller := newParticipant(directory.Member{Peer: 1})
		teller.list(0, 2)
		teller.spread.SetMembers(fleetOf(2, 1))
		teller.spread.Answered(0)
		teller.machine.Changes(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		told := newParticipant(directory.Member{Peer: 2})
		told.list(0, 2)
		for _, outgoing := range teller.spread.Answered(millisecond) {
			told.spread.Receive(millisecond, 1, outgoing.Update)
		}
		Expect(closedZones(told.machine)).To(Equal([]string{closedZone}))
		for zone := range 60 {
			name := string(rune('A'+zone)) + "-zone-of-a-large-deployment"
			revision := directory.Revision(4 + zone)
			teller.machine.Changes(0, []directory.Item{zoneItem(name, revision, true)}, revision)
		}
		lacking := false
		for _, outgoing := range teller.spread.Answered(2 * millisecond) {
			encoded, err := outgoing.Update.MarshalMsg(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(encoded)).To(BeNumerically("<=", directory.MaximumUpdate))
			_, lacks, _ := told.spread.Receive(2*millisecond, 1, outgoing.Update)
			lacking = lacking || lacks
		}
		Expect(lacking).To(BeTrue())
	})
})
