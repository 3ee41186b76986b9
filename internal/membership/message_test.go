package membership_test

import (
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/vanetiller/vanetiller/internal/membership"
)

var _ = ginkgo.Describe("Message", func() {
	ginkgo.It("returns an error when decoding an update count larger than a datagram can hold", func() {
		sender, err := (&membership.Update{}).MarshalMsg(nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		valid, err := (&membership.Message{}).MarshalMsg(nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		// The header, the kind, the sender, the sequence and the target
		// precede the updates. All but the sender take one byte.
		updates := 4 + len(sender)
		forged := msgp.AppendArrayHeader(valid[:updates:updates], 1<<31)
		forged = append(forged, valid[updates+1:]...)
		var decoded membership.Message
		_, err = decoded.UnmarshalMsg(forged)
		gomega.Expect(err).To(gomega.MatchError(msgp.ErrLimitExceeded))
		rest, err := decoded.UnmarshalMsg(valid)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(rest).To(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("AddressOf converts IPv4 addresses and rejects others",
		func(text string, usable bool) {
			endpoint := netip.MustParseAddrPort(text)
			address, converted := membership.AddressOf(endpoint)
			gomega.Expect(converted).To(gomega.Equal(usable))
			if usable {
				gomega.Expect(address.String()).To(gomega.Equal(text))
			}
		},
		ginkgo.Entry("lowest address and port", "0.0.0.0:1", true),
		ginkgo.Entry("typical address", "192.0.2.7:7000", true),
		ginkgo.Entry("highest address and port", "255.255.255.255:65535", true),
		ginkgo.Entry("IPv6 address", "[2001:db8::1]:7000", false),
	)
})
