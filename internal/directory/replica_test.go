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

var _ = Describe("Machine", func() {
	var machine *directory.Replica

	BeforeEach(func() { machine = directory.NewReplica() })

	leaving := func(id string) bool {
		candidate, exists := machine.Snapshot().Candidate(directory.NameOnlyID(id))
		Expect(exists).To(BeTrue(), id)
		return candidate.Leaving
	}

	It("is ready once it has a configuration and a listing", func() {
		machine.ApplyChanges(0, []directory.Item{configurationItem(1, 5)}, 0)
		Expect(machine.Ready()).To(BeFalse())
		machine.ApplyListing(0, nil, 6)
		Expect(machine.Ready()).To(BeTrue())
	})

	It("never goes back to an older configuration, whatever its revision", func() {
		machine.ApplyChanges(0, []directory.Item{configurationItem(7, 10)}, 10)
		Expect(machine.ApplyChanges(0, []directory.Item{configurationItem(6, 11)}, 11)).To(BeFalse())
		machine.ApplyListing(0, []directory.Item{configurationItem(5, 12)}, 12)
		Expect(machine.Snapshot().Version()).To(Equal(uint64(7)))
	})

	It("keeps the newest revision of an endpoint in whatever order items come", func() {
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 9, endpoint("s", true))}, 9)
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 4, endpoint("s", false))}, 0)
		Expect(leaving("a")).To(BeTrue())
	})

	It("takes what a listing does not have for gone, unless it came later", func() {
		machine.ApplyChanges(0, []directory.Item{
			endpointItem("old", 3, endpoint("s", false)),
			endpointItem("new", 30, endpoint("s", false)),
		}, 3)
		machine.ApplyListing(time.Second, nil, 20)
		Expect(leaving("old")).To(BeTrue())
		Expect(leaving("new")).To(BeFalse())
	})

	It("lets an endpoint whose entry had lapsed come back", func() {
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 3, endpoint("s", false))}, 3)
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		Expect(leaving("a")).To(BeTrue())
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 8, endpoint("s", false))}, 8)
		Expect(leaving("a")).To(BeFalse())
	})

	It("remembers gone endpoints as long as their flows may last, then forgets them", func() {
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 3, endpoint("s", false))}, 3)
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		machine.ApplyChanges(directory.Retention, nil, 6)
		Expect(machine.Snapshot().All()).To(HaveLen(1))
		machine.ApplyChanges(directory.Retention+time.Second, nil, 7)
		Expect(machine.Snapshot().All()).To(BeEmpty())
	})

	It("remembers the services that an address had, also of a route that was dropped", func() {
		address := segment.Address{IP: [4]byte{198, 51, 100, 1}, Port: 443}
		configure := func(version uint64, services ...string) {
			configuration := &directory.Configuration{Version: version}
			for _, service := range services {
				configuration.Routes = append(configuration.Routes, directory.Route{
					IP: address.IP, Port: address.Port, WeightedServices: []directory.WeightedService{{Service: service, Weight: 1}},
				})
			}
			machine.ApplyChanges(0, []directory.Item{{Configuration: configuration}}, directory.Revision(version))
		}
		configure(1, "a")
		configure(2, "a")
		Expect(machine.Snapshot().FormerServices(address)).To(BeEmpty())
		before := machine.Snapshot()
		configure(3, "b")
		configure(4)
		Expect(machine.Snapshot().FormerServices(address)).To(Equal([]string{"a", "b"}))
		Expect(before.FormerServices(address)).To(BeEmpty(), "snapshots do not change")
	})

	It("finds the endpoint at an address, that which is there before one that has gone", func() {
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 1, endpoint("s", false))}, 1)
		machine.ApplyChanges(0, []directory.Item{endpointItem("a", 2, nil), endpointItem("b", 3, endpoint("t", false))}, 3)
		found, exists := machine.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(exists).To(BeTrue())
		Expect(found.ID).To(Equal(directory.NameOnlyID("b")))
	})

	It("tells how long a lapsed entry is gone, but never of an endpoint that drained", func() {
		machine.ApplyChanges(0, []directory.Item{
			endpointItem("lapsed", 3, endpoint("s", false)), endpointItem("drained", 3, endpoint("s", true)),
		}, 3)
		machine.ApplyChanges(time.Second, []directory.Item{endpointItem("lapsed", 5, nil), endpointItem("drained", 5, nil)}, 5)
		lapsed, _ := machine.Snapshot().Candidate(directory.NameOnlyID("lapsed"))
		drained, _ := machine.Snapshot().Candidate(directory.NameOnlyID("drained"))
		Expect(lapsed.ExpiredFor(3 * time.Second)).To(Equal(2 * time.Second))
		Expect(drained.ExpiredFor(3 * time.Second)).To(BeNumerically(">", time.Hour))
	})

	It("gives another machine everything it knows, endpoints that have left included", func() {
		machine.ApplyChanges(0, []directory.Item{
			configurationItem(4, 2), endpointItem("a", 3, endpoint("s", true)), endpointItem("b", 4, endpoint("s", false)),
		}, 4)
		machine.ApplyChanges(time.Second, []directory.Item{endpointItem("b", 5, nil)}, 5)
		other := directory.NewReplica()
		Expect(other.ApplyState(time.Minute, machine.FullState(3*time.Second))).To(BeTrue())
		Expect(other.Ready()).To(BeTrue())
		Expect(other.Snapshot().Version()).To(Equal(uint64(4)))
		drained, _ := other.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(drained.Draining()).To(BeTrue())
		gone, _ := other.Snapshot().Candidate(directory.NameOnlyID("b"))
		Expect(gone.ExpiredFor(time.Minute)).To(Equal(2 * time.Second))
	})

	It("does not take an endpoint that has gone for one that is there, since another has not heard", func() {
		stale := directory.NewReplica()
		stale.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 50, endpoint("s", false))}, 80)
		machine.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		machine.ApplyState(time.Second, stale.FullState(time.Second))
		Expect(leaving("a")).To(BeTrue(), "its flows can be found, but it gets no new ones")
	})

	It("takes an endpoint from another that has heard of it first", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 120, endpoint("s", false))}, 120)
		machine.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		machine.ApplyState(time.Second, informed.FullState(time.Second))
		Expect(leaving("a")).To(BeFalse())
	})

	It("knows of endpoints that have left since its first listing, or since that of another which told it", func() {
		Expect(machine.Snapshot().DeparturesKnownSince()).To(BeNumerically(">", time.Hour))
		older := directory.NewReplica()
		older.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 10)
		machine.ApplyListing(20*time.Second, []directory.Item{configurationItem(4, 2)}, 10)
		Expect(machine.Snapshot().DeparturesKnownSince()).To(Equal(20 * time.Second))
		Expect(machine.ApplyState(21*time.Second, older.FullState(21*time.Second))).To(BeTrue())
		Expect(machine.Snapshot().DeparturesKnownSince()).To(BeZero())
		Expect(older.FullState(time.Hour).DepartureHistory).To(Equal(directory.Retention), "it forgets them then")
	})

	It("learns from another which has not heard for long what has left meanwhile", func() {
		stale := directory.NewReplica()
		stale.ApplyListing(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 5, endpoint("s", false))}, 10)
		machine.ApplyListing(0, []directory.Item{configurationItem(4, 2)}, 100)
		machine.ApplyState(time.Second, stale.StateAfter(time.Second, machine.Digest()))
		Expect(leaving("a")).To(BeTrue(), "its flows can be found")
	})

	It("learns from another which services addresses have had", func() {
		route := directory.Route{IP: [4]byte{198, 51, 100, 1}, Port: 443, WeightedServices: []directory.WeightedService{{Service: "before", Weight: 1}}}
		older := directory.NewReplica()
		older.ApplyChanges(0, []directory.Item{{Revision: 1, Configuration: &directory.Configuration{Version: 1, Routes: []directory.Route{route}}}}, 1)
		older.ApplyChanges(0, []directory.Item{{Revision: 2, Configuration: &directory.Configuration{Version: 2}}}, 2)
		Expect(machine.ApplyState(0, older.FullState(0))).To(BeTrue())
		Expect(machine.Snapshot().FormerServices(route.Address())).To(Equal([]string{"before"}))
	})

	It("takes an endpoint for gone once another has come to its address, though its entry has not lapsed", func() {
		machine.ApplyChanges(0, []directory.Item{endpointItem("z-first", 1, endpoint("s", false)), endpointItem("a-second", 2, endpoint("s", false))}, 2)
		Expect(leaving("z-first")).To(BeTrue())
		Expect(leaving("a-second")).To(BeFalse())
		machine.ApplyChanges(0, []directory.Item{endpointItem("m-third", 3, endpoint("s", false))}, 3)
		Expect(leaving("a-second")).To(BeTrue())
		found, _ := machine.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(found.ID).To(Equal(directory.NameOnlyID("m-third")))
	})

	It("keeps what it knows better than the other", func() {
		machine.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 9, endpoint("s", true))}, 9)
		stale := directory.NewReplica()
		stale.ApplyChanges(0, []directory.Item{configurationItem(3, 1), endpointItem("a", 5, endpoint("s", false))}, 5)
		Expect(machine.ApplyState(0, stale.FullState(0))).To(BeFalse())
		Expect(leaving("a")).To(BeTrue())
		Expect(machine.Snapshot().Version()).To(Equal(uint64(4)))
	})
})

// timing is that of the tests.
var timing = directory.Timing{ApplyTimeout: 3 * time.Second}

// duty is a duty as a test wants it.
type fakePolicy struct {
	watching, alone bool
	pollAt, toldBy  time.Duration
}

func (d *fakePolicy) Watching() bool                  { return d.watching }
func (d *fakePolicy) Alone() bool                     { return d.alone }
func (d *fakePolicy) PollAt() time.Duration           { return d.pollAt }
func (d *fakePolicy) SnapshotDeadline() time.Duration { return d.toldBy }

var _ = Describe("Follower", func() {
	var (
		machine  *directory.Replica
		follower *directory.Follower
		given    *fakePolicy
	)

	BeforeEach(func() {
		machine = directory.NewReplica()
		given = &fakePolicy{watching: true, alone: true}
		follower = directory.NewFollower(machine, timing, given)
	})

	fail := func(reason directory.StoreFailure) {
		follower.HandleFailure(0, &directory.StoreError{Failure: reason}, 0)
	}
	next := func() directory.Call {
		call, _ := follower.Next(0)
		return call
	}
	delay := func(now time.Duration) time.Duration {
		_, at := follower.Next(now)
		return max(at-now, 0)
	}

	It("lists page by page, then watches from where the listing began", func() {
		Expect(next()).To(HaveField("Listing", true))
		follower.HandlePage(0, directory.Page{Items: []directory.Item{endpointItem("a", 3, endpoint("s", false))}, LastKey: "a", More: true, Revision: 5})
		Expect(next()).To(And(HaveField("Listing", true), HaveField("AfterKey", "a")))
		follower.HandlePage(0, directory.Page{Items: []directory.Item{endpointItem("b", 9, endpoint("s", false))}, LastKey: "b", Revision: 9})
		Expect(next()).To(And(HaveField("Listing", false), HaveField("AfterRevision", directory.Revision(5))))
		Expect(machine.Snapshot().All()).To(HaveLen(2))
	})

	It("lists anew when history is lost, without delay, and finds what left in the gap", func() {
		follower.HandlePage(0, directory.Page{Items: []directory.Item{endpointItem("a", 3, endpoint("s", false))}, Revision: 5})
		fail(directory.StoreCompacted)
		Expect(next()).To(And(HaveField("Listing", true), HaveField("AfterKey", "")))
		Expect(delay(0)).To(BeZero())
		follower.HandlePage(0, directory.Page{Revision: 9})
		candidate, _ := machine.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Leaving).To(BeTrue())
	})

	It("backs off with jitter after failures and calls at once after an answer", func() {
		var delays []time.Duration
		for range 6 {
			fail(directory.StoreUnavailable)
			delays = append(delays, delay(0))
		}
		Expect(delays[0]).To(Equal(60 * time.Millisecond))
		Expect(delays[5]).To(Equal(500 * time.Millisecond))
		follower.HandleFailure(0, &directory.StoreError{Failure: directory.StoreUnavailable}, 0.9)
		Expect(delay(0)).To(BeNumerically("<", delays[5]))
		follower.HandlePage(0, directory.Page{Revision: 1})
		Expect(delay(0)).To(BeZero())
	})

	It("leaves time after changes by its share of the store's rate, and none without changes", func() {
		follower.SetStoreRate(1100, 2000)
		follower.HandlePage(0, directory.Page{Revision: 5})
		Expect(delay(0)).To(BeZero())
		follower.HandleChanges(0, directory.Changes{Items: []directory.Item{endpointItem("a", 6, endpoint("s", false))}, Through: 6}, 0.5)
		Expect(delay(0)).To(Equal(1100 * time.Millisecond))
		follower.HandleChanges(0, directory.Changes{Through: 6}, 0.5)
		Expect(delay(0)).To(BeZero())
		follower.SetStoreRate(10, 2000)
		later := 10 * time.Second
		follower.HandleChanges(later, directory.Changes{Items: []directory.Item{endpointItem("a", 7, endpoint("s", true))}, Through: 7}, 0.5)
		Expect(delay(later)).To(Equal(10 * time.Millisecond))
	})

	It("lets a watch that hangs be noticed soon after the time in which a change has to be in force", func() {
		follower.HandlePage(0, directory.Page{Revision: 5})
		Expect(next()).To(And(HaveField("Wait", 2500*time.Millisecond), HaveField("Timeout", 3400*time.Millisecond)))
		follower = directory.NewFollower(machine, directory.Timing{ApplyTimeout: 5 * time.Second}, given)
		Expect(next().Wait).To(Equal(4500 * time.Millisecond))
		follower = directory.NewFollower(machine, directory.Timing{ApplyTimeout: 100 * time.Millisecond}, given)
		Expect(next().Wait).To(Equal(500 * time.Millisecond))
	})

	It("gives up a watch whose connection has gone silent within half of the time to be in touch", func() {
		bounded := directory.Timing{ApplyTimeout: 5 * time.Second, ContactTimeout: 5 * time.Second}
		follower = directory.NewFollower(machine, bounded, given)
		follower.HandlePage(0, directory.Page{Revision: 5})
		for _, alone := range []bool{true, false} {
			given.alone = alone
			Expect(next()).To(And(HaveField("Wait", 1600*time.Millisecond), HaveField("Timeout", 2500*time.Millisecond)))
		}
		follower = directory.NewFollower(machine, directory.Timing{ApplyTimeout: 5 * time.Second, ContactTimeout: time.Second}, given)
		Expect(next().Wait).To(Equal(500 * time.Millisecond))
	})

	It("asks for a long burst of changes at a bounded rate, and for the next change after it at once", func() {
		follower.HandlePage(0, directory.Page{Revision: 5})
		var now time.Duration
		calls := 0
		for revision := directory.Revision(6); now < 6*time.Second; revision++ {
			item := endpointItem("a", revision, endpoint("s", revision%2 == 0))
			follower.HandleChanges(now, directory.Changes{Items: []directory.Item{item}, Through: revision}, 0)
			Expect(delay(now)).To(BeNumerically("<=", 600*time.Millisecond), "news are late by no more")
			now += max(delay(now), 5*time.Millisecond)
			calls++
		}
		Expect(calls).To(BeNumerically("<=", 13))
		now += 3 * time.Second
		follower.HandleChanges(now, directory.Changes{Items: []directory.Item{endpointItem("a", 1000, endpoint("s", true))}, Through: 1000}, 0)
		Expect(delay(now)).To(BeZero())
	})

	It("watches for a shorter time if others depend on it, so that they hear often that nothing is new", func() {
		follower.HandlePage(0, directory.Page{Revision: 5})
		given.alone = false
		Expect(next()).To(And(HaveField("Wait", 1200*time.Millisecond), HaveField("Timeout", 2100*time.Millisecond)))
	})

	It("asks only what there is, and when it has to, if others watch", func() {
		follower.HandlePage(0, directory.Page{Revision: 5})
		*given = fakePolicy{pollAt: 7 * time.Second}
		call, at := follower.Next(time.Second)
		Expect(at).To(Equal(7 * time.Second))
		Expect(call).To(Equal(directory.Call{AfterRevision: 5, Wait: time.Millisecond, Timeout: 901 * time.Millisecond}))
		follower.HandleFailure(7*time.Second, &directory.StoreError{Failure: directory.StoreUnavailable}, 0)
		Expect(delay(7 * time.Second)).To(Equal(500 * time.Millisecond))
		follower.HandleFailure(7*time.Second, &directory.StoreError{Failure: directory.StoreUnavailable}, 0)
		Expect(delay(7 * time.Second)).To(Equal(time.Second))
	})

	It("leaves the first listing to others for a while, and drops its own once they have told", func() {
		slow := timing
		slow.ListingDelay = 200 * time.Millisecond
		follower = directory.NewFollower(machine, slow, given)
		Expect(delay(time.Second)).To(Equal(200 * time.Millisecond))
		given.toldBy = 1400 * time.Millisecond
		Expect(delay(1200*time.Millisecond)).To(Equal(200*time.Millisecond), "somebody is about to")
		given.toldBy = 0
		Expect(delay(1200 * time.Millisecond)).To(BeZero())
		follower.HandlePage(1200*time.Millisecond, directory.Page{LastKey: "k", More: true, Revision: 5})
		informed := directory.NewReplica()
		informed.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 6)
		machine.ApplyState(1300*time.Millisecond, informed.FullState(0))
		Expect(next()).To(And(HaveField("Listing", false), HaveField("AfterRevision", directory.Revision(6))))
	})

	It("takes a last page for the end of its listing though others have told it the directory meanwhile", func() {
		first, second := endpointItem("a", 3, endpoint("s", false)), endpointItem("b", 4, endpoint("s", false))
		second.Endpoint.IP = [4]byte{10, 0, 0, 2}
		follower.HandlePage(0, directory.Page{Items: []directory.Item{first}, LastKey: "a", More: true, Revision: 5})
		Expect(next()).To(HaveField("AfterKey", "a"))
		informed := directory.NewReplica()
		informed.ApplyListing(0, []directory.Item{configurationItem(1, 1), first, second}, 5)
		machine.ApplyState(0, informed.FullState(0))
		next()
		follower.HandlePage(0, directory.Page{Items: []directory.Item{second}, LastKey: "b", Revision: 6})
		for _, candidate := range machine.Snapshot().All() {
			Expect(candidate.Gone).To(BeFalse(), candidate.ID.Name)
		}
		Expect(next()).To(HaveField("Listing", false))
	})

	It("resumes a listing at the page that failed", func() {
		follower.HandlePage(0, directory.Page{LastKey: "k", More: true, Revision: 5})
		fail(directory.StoreThrottled)
		Expect(next().AfterKey).To(Equal("k"))
	})

	It("does not page forever if the store does not advance", func() {
		follower.HandlePage(0, directory.Page{LastKey: "k", More: true, Revision: 5})
		follower.HandlePage(0, directory.Page{LastKey: "k", More: true, Revision: 5})
		Expect(next().Listing).To(BeFalse())
	})
})
