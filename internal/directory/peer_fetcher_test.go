package directory_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("Exchange", func() {
	var (
		machine  *directory.Replica
		exchange *directory.PeerFetcher[string]
	)

	newer := directory.Digest{ConfigurationVersion: 9, Revision: 100}

	BeforeEach(func() {
		machine = directory.NewReplica()
		machine.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 1)
		exchange = directory.NewPeerFetcher(machine, timing, []string{"seed"}, rand.New(rand.NewPCG(1, 1)))
	})

	fetch := func(now time.Duration) string {
		peer, wanted := exchange.Next(now)
		if !wanted {
			return ""
		}
		return peer
	}

	It("asks a seed at the start, again after a failure, and no more after a success", func() {
		Expect(fetch(0)).To(Equal("seed"))
		Expect(fetch(time.Second)).To(BeEmpty(), "one fetch at a time")
		exchange.FetchFailed()
		Expect(fetch(100*time.Millisecond)).To(BeEmpty(), "not at once")
		Expect(fetch(time.Second)).To(Equal("seed"))
		exchange.Fetched(time.Second, directory.State{})
		Expect(fetch(time.Minute)).To(BeEmpty())
	})

	It("fetches from a peer that is ahead, but leaves the store some time first", func() {
		fetch(0)
		exchange.Fetched(0, directory.State{})
		exchange.ReceiveDigest(time.Second, "peer", newer)
		Expect(fetch(time.Second)).To(BeEmpty())
		Expect(fetch(1900 * time.Millisecond)).To(BeEmpty())
		Expect(fetch(2000 * time.Millisecond)).To(Equal("peer"))
	})

	It("does not fetch what it knows", func() {
		fetch(0)
		exchange.Fetched(0, directory.State{})
		machine.ApplyChanges(0, []directory.Item{configurationItem(9, 100)}, 100)
		exchange.ReceiveDigest(time.Second, "peer", newer)
		Expect(fetch(time.Minute)).To(BeEmpty())
	})

	It("leaves the store some time to answer first, unless that fails", func() {
		for _, fails := range []bool{false, true} {
			starting := directory.NewPeerFetcher(directory.NewReplica(), timing, []string{"seed"}, rand.New(rand.NewPCG(1, 1)))
			_, wanted := starting.Next(time.Second)
			Expect(wanted).To(BeFalse())
			if fails {
				starting.StoreFailed()
			}
			_, wanted = starting.Next(1400 * time.Millisecond)
			Expect(wanted).To(Equal(fails))
			if !fails {
				_, wanted = starting.Next(1500 * time.Millisecond)
				Expect(wanted).To(BeTrue())
			}
		}
	})

	It("goes on asking while it knows nothing, if a peer had nothing to tell", func() {
		starting := directory.NewPeerFetcher(directory.NewReplica(), timing, []string{"seed"}, rand.New(rand.NewPCG(1, 1)))
		starting.StoreFailed()
		_, wanted := starting.Next(0)
		Expect(wanted).To(BeTrue())
		Expect(starting.Fetched(0, directory.State{})).To(BeFalse())
		_, wanted = starting.Next(250 * time.Millisecond)
		Expect(wanted).To(BeTrue())
	})

	It("fetches from a peer that knows something at once while it knows nothing itself", func() {
		starting := directory.NewPeerFetcher[string](directory.NewReplica(), timing, nil, rand.New(rand.NewPCG(1, 1)))
		starting.ReceiveDigest(0, "peer", newer)
		peer, wanted := starting.Next(0)
		Expect(wanted).To(BeTrue())
		Expect(peer).To(Equal("peer"))
	})

	It("asks peers that it hears of too, and forgets those that are lost", func() {
		exchange = directory.NewPeerFetcher[string](machine, timing, nil, rand.New(rand.NewPCG(1, 1)))
		Expect(fetch(0)).To(BeEmpty())
		exchange.ReceiveDigest(0, "peer", directory.Digest{})
		Expect(fetch(0)).To(Equal("peer"))
		exchange.FetchFailed()
		exchange.PeerLost("peer")
		Expect(fetch(time.Minute)).To(BeEmpty())
	})
})
