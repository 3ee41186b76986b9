package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("Replica, with the departures of endpoints", func() {
	var replica *directory.Replica

	BeforeEach(func() { replica = directory.NewReplica() })

	// list applies a listing at a revision.
	list := func(to *directory.Replica, now time.Duration, revision directory.Revision) {
		to.ApplyListing(now, []directory.Item{configurationItem(4, 2)}, revision)
	}
	historyAt := func(now time.Duration) time.Duration { return replica.Snapshot().DepartureHistory(now) }

	It("records all departures since its first listing, or since that of a peer whose state it applied", func() {
		Expect(replica.Snapshot().DepartureHistory(time.Hour)).To(BeZero())
		older := directory.NewReplica()
		older.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 10)
		replica.ApplyListing(20*time.Second, []directory.Item{configurationItem(4, 2)}, 10)
		Expect(replica.Snapshot().DepartureHistory(21 * time.Second)).To(Equal(time.Second))
		Expect(replica.ApplyState(21*time.Second, older.FullState(21*time.Second))).To(BeTrue())
		Expect(replica.Snapshot().DepartureHistory(21 * time.Second)).To(Equal(21 * time.Second))
		Expect(older.FullState(time.Hour).DepartureHistory).To(Equal(directory.Retention), "older departures are dropped")
	})

	It("knows of all departures at once if it lists while the fleet starts for the first time", func() {
		replica.MarkFirstStart(0)
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(4, 2)}, 10)
		Expect(replica.Snapshot().DepartureHistory(time.Second)).To(Equal(directory.Retention))
		other := directory.NewReplica()
		other.ApplyState(2*time.Second, replica.FullState(2*time.Second))
		Expect(other.Snapshot().DepartureHistory(2 * time.Second)).To(Equal(directory.Retention))
	})

	It("does not know of all departures if it lists long after the first start of the fleet", func() {
		replica.MarkFirstStart(0)
		replica.ApplyListing(4*time.Second, []directory.Item{configurationItem(4, 2)}, 10)
		Expect(replica.Snapshot().DepartureHistory(5 * time.Second)).To(Equal(time.Second))
	})

	// Guards against resets of open flows: the endpoint that holds them came and left without notice
	// while the changes were skipped.
	It("begins its history anew with a listing that skips changes", func() {
		list(replica, 0, 10)
		list(replica, 70*time.Second, 10)
		Expect(historyAt(70*time.Second)).To(Equal(70*time.Second), "no change was skipped")
		list(replica, 80*time.Second, 11)
		Expect(historyAt(81 * time.Second)).To(Equal(time.Second))
	})

	It("begins its history anew with a listing after an invalidation", func() {
		list(replica, 0, 10)
		replica.Invalidate(12, 10)
		list(replica, 70*time.Second, 10)
		Expect(historyAt(71 * time.Second)).To(Equal(time.Second))
	})

	It("keeps its history with changes of the store", func() {
		list(replica, 0, 10)
		replica.ApplyChanges(70*time.Second, []directory.Item{endpointItem("a", 15, endpoint("s", false))}, 15)
		Expect(historyAt(70 * time.Second)).To(Equal(70 * time.Second))
	})

	It("does not take over the history of a peer that has not followed the store up to its own first listing", func() {
		cutOff := directory.NewReplica()
		list(cutOff, 0, 10)
		list(replica, 50*time.Second, 12)
		replica.ApplyState(70*time.Second, cutOff.FullState(70*time.Second))
		Expect(historyAt(70 * time.Second)).To(Equal(20 * time.Second))
		cutOff.ApplyChanges(70*time.Second, nil, 12)
		replica.ApplyState(70*time.Second, cutOff.StateAfter(70*time.Second, replica.Digest()))
		Expect(historyAt(70 * time.Second)).To(Equal(70 * time.Second))
	})

	DescribeTable("keeps its history with a full state that skips changes only if the peer knows them", func(listedAt, expected time.Duration) {
		list(replica, 0, 10)
		replica.MarkCurrent(30 * time.Second)
		peer := directory.NewReplica()
		list(peer, listedAt, 20)
		replica.ApplyState(70*time.Second, peer.FullState(70*time.Second))
		Expect(replica.AppliedRevision()).To(Equal(directory.Revision(20)))
		Expect(historyAt(70 * time.Second)).To(Equal(expected))
	},
		Entry("the peer listed the store before this replica was last current", 30*time.Second, 70*time.Second),
		Entry("the peer listed the store later", 31*time.Second, 39*time.Second),
		Entry("the peer has just listed the store", 70*time.Second, time.Duration(0)),
	)

	It("takes over the history of a peer with its first directory", func() {
		peer := directory.NewReplica()
		list(peer, 20*time.Second, 10)
		replica.ApplyState(70*time.Second, peer.FullState(70*time.Second))
		Expect(historyAt(70 * time.Second)).To(Equal(50 * time.Second))
	})
})
