package timeline_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/timeline"
)

const propagationLog = `  1.0 b-1 {"time":"2026-01-01T00:00:01Z","msg":"directory changed","name":"b-1","version":3,"revision":7}
  1.1 b-2 {"time":"2026-01-01T00:00:01.1Z","msg":"directory changed","name":"b-2","version":3,"revision":7}
  1.2 b-3 {"time":"2026-01-01T00:00:01.2Z","msg":"directory changed","name":"b-3","version":3,"revision":7}
  2.0 b-2 {"time":"2026-01-01T00:00:02Z","msg":"directory changed","name":"b-2","version":3,"revision":8}
  2.5 b-1 {"time":"2026-01-01T00:00:02.5Z","msg":"directory changed","name":"b-1","version":4,"revision":9}
  3.0 b-3 {"time":"2026-01-01T00:00:03Z","msg":"directory changed","name":"b-3","version":3,"revision":8}
`

var _ = Describe("ReadPropagation", func() {
	first := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)

	It("measures the time until each process had a configuration or revision, or a later one", func() {
		changes, err := timeline.ReadPropagation(strings.NewReader(propagationLog), 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ConsistOf(
			timeline.Propagation{Version: 3, First: first, Processes: 3, Median: 100, P99: 200, Longest: 200},
			timeline.Propagation{Revision: 7, First: first, Processes: 3, Median: 100, P99: 200, Longest: 200},
			timeline.Propagation{Revision: 8, First: first.Add(time.Second), Processes: 3, Median: 500, P99: 1000, Longest: 1000},
		))
	})

	It("includes changes that only some processes received when the minimum share is lower", func() {
		changes, err := timeline.ReadPropagation(strings.NewReader(propagationLog), 0.3)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ContainElement(HaveField("Version", uint64(4))))
	})
})
