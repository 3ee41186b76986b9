package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("Confirmer", func() {
	const millisecond = time.Millisecond
	var (
		replica   *directory.Replica
		confirmer *directory.Confirmer
	)

	BeforeEach(func() {
		replica = directory.NewReplica()
		replica.ApplyListing(0, nil, 10)
		confirmer = directory.NewConfirmer(replica)
	})

	begin := func(now time.Duration) directory.Call {
		GinkgoHelper()
		confirmer.Request()
		call, wanted := confirmer.Next(now)
		Expect(wanted).To(BeTrue())
		return call
	}

	// callsIn returns the number of confirmations that begin in a period if one is always
	// requested.
	callsIn := func(from, to time.Duration) int {
		calls := 0
		for now := from; now < to; now += millisecond {
			confirmer.Request()
			if _, wanted := confirmer.Next(now); wanted {
				confirmer.HandlePage(directory.Page{Revision: 10})
				calls++
			}
		}
		return calls
	}

	It("makes no call unless a confirmation is requested", func() {
		_, wanted := confirmer.Next(0)
		Expect(wanted).To(BeFalse())
	})

	It("confirms the directory for the time of the call if the store has no newer revision", func() {
		Expect(begin(5 * millisecond).Listing).To(BeTrue())
		confirmed, current := confirmer.HandlePage(directory.Page{Revision: 10})
		Expect(current).To(BeTrue())
		Expect(confirmed).To(Equal(5 * millisecond))
	})

	It("fetches missing changes before it confirms", func() {
		begin(5 * millisecond)
		_, current := confirmer.HandlePage(directory.Page{Revision: 12})
		Expect(current).To(BeFalse())
		call, wanted := confirmer.Next(9 * millisecond)
		Expect(wanted).To(BeTrue())
		Expect(call).To(And(HaveField("Listing", false), HaveField("AfterRevision", directory.Revision(10))))
		items := []directory.Item{endpointItem("a", 12, endpoint("s", false))}
		changed, confirmed, current := confirmer.HandleChanges(12*millisecond, directory.Changes{Items: items, Through: 12})
		Expect(changed).To(BeTrue())
		Expect(current).To(BeTrue())
		Expect(confirmed).To(Equal(5 * millisecond))
	})

	It("does not confirm a directory that is ahead of the store", func() {
		begin(0)
		_, current := confirmer.HandlePage(directory.Page{Revision: 9})
		Expect(current).To(BeFalse())
		_, wanted := confirmer.Next(time.Second)
		Expect(wanted).To(BeFalse(), "no changes are missing that could be fetched")
	})

	It("does not confirm if an empty watch response is behind the revision of the store", func() {
		begin(0)
		confirmer.HandlePage(directory.Page{Revision: 12})
		confirmer.Next(millisecond)
		_, _, current := confirmer.HandleChanges(2*millisecond, directory.Changes{Through: 11})
		Expect(current).To(BeFalse())
	})

	It("retries after a failure only on request and after the minimum interval", func() {
		begin(0)
		confirmer.HandleFailure()
		_, wanted := confirmer.Next(time.Second)
		Expect(wanted).To(BeFalse())
		begin(time.Second)
		confirmer.HandlePage(directory.Page{Revision: 10})
		confirmer.Request()
		_, wanted = confirmer.Next(time.Second + millisecond)
		Expect(wanted).To(BeFalse())
		_, wanted = confirmer.Next(time.Second + 120*millisecond)
		Expect(wanted).To(BeTrue())
	})

	It("limits the calls of all balancers to a part of the store's rate", func() {
		confirmer.SetStoreRate(1100, 2000)
		begin(0)
		confirmer.HandlePage(directory.Page{Revision: 10})
		confirmer.Request()
		_, wanted := confirmer.Next(2 * time.Second)
		Expect(wanted).To(BeFalse())
	})

	It("ConfirmedBy rejects a reply that is behind or ahead of the applied revision", func() {
		Expect(replica.ConfirmedBy(10, 10)).To(BeTrue())
		Expect(replica.ConfirmedBy(9, 10)).To(BeFalse(), "the watcher is behind")
		Expect(replica.ConfirmedBy(12, 10)).To(BeFalse(), "the announced state was not applied")
		Expect(replica.ConfirmedBy(10, 0)).To(BeFalse(), "no revision was known")
	})

	It("confirms often for others in a large fleet, because few watchers are asked", func() {
		confirmer.SetStoreRate(1100, 2000)
		confirmer.SetServesOthers(true)
		Expect(callsIn(0, time.Second)).To(BeNumerically(">=", 20))
	})

	It("calls the store if the requested watcher does not reply", func() {
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(0)).To(BeTrue())
		_, wanted := confirmer.Next(300 * millisecond)
		Expect(wanted).To(BeFalse(), "a reply is pending")
		confirmer.WatcherTimedOut()
		_, wanted = confirmer.Next(300 * millisecond)
		Expect(wanted).To(BeTrue())
	})

	It("allows the next watcher request as soon as the watcher has replied, because the watcher limits the calls", func() {
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(0)).To(BeTrue())
		Expect(confirmer.BeginWithWatcher(0)).To(BeFalse(), "no confirmation is requested any more")
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(millisecond)).To(BeTrue())
	})

	It("confirms more often while other balancers wait", func() {
		alone := callsIn(0, time.Second)
		confirmer.SetServesOthers(true)
		Expect(callsIn(time.Second, 2*time.Second)).To(BeNumerically(">=", 2*alone))
	})

	It("confirms less often once the burst is used up", func() {
		confirmer.SetServesOthers(true)
		burst := callsIn(0, 2*time.Second)
		callsIn(2*time.Second, 10*time.Second)
		Expect(callsIn(10*time.Second, 12*time.Second)).To(BeNumerically("<=", burst/3))
	})

	It("limits the watcher requests of many balancers to what a watcher can answer", func() {
		const balancers, watchers, period = 1100, 5, 10 * time.Second
		confirmer.SetStoreRate(balancers, 2000)
		requests := 0
		for now := time.Duration(0); now < period; now += millisecond {
			confirmer.Request()
			if confirmer.BeginWithWatcher(now) {
				requests++
			}
		}
		perWatcher := float64(requests) * balancers / watchers / period.Seconds()
		Expect(perWatcher).To(BeNumerically("~", 1000, 50))
	})

	It("makes no call before the first listing but allows confirmations by a peer at the same interval", func() {
		confirmer = directory.NewConfirmer(directory.NewReplica())
		Expect(confirmer.BeginWithStore(0)).To(BeFalse(), "no confirmation is requested")
		confirmer.Request()
		_, wanted := confirmer.Next(0)
		Expect(wanted).To(BeFalse())
		Expect(confirmer.BeginWithStore(0)).To(BeTrue())
		confirmer.Request()
		Expect(confirmer.BeginWithStore(millisecond)).To(BeFalse())
		Expect(confirmer.BeginWithStore(120 * millisecond)).To(BeTrue())
	})
})
