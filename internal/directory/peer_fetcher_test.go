package directory_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("PeerFetcher", func() {
	var (
		replica *directory.Replica
		fetcher *directory.PeerFetcher[string]
	)

	newer := directory.Digest{ConfigurationVersion: 9, Revision: 100}

	BeforeEach(func() {
		replica = directory.NewReplica()
		replica.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 1)
		fetcher = directory.NewPeerFetcher(replica, timing, []string{"seed"}, rand.New(rand.NewPCG(1, 1)))
	})

	fetch := func(now time.Duration) string {
		peer, wanted := fetcher.Next(now)
		if !wanted {
			return ""
		}
		return peer
	}

	It("fetches from a seed at the start, retries after a failure and stops after a success", func() {
		Expect(fetch(0)).To(Equal("seed"))
		Expect(fetch(time.Second)).To(BeEmpty(), "one fetch at a time")
		fetcher.FetchFailed()
		Expect(fetch(100*time.Millisecond)).To(BeEmpty(), "not before the interval has passed")
		Expect(fetch(time.Second)).To(Equal("seed"))
		fetcher.Fetched(time.Second, directory.State{})
		Expect(fetch(time.Minute)).To(BeEmpty())
	})

	It("waits for updates for a while before it fetches from a peer that is ahead", func() {
		fetch(0)
		fetcher.Fetched(0, directory.State{})
		fetcher.ReceiveDigest(time.Second, "peer", newer)
		Expect(fetch(time.Second)).To(BeEmpty())
		Expect(fetch(1900 * time.Millisecond)).To(BeEmpty())
		Expect(fetch(2000 * time.Millisecond)).To(Equal("peer"))
	})

	It("does not fetch what is known", func() {
		fetch(0)
		fetcher.Fetched(0, directory.State{})
		replica.ApplyChanges(0, []directory.Item{configurationItem(9, 100)}, 100)
		fetcher.ReceiveDigest(time.Second, "peer", newer)
		Expect(fetch(time.Minute)).To(BeEmpty())
	})

	It("waits for the store first unless a call to it fails", func() {
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

	It("keeps fetching without a directory if a peer had none", func() {
		starting := directory.NewPeerFetcher(directory.NewReplica(), timing, []string{"seed"}, rand.New(rand.NewPCG(1, 1)))
		starting.StoreFailed()
		_, wanted := starting.Next(0)
		Expect(wanted).To(BeTrue())
		Expect(starting.Fetched(0, directory.State{})).To(BeFalse())
		_, wanted = starting.Next(250 * time.Millisecond)
		Expect(wanted).To(BeTrue())
	})

	It("fetches at once from a peer with a directory while it has none", func() {
		starting := directory.NewPeerFetcher[string](directory.NewReplica(), timing, nil, rand.New(rand.NewPCG(1, 1)))
		starting.ReceiveDigest(0, "peer", newer)
		peer, wanted := starting.Next(0)
		Expect(wanted).To(BeTrue())
		Expect(peer).To(Equal("peer"))
	})

	It("fetches from peers known by digests and forgets lost ones", func() {
		fetcher = directory.NewPeerFetcher[string](replica, timing, nil, rand.New(rand.NewPCG(1, 1)))
		Expect(fetch(0)).To(BeEmpty())
		fetcher.ReceiveDigest(0, "peer", directory.Digest{})
		Expect(fetch(0)).To(Equal("peer"))
		fetcher.FetchFailed()
		fetcher.PeerLost("peer")
		Expect(fetch(time.Minute)).To(BeEmpty())
	})
})
