package dissemination_test

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
)

var _ = ginkgo.Describe("Message", func() {
	ginkgo.It("is unchanged by encoding and decoding when it fills a datagram", func() {
		sent := dissemination.Message{
			Kind:   dissemination.KindPush,
			Status: dissemination.Status{Held: 1 << 40, Applied: 7},
			Deltas: []dissemination.Delta{{Version: 1 << 40, Payload: bytes.Repeat([]byte{7}, 1100)}},
		}
		encoded, err := sent.MarshalMsg(nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(encoded)).To(gomega.BeNumerically("<=", dissemination.MaxDatagramSize))
		var received dissemination.Message
		rest, err := received.UnmarshalMsg(encoded)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(rest).To(gomega.BeEmpty())
		gomega.Expect(received.Deltas).To(gomega.Equal(sent.Deltas))
		gomega.Expect(received.Status).To(gomega.Equal(sent.Status))
	})

	ginkgo.It("returns an error when decoding more members than a datagram can hold", func() {
		forged := dissemination.Message{BehindMembers: make([]membership.Address, 2000)}
		encoded, err := forged.MarshalMsg(nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var received dissemination.Message
		_, err = received.UnmarshalMsg(encoded)
		gomega.Expect(err).To(gomega.MatchError(msgp.ErrLimitExceeded))
	})
})
