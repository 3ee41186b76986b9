package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Directory")
}

func endpoint(service string, draining bool) *directory.Endpoint {
	return &directory.Endpoint{Service: service, IP: [4]byte{10, 0, 0, 1}, Port: 80, Slots: 3, Draining: draining}
}

func endpointItem(id string, revision directory.Revision, value *directory.Endpoint) directory.Item {
	return directory.Item{EndpointID: directory.NameOnlyID(id), Revision: revision, Endpoint: value}
}

func configurationItem(version uint64, revision directory.Revision) directory.Item {
	return directory.Item{Key: "configuration", Revision: revision, Configuration: &directory.Configuration{Version: version}}
}

var _ = Describe("Replica", func() {
	var replica, informed *directory.Replica

	BeforeEach(func() { replica = directory.NewReplica() })

	leaving := func(id string) bool {
		candidate, exists := replica.Snapshot().Candidate(directory.NameOnlyID(id))
		Expect(exists).To(BeTrue(), id)
		return candidate.Leaving
	}

	It("is ready with a configuration and a listing", func() {
		replica.ApplyChanges(0, []directory.Item{configurationItem(1, 5)}, 0)
		Expect(replica.Ready()).To(BeFalse())
		replica.ApplyListing(0, nil, 6)
		Expect(replica.Ready()).To(BeTrue())
	})

	It("never returns to an older configuration version, whatever its revision", func() {
		replica.ApplyChanges(0, []directory.Item{configurationItem(7, 10)}, 10)
		Expect(replica.ApplyChanges(0, []directory.Item{configurationItem(6, 11)}, 11)).To(BeFalse())
		replica.ApplyListing(0, []directory.Item{configurationItem(5, 12)}, 12)
		Expect(replica.Snapshot().Version()).To(Equal(uint64(7)))
	})

	It("keeps the newest revision of an endpoint in any order of arrival", func() {
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 9, endpoint("s", true))}, 9)
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 4, endpoint("s", false))}, 0)
		Expect(leaving("a")).To(BeTrue())
	})

	It("marks unlisted endpoints as gone unless their revision is later", func() {
		replica.ApplyChanges(0, []directory.Item{
			endpointItem("old", 3, endpoint("s", false)),
			endpointItem("new", 30, endpoint("s", false)),
		}, 3)
		replica.ApplyListing(time.Second, nil, 20)
		Expect(leaving("old")).To(BeTrue())
		Expect(leaving("new")).To(BeFalse())
	})

	It("restores an endpoint whose entry had expired", func() {
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 3, endpoint("s", false))}, 3)
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		Expect(leaving("a")).To(BeTrue())
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 8, endpoint("s", false))}, 8)
		Expect(leaving("a")).To(BeFalse())
	})

	It("keeps gone endpoints for the retention time and then drops them", func() {
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 3, endpoint("s", false))}, 3)
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		replica.ApplyChanges(directory.Retention, nil, 6)
		Expect(replica.Snapshot().All()).To(HaveLen(1))
		replica.ApplyChanges(directory.Retention+time.Second, nil, 7)
		Expect(replica.Snapshot().All()).To(BeEmpty())
	})

	It("keeps the former services of an address, including a dropped route", func() {
		address := segment.Address{IP: [4]byte{198, 51, 100, 1}, Port: 443}
		configure := func(version uint64, services ...string) {
			configuration := &directory.Configuration{Version: version}
			for _, service := range services {
				configuration.Routes = append(configuration.Routes, directory.Route{
					IP: address.IP, Port: address.Port, WeightedServices: []directory.WeightedService{{Service: service, Weight: 1}},
				})
			}
			replica.ApplyChanges(0, []directory.Item{{Configuration: configuration}}, directory.Revision(version))
		}
		configure(1, "a")
		configure(2, "a")
		Expect(replica.Snapshot().FormerServices(address)).To(BeEmpty())
		before := replica.Snapshot()
		configure(3, "b")
		configure(4)
		Expect(replica.Snapshot().FormerServices(address)).To(Equal([]string{"a", "b"}))
		Expect(before.FormerServices(address)).To(BeEmpty(), "snapshots do not change")
	})

	It("finds the existing endpoint at an address rather than a gone one", func() {
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 1, endpoint("s", false))}, 1)
		replica.ApplyChanges(0, []directory.Item{endpointItem("a", 2, nil), endpointItem("b", 3, endpoint("t", false))}, 3)
		found, exists := replica.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(exists).To(BeTrue())
		Expect(found.ID).To(Equal(directory.NameOnlyID("b")))
	})

	It("reports how long an expired entry has been gone, but not for a drained endpoint", func() {
		replica.ApplyChanges(0, []directory.Item{
			endpointItem("expired", 3, endpoint("s", false)), endpointItem("drained", 3, endpoint("s", true)),
		}, 3)
		replica.ApplyChanges(time.Second, []directory.Item{endpointItem("expired", 5, nil), endpointItem("drained", 5, nil)}, 5)
		expired, _ := replica.Snapshot().Candidate(directory.NameOnlyID("expired"))
		drained, _ := replica.Snapshot().Candidate(directory.NameOnlyID("drained"))
		Expect(expired.ExpiredFor(3 * time.Second)).To(Equal(2 * time.Second))
		Expect(drained.ExpiredFor(3 * time.Second)).To(BeNumerically(">", time.Hour))
	})

	// A removal that reached this process late must count from when it may have happened. Otherwise
	// the endpoint gets new flows for too long.
	DescribeTable("bounds the time of a removal by when the store was last known to have the entry", func(learn func(), presentAt time.Duration) {
		present := endpointItem("a", 3, endpoint("s", false))
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(4, 2), present}, 4)
		replica.MarkCurrent(time.Second)
		informed = directory.NewReplica()
		informed.ApplyState(time.Second, replica.FullState(time.Second))
		informed.MarkCurrent(2 * time.Second)
		informed.ApplyChanges(3*time.Second, []directory.Item{endpointItem("a", 5, nil)}, 5)
		learn()
		candidate, exists := replica.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(exists).To(BeTrue())
		Expect(candidate.Gone).To(BeTrue())
		Expect(candidate.GoneAt).To(BeNumerically(">=", 3*time.Second))
		Expect(candidate.PresentAt).To(Equal(presentAt))
	},
		Entry("in a response to a watch or a poll", func() {
			replica.ApplyChanges(4*time.Second, []directory.Item{endpointItem("a", 5, nil)}, 5)
		}, time.Second),
		Entry("in a listing without the entry", func() {
			replica.ApplyListing(4*time.Second, []directory.Item{configurationItem(4, 2)}, 5)
		}, time.Second),
		Entry("in an update of another balancer that knows it more closely", func() {
			replica.ApplyState(4*time.Second, informed.ChangesAfter(4*time.Second, 4))
		}, 2*time.Second),
		Entry("in an update of another balancer that knows less", func() {
			replica.MarkCurrent(2500 * time.Millisecond)
			replica.ApplyState(4*time.Second, informed.ChangesAfter(4*time.Second, 4))
		}, 2500*time.Millisecond),
		Entry("in a state that took up to 300 ms to arrive", func() {
			replica = directory.NewReplica()
			replica.ApplyState(4*time.Second, informed.FullState(4*time.Second).Delayed(300*time.Millisecond))
		}, 1700*time.Millisecond),
		Entry("in a state that was handed on to a process that has just started", func() {
			between := directory.NewReplica()
			between.ApplyState(4*time.Second, informed.FullState(4*time.Second))
			replica = directory.NewReplica()
			replica.ApplyState(5*time.Second, between.FullState(5*time.Second))
		}, 2*time.Second),
		Entry("in a full state without the entry", func() {
			forgetful := directory.NewReplica()
			forgetful.ApplyListing(4*time.Second, []directory.Item{configurationItem(4, 2)}, 5)
			replica.ApplyState(4*time.Second, forgetful.FullState(4*time.Second))
		}, time.Second),
		Entry("in a state of a stale balancer that still has the entry", func() {
			stale := replica.FullState(4 * time.Second)
			stale.Confirmed, stale.Age = true, 2500*time.Millisecond
			replica = directory.NewReplica()
			replica.ApplyListing(4*time.Second, []directory.Item{configurationItem(4, 2)}, 5)
			replica.MarkCurrent(4 * time.Second)
			replica.ApplyState(4*time.Second, stale)
		}, 1500*time.Millisecond),
	)

	It("does not know when an entry was removed that only an unconfirmed balancer still has", func() {
		stale := directory.NewReplica()
		stale.ApplyChanges(0, []directory.Item{endpointItem("a", 3, endpoint("s", false))}, 4)
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(4, 2)}, 5)
		replica.MarkCurrent(time.Second)
		replica.ApplyState(time.Second, stale.FullState(time.Second))
		candidate, _ := replica.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Gone).To(BeTrue())
		Expect(candidate.PresentAt).To(BeNumerically("<", -time.Hour))
	})

	It("reports the last failure of the store before a removal, except calls that it only rejected", func() {
		follower := directory.NewFollower(replica, timing, &fakePolicy{watching: true})
		follower.HandlePage(0, directory.Page{Items: []directory.Item{endpointItem("a", 3, endpoint("s", false)), endpointItem("b", 4, endpoint("s", false))}, Revision: 4})
		storeFailedAt := func(name string) time.Duration {
			candidate, _ := replica.Snapshot().Candidate(directory.NameOnlyID(name))
			return candidate.StoreFailedAt
		}
		follower.Next(time.Second)
		follower.HandleFailure(1900*time.Millisecond, &directory.StoreError{Failure: directory.StoreUnreachable}, 0)
		follower.Next(2 * time.Second)
		follower.HandleFailure(2*time.Second, &directory.StoreError{Failure: directory.StoreThrottled}, 0)
		follower.HandleChanges(3*time.Second, directory.Changes{Items: []directory.Item{endpointItem("a", 5, nil)}, Through: 5}, 0)
		Expect(storeFailedAt("a")).To(Equal(time.Second))
		follower.Next(4 * time.Second)
		follower.HandleFailure(4*time.Second, &directory.StoreError{Failure: directory.StoreUnavailable}, 0)
		follower.HandleChanges(5*time.Second, directory.Changes{Items: []directory.Item{endpointItem("b", 6, nil)}, Through: 6}, 0)
		Expect(storeFailedAt("a")).To(Equal(time.Second))
		Expect(storeFailedAt("b")).To(Equal(4 * time.Second))
	})

	It("transfers its whole content to another replica, including gone endpoints", func() {
		replica.ApplyChanges(0, []directory.Item{
			configurationItem(4, 2), endpointItem("a", 3, endpoint("s", true)), endpointItem("b", 4, endpoint("s", false)),
		}, 4)
		replica.ApplyChanges(time.Second, []directory.Item{endpointItem("b", 5, nil)}, 5)
		other := directory.NewReplica()
		Expect(other.ApplyState(time.Minute, replica.FullState(3*time.Second))).To(BeTrue())
		Expect(other.Ready()).To(BeTrue())
		Expect(other.Snapshot().Version()).To(Equal(uint64(4)))
		drained, _ := other.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(drained.Draining()).To(BeTrue())
		gone, _ := other.Snapshot().Candidate(directory.NameOnlyID("b"))
		Expect(gone.ExpiredFor(time.Minute)).To(Equal(2 * time.Second))
	})

	It("does not restore a gone endpoint from a stale peer", func() {
		stale := directory.NewReplica()
		stale.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 50, endpoint("s", false))}, 80)
		replica.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		replica.ApplyState(time.Second, stale.FullState(time.Second))
		Expect(leaving("a")).To(BeTrue(), "its flows can be found but it receives no new ones")
	})

	It("receives an endpoint from a peer that is ahead", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 120, endpoint("s", false))}, 120)
		replica.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		replica.ApplyState(time.Second, informed.FullState(time.Second))
		Expect(leaving("a")).To(BeFalse())
	})

	It("receives from a stale peer which endpoints are gone since", func() {
		stale := directory.NewReplica()
		stale.ApplyListing(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 5, endpoint("s", false))}, 10)
		replica.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		replica.ApplyState(time.Second, stale.StateAfter(time.Second, replica.Digest()))
		Expect(leaving("a")).To(BeTrue(), "its flows can be found")
	})

	It("receives the former services of addresses from a peer", func() {
		route := directory.Route{IP: [4]byte{198, 51, 100, 1}, Port: 443, WeightedServices: []directory.WeightedService{{Service: "before", Weight: 1}}}
		older := directory.NewReplica()
		older.ApplyChanges(0, []directory.Item{{Revision: 1, Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{route}}}}, 1)
		older.ApplyChanges(0, []directory.Item{{Revision: 2, Configuration: &directory.Configuration{Version: 2}}}, 2)
		Expect(replica.ApplyState(0, older.FullState(0))).To(BeTrue())
		Expect(replica.Snapshot().FormerServices(route.Address())).To(Equal([]string{"before"}))
	})

	It("marks an endpoint as gone once another uses its address, before its entry expires", func() {
		replica.ApplyChanges(0, []directory.Item{endpointItem("z-first", 1, endpoint("s", false)), endpointItem("a-second", 2, endpoint("s", false))}, 2)
		Expect(leaving("z-first")).To(BeTrue())
		Expect(leaving("a-second")).To(BeFalse())
		replica.ApplyChanges(0, []directory.Item{endpointItem("m-third", 3, endpoint("s", false))}, 3)
		Expect(leaving("a-second")).To(BeTrue())
		found, _ := replica.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(found.ID).To(Equal(directory.NameOnlyID("m-third")))
	})

	It("keeps its newer entries when a stale state is applied", func() {
		replica.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 9, endpoint("s", true))}, 9)
		stale := directory.NewReplica()
		stale.ApplyChanges(0, []directory.Item{configurationItem(3, 1), endpointItem("a", 5, endpoint("s", false))}, 5)
		Expect(replica.ApplyState(0, stale.FullState(0))).To(BeFalse())
		Expect(leaving("a")).To(BeTrue())
		Expect(replica.Snapshot().Version()).To(Equal(uint64(4)))
	})
})
