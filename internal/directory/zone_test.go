package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

const closedZone = "zone-7"

func zoneItem(zone string, revision directory.Revision, closed bool) directory.Item {
	return directory.Item{Key: "zones/" + zone, Zone: zone, ZoneClosed: closed, Revision: revision}
}

// closedZones returns the names of the zones that a machine takes for closed.
func closedZones(machine *directory.Replica) []string {
	names := []string{}
	for _, each := range machine.Snapshot().ClosedZones() {
		names = append(names, each.Zone)
	}
	return names
}

var _ = Describe("Machine, with zones that are closed", func() {
	var machine *directory.Replica

	inZone := func() *directory.Endpoint {
		value := endpoint("s", false)
		value.Zone = closedZone
		return value
	}
	closed := func(id directory.EndpointID) bool {
		candidate, exists := machine.Snapshot().Candidate(id)
		Expect(exists).To(BeTrue())
		return candidate.ZoneClosed
	}

	BeforeEach(func() {
		machine = directory.NewReplica()
		machine.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, inZone())}, 2)
	})

	It("shows which endpoints must get no new flow, and since when", func() {
		machine.ApplyChanges(time.Second, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		Expect(closed(directory.NameOnlyID("a"))).To(BeTrue())
		Expect(machine.Snapshot().ClosedZones()).To(Equal([]directory.ClosedZone{{Zone: closedZone, Revision: 3, Since: time.Second}}))
		machine.ApplyChanges(2*time.Second, []directory.Item{endpointItem("b", 4, inZone())}, 4)
		Expect(closed(directory.NameOnlyID("b"))).To(BeTrue(), "one that starts while the zone is closed")
		machine.ApplyChanges(3*time.Second, []directory.Item{zoneItem(closedZone, 5, false)}, 5)
		Expect(closed(directory.NameOnlyID("a"))).To(BeFalse())
	})

	It("does not end the flows of its endpoints", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		candidate, _ := machine.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Leaving).To(BeFalse())
		Expect(candidate.Gone).To(BeFalse())
	})

	It("opens it again if a listing does not have its entry, as after a compaction", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.ApplyListing(time.Second, []directory.Item{endpointItem("a", 2, inZone())}, 9)
		Expect(closed(directory.NameOnlyID("a"))).To(BeFalse())
	})

	It("keeps one closed that was closed after a listing had begun", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 8, true)}, 3)
		machine.ApplyListing(time.Second, []directory.Item{endpointItem("a", 2, inZone())}, 5)
		Expect(closed(directory.NameOnlyID("a"))).To(BeTrue())
	})

	It("is not closed again by anything older", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		before := machine.FullState(0)
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 4)
		Expect(closedZones(machine)).To(BeEmpty())
		machine.ApplyState(0, before)
		Expect(closedZones(machine)).To(BeEmpty())
	})

	It("is not closed by a peer that has not heard of its end, in a process that has", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		stale := machine.FullState(0)
		late := directory.NewReplica()
		late.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 9)
		late.ApplyState(0, stale)
		Expect(closedZones(late)).To(BeEmpty())
	})

	It("is told to a process that starts, and to one that knows all but that", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		started := directory.NewReplica()
		started.ApplyState(0, machine.FullState(0))
		Expect(closedZones(started)).To(Equal([]string{closedZone}))
		behind := directory.NewReplica()
		behind.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 2)
		behind.ApplyState(0, machine.StateAfter(0, behind.Digest()))
		Expect(closedZones(behind)).To(Equal([]string{closedZone}))
	})

	It("is opened by a whole state that does not show it closed", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		other := directory.NewReplica()
		other.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 9)
		machine.ApplyState(0, other.FullState(0))
		Expect(closedZones(machine)).To(BeEmpty())
	})

	It("is remembered as open for as long as somebody may say otherwise", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		machine.ApplyChanges(directory.Retention, nil, 5)
		Expect(machine.FullState(directory.Retention).Zones).To(HaveLen(1))
		machine.ApplyChanges(directory.Retention+time.Second, nil, 6)
		Expect(machine.FullState(directory.Retention + time.Second).Zones).To(BeEmpty())
		Expect(machine.ChangesAfter(0, 3).Whole).To(BeTrue(), "who knows less has to be told everything")
	})

	It("takes endpoints for cold after it was opened only where they have a limit then", func() {
		machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		machine.ApplyChanges(5*time.Second, []directory.Item{zoneItem(closedZone, 4, false)}, 4)
		candidate, _ := machine.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.WarmAt).To(BeZero())
		limited := &directory.Configuration{Version: 2, ColdStarts: []directory.ColdStart{
			{Service: "s", Duration: 2 * time.Second, RequestsPerSecond: 12},
		}}
		machine.ApplyChanges(6*time.Second, []directory.Item{{Revision: 5, Configuration: limited}}, 5)
		candidate, _ = machine.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.WarmAt).To(Equal(7 * time.Second))
	})
})

var _ = Describe("Spread, with zones that are closed", func() {
	It("tells of one in an update, and of many by a state that is fetched", func() {
		teller := newParticipant(directory.Member{Peer: 1})
		teller.list(0, 2)
		teller.spread.SetMembers(fleetOf(2, 1))
		teller.spread.StoreAnswered(0)
		teller.machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 3, true)}, 3)
		told := newParticipant(directory.Member{Peer: 2})
		told.list(0, 2)
		for _, outgoing := range teller.spread.StoreAnswered(millisecond) {
			told.spread.Receive(millisecond, 1, outgoing.Update)
		}
		Expect(closedZones(told.machine)).To(Equal([]string{closedZone}))
		for zone := range 60 {
			name := string(rune('A'+zone)) + "-zone-of-a-large-deployment"
			revision := directory.Revision(4 + zone)
			teller.machine.ApplyChanges(0, []directory.Item{zoneItem(name, revision, true)}, revision)
		}
		lacking := false
		for _, outgoing := range teller.spread.StoreAnswered(2 * millisecond) {
			encoded, err := outgoing.Update.MarshalMsg(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(encoded)).To(BeNumerically("<=", directory.MaxUpdateSize))
			_, lacks, _ := told.spread.Receive(2*millisecond, 1, outgoing.Update)
			lacking = lacking || lacks
		}
		Expect(lacking).To(BeTrue())
	})
})
