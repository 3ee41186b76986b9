package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, before the directory is known", func() {
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		builder.putEndpoint(0, 1, nil)
	})

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, builder.replica.Snapshot()) }
	// offeredPackets returns the opening packets of the offers among effects.
	offeredPackets := func(effects []relay.Effect) [][]byte {
		var packets [][]byte
		for _, each := range sentMessages(effects) {
			if each.Message.Kind == relay.KindOffer {
				packets = append(packets, each.Message.Packet)
			}
		}
		return packets
	}

	It("buffers packets without any effect", func() {
		for number := range 5 {
			Expect(balancer.HandleClientPacket(0, openingPacket(number, 100))).To(BeEmpty())
		}
	})

	It("offers buffered opening packets, newest first, and then searches for the owners of other flows", func() {
		balancer.HandleClientPacket(0, clientPacket(9, segment.Acknowledge, 101, 501, "request"))
		balancer.HandleClientPacket(millisecond, openingPacket(1, 100))
		balancer.HandleClientPacket(2*millisecond, openingPacket(2, 100))
		effects := install(100 * millisecond)
		Expect(offeredPackets(effects)).To(Equal([][]byte{openingPacket(2, 100), openingPacket(1, 100)}))
		Expect(sentMessages(effects)[2].Message.Kind).To(Equal(relay.KindLocate))
		Expect(eventKinds(effects)).To(Equal([]relay.EventKind{
			relay.EventReleased, relay.EventReleased, relay.EventReleased, relay.EventLocating,
		}))
		Expect(offeredPackets(install(200*millisecond))).To(BeEmpty(), "packets are released once")
	})

	It("offers only the latest copy of an opening packet", func() {
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		balancer.HandleClientPacket(200*millisecond, openingPacket(1, 100))
		Expect(offeredPackets(install(300 * millisecond))).To(HaveLen(1))
	})

	It("reports to agents how long clients have waited", func() {
		balancer.HandleClientPacket(0, clientPacket(1, segment.Synchronize, 100, 200, ""))
		offer := sentMessages(install(100 * millisecond))[0]
		Expect(offer.Message.Parameters.Waited).To(Equal(uint32(300)))
	})

	It("drops packets that have waited too long", func() {
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		balancer.HandleClientPacket(900*millisecond, openingPacket(2, 100))
		Expect(offeredPackets(install(1100 * millisecond))).To(Equal([][]byte{openingPacket(2, 100)}))
	})

	It("drops packets with an event when the buffer is full", func() {
		for number := range 512 {
			Expect(balancer.HandleClientPacket(0, openingPacket(number, 100))).To(BeEmpty())
		}
		Expect(eventKinds(balancer.HandleClientPacket(0, openingPacket(600, 100)))).To(ConsistOf(relay.EventNotReady))
		Expect(offeredPackets(install(millisecond))).To(HaveLen(512))
	})

	It("resets a buffered flow whose address has no route", func() {
		header := segment.Header{
			Source: clientAddress(1), Destination: noRoute, Flags: segment.Synchronize, Sequence: 100,
		}
		balancer.HandleClientPacket(0, codec.Encode(header, nil))
		balancer.MarkConfirmed(millisecond)
		Expect(resetHeaders(install(millisecond))).To(HaveLen(1))
	})
})
