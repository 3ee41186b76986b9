package experiment_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/experiment"
)

var _ = Describe("countLateConnections", func() {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	DescribeTable("counts a connection that a back end accepted after the grace of its drain period",
		func(backend string, accepted time.Time, until time.Time, expected int) {
			late := experiment.CountLateConnections(
				experiment.Acceptance{Backend: backend, At: accepted},
				experiment.DrainPeriod{Backend: testBackend, From: start, Until: until})
			Expect(late).To(Equal(expected))
		},
		Entry("before the drain", testBackend, at(-1), time.Time{}, 0),
		Entry("within the grace", testBackend, at(3), time.Time{}, 0),
		Entry("after the grace", testBackend, at(4), time.Time{}, 1),
		Entry("on another back end", "audio-2", at(4), time.Time{}, 0),
		Entry("before the end of the drain", testBackend, at(4), at(5), 1),
		Entry("after the end of the drain", testBackend, at(6), at(5), 0),
	)
})
