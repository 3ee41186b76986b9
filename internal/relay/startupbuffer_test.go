package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, before it knows the directory", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		known.endpoint(0, 1, nil)
	})

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, known.machine.Snapshot()) }
	// offered returns the opening packets among messages.
	offered := func(effects []relay.Effect) [][]byte {
		var packets [][]byte
		for _, each := range sent(effects) {
			if each.Message.Kind == relay.KindOffer {
				packets = append(packets, each.Message.Packet)
			}
		}
		return packets
	}

	It("answers nothing and drops nothing", func() {
		for number := range 5 {
			Expect(balancer.HandleClientPacket(0, opening(number, 100))).To(BeEmpty())
		}
	})

	It("offers what came meanwhile as soon as it knows, the newest first, then seeks the owners of other flows", func() {
		balancer.HandleClientPacket(0, fromClient(9, segment.Acknowledge, 101, 501, "request"))
		balancer.HandleClientPacket(millisecond, opening(1, 100))
		balancer.HandleClientPacket(2*millisecond, opening(2, 100))
		effects := install(100 * millisecond)
		Expect(offered(effects)).To(Equal([][]byte{opening(2, 100), opening(1, 100)}))
		Expect(sent(effects)[2].Message.Kind).To(Equal(relay.KindLocate))
		Expect(events(effects)).To(Equal([]relay.EventKind{
			relay.EventReleased, relay.EventReleased, relay.EventReleased, relay.EventLocating,
		}))
		Expect(offered(install(200*millisecond))).To(BeEmpty(), "once")
	})

	It("offers the latest copy of an opening packet only", func() {
		balancer.HandleClientPacket(0, opening(1, 100))
		balancer.HandleClientPacket(200*millisecond, opening(1, 100))
		Expect(offered(install(300 * millisecond))).To(HaveLen(1))
	})

	It("tells agents for how long clients have waited", func() {
		balancer.HandleClientPacket(0, fromClient(1, segment.Synchronize, 100, 200, ""))
		offer := sent(install(100 * millisecond))[0]
		Expect(offer.Message.Parameters.Waited).To(Equal(uint32(300)))
	})

	It("forgets what has waited for too long", func() {
		balancer.HandleClientPacket(0, opening(1, 100))
		balancer.HandleClientPacket(900*millisecond, opening(2, 100))
		Expect(offered(install(1100 * millisecond))).To(Equal([][]byte{opening(2, 100)}))
	})

	It("drops, and tells so, what there is no room for", func() {
		for number := range 512 {
			Expect(balancer.HandleClientPacket(0, opening(number, 100))).To(BeEmpty())
		}
		Expect(events(balancer.HandleClientPacket(0, opening(600, 100)))).To(ConsistOf(relay.EventNotReady))
		Expect(offered(install(millisecond))).To(HaveLen(512))
	})

	It("resets an early flow whose address has no route", func() {
		header := segment.Header{
			Source: clientAddress(1), Destination: noRoute, Flags: segment.Synchronize, Sequence: 100,
		}
		balancer.HandleClientPacket(0, codec.Encode(header, nil))
		balancer.MarkConfirmed(millisecond)
		Expect(resets(install(millisecond))).To(HaveLen(1))
	})
})
