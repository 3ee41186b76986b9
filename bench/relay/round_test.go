package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// lateRelay is a relay that starts to run after a delay, as on a busy machine.
type lateRelay struct {
	relay
	delay time.Duration
}

func (l *lateRelay) Run(ctx context.Context) error {
	time.Sleep(l.delay)
	return l.relay.Run(ctx)
}

var _ = ginkgo.Describe("round", func() {
	ginkgo.It("starts with the first datagram if the relay starts later than the round length", func(ctx ginkgo.SpecContext) {
		options := DefaultOptions()
		options.Services, options.RowsPerService, options.Flows = 3, 2, 100
		options.RoundLength = 20 * time.Millisecond
		open := func(sinks []netip.AddrPort, sent *packetCounter) (relay, error) {
			opened, err := openBare(options)(sinks, sent)
			return &lateRelay{opened, 10 * options.RoundLength}, err
		}
		datagrams := [][]byte{make([]byte, 64)}
		result, err := runRound(ctx, open, options, datagrams, flood)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result.sent).To(gomega.BeNumerically(">", 0))
	})
})
