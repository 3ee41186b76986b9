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
		machine   *directory.Replica
		confirmer *directory.Confirmer
	)

	BeforeEach(func() {
		machine = directory.NewReplica()
		machine.ApplyListing(0, nil, 10)
		confirmer = directory.NewConfirmer(machine)
	})

	begin := func(now time.Duration) directory.Call {
		GinkgoHelper()
		confirmer.Request()
		call, wanted := confirmer.Next(now)
		Expect(wanted).To(BeTrue())
		return call
	}

	// callsIn returns how many confirmations begin in a period in which they are always wanted.
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

	It("calls the store only if it is asked to", func() {
		_, wanted := confirmer.Next(0)
		Expect(wanted).To(BeFalse())
	})

	It("confirms the directory for the time at which it asked, if the store has nothing newer", func() {
		Expect(begin(5 * millisecond).Listing).To(BeTrue())
		confirmed, current := confirmer.HandlePage(directory.Page{Revision: 10})
		Expect(current).To(BeTrue())
		Expect(confirmed).To(Equal(5 * millisecond))
	})

	It("fetches what is missing before it confirms", func() {
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
		Expect(wanted).To(BeFalse(), "nothing is missing that could be fetched")
	})

	It("does not confirm if a watch that hears nothing answers less than the store has", func() {
		begin(0)
		confirmer.HandlePage(directory.Page{Revision: 12})
		confirmer.Next(millisecond)
		_, _, current := confirmer.HandleChanges(2*millisecond, directory.Changes{Through: 11})
		Expect(current).To(BeFalse())
	})

	It("asks again after a failure only if it is asked to, and not too often", func() {
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

	It("keeps all balancers together to a part of the store's rate", func() {
		confirmer.SetStoreRate(1100, 2000)
		begin(0)
		confirmer.HandlePage(directory.Page{Revision: 10})
		confirmer.Request()
		_, wanted := confirmer.Next(2 * time.Second)
		Expect(wanted).To(BeFalse())
	})

	It("takes no answer that is behind, or ahead of what it has adopted, for a confirmation", func() {
		Expect(machine.ConfirmedBy(10, 10)).To(BeTrue())
		Expect(machine.ConfirmedBy(9, 10)).To(BeFalse(), "the watcher is behind")
		Expect(machine.ConfirmedBy(12, 10)).To(BeFalse(), "what came with it was refused")
		Expect(machine.ConfirmedBy(10, 0)).To(BeFalse(), "nothing was known")
	})

	It("calls often for all in a large fleet, since few are asked", func() {
		confirmer.SetStoreRate(1100, 2000)
		confirmer.SetServesOthers(true)
		Expect(callsIn(0, time.Second)).To(BeNumerically(">=", 20))
	})

	It("calls the store if the balancer that was asked in its place does not answer", func() {
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(0)).To(BeTrue())
		_, wanted := confirmer.Next(300 * millisecond)
		Expect(wanted).To(BeFalse(), "an answer is awaited")
		confirmer.WatcherTimedOut()
		_, wanted = confirmer.Next(300 * millisecond)
		Expect(wanted).To(BeTrue())
	})

	It("lets a balancer ask a watcher again as soon as that has answered, since it bounds the calls", func() {
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(0)).To(BeTrue())
		Expect(confirmer.BeginWithWatcher(0)).To(BeFalse(), "nothing is wanted any more")
		confirmer.Request()
		Expect(confirmer.BeginWithWatcher(millisecond)).To(BeTrue())
	})

	It("calls more often while others wait for it", func() {
		alone := callsIn(0, time.Second)
		confirmer.SetServesOthers(true)
		Expect(callsIn(time.Second, 2*time.Second)).To(BeNumerically(">=", 2*alone))
	})

	It("calls less often once a rush has lasted", func() {
		confirmer.SetServesOthers(true)
		rush := callsIn(0, 2*time.Second)
		callsIn(2*time.Second, 10*time.Second)
		Expect(callsIn(10*time.Second, 12*time.Second)).To(BeNumerically("<=", rush/3))
	})

	It("keeps the questions of many balancers to what a watcher can answer", func() {
		const balancers, watchers, period = 1100, 5, 10 * time.Second
		confirmer.SetStoreRate(balancers, 2000)
		asked := 0
		for now := time.Duration(0); now < period; now += millisecond {
			confirmer.Request()
			if confirmer.BeginWithWatcher(now) {
				asked++
			}
		}
		perWatcher := float64(asked) * balancers / watchers / period.Seconds()
		Expect(perWatcher).To(BeNumerically("~", 1000, 50))
	})

	It("makes no call before the first listing, but lets a peer confirm, no more often", func() {
		confirmer = directory.NewConfirmer(directory.NewReplica())
		Expect(confirmer.BeginWithStore(0)).To(BeFalse(), "nobody wants it")
		confirmer.Request()
		_, wanted := confirmer.Next(0)
		Expect(wanted).To(BeFalse())
		Expect(confirmer.BeginWithStore(0)).To(BeTrue())
		confirmer.Request()
		Expect(confirmer.BeginWithStore(millisecond)).To(BeFalse())
		Expect(confirmer.BeginWithStore(120 * millisecond)).To(BeTrue())
	})
})
