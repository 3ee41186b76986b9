package daemon

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// importerPatience bounds waiting for goroutines; no verdict depends on it.
const importerPatience = time.Minute

// scriptedLog leads, and has imported, what a spec says.
type scriptedLog struct {
	leads    atomic.Bool
	imported atomic.Uint64
}

func (l *scriptedLog) Leads() bool { return l.leads.Load() }

func (l *scriptedLog) ImportedRevision() changelog.Revision {
	return changelog.Revision(l.imported.Load())
}

// scriptedImport is an importer whose platform has one revision.
type scriptedImport struct {
	log      scriptedLog
	revision atomic.Uint64
	polls    atomic.Int64
	// undecided is how many submissions are not decided.
	undecided atomic.Int64
	submitted chan platform.Revision
}

func (s *scriptedImport) poller(deliver func(platform.Configuration)) *platform.Poller[platform.Configuration] {
	return platform.NewPoller(platform.PollerConfig[platform.Configuration]{
		Fetch: func(context.Context) (platform.Configuration, error) {
			s.polls.Add(1)
			revision := platform.Revision(s.revision.Load())
			return platform.Configuration{Revision: revision, Table: &table.Table{}}, nil
		},
		Deliver:  deliver,
		Interval: time.Millisecond,
		Logger:   log.New(io.Discard),
	})
}

func (s *scriptedImport) submit(_ context.Context, configuration platform.Configuration) bool {
	s.submitted <- configuration.Revision
	if s.undecided.Add(-1) >= 0 {
		return false
	}
	s.log.imported.Store(uint64(configuration.Revision))
	return true
}

func startImport() *scriptedImport {
	script := &scriptedImport{submitted: make(chan platform.Revision, 100)}
	importer := &clusterImporter{log: &script.log, newPoller: script.poller, submit: script.submit}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- importer.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, importerPatience).Should(Receive(BeNil()))
	})
	return script
}

var _ = Describe("clusterImporter", func() {
	It("polls only while it leads, and repeats a revision until it is decided", func() {
		script := startImport()
		script.undecided.Store(1)
		script.revision.Store(4)
		Consistently(script.polls.Load, 3*leadershipInterval).Should(BeZero())
		script.log.leads.Store(true)
		Eventually(script.submitted, importerPatience).Should(Receive(Equal(platform.Revision(4))))
		Eventually(script.submitted, importerPatience).Should(Receive(Equal(platform.Revision(4))))
		Eventually(script.log.imported.Load, importerPatience).Should(Equal(uint64(4)))

		By("not polling any more once another leads")
		script.log.leads.Store(false)
		Eventually(func() bool {
			before := script.polls.Load()
			time.Sleep(leadershipInterval)
			return script.polls.Load() == before
		}, importerPatience).Should(BeTrue())
		script.revision.Store(6)

		By("importing nothing that a leader before has imported")
		script.log.imported.Store(6)
		script.log.leads.Store(true)
		before := script.polls.Load()
		Eventually(script.polls.Load, importerPatience).Should(BeNumerically(">", before+2))
		Expect(script.submitted).NotTo(Receive())
		script.revision.Store(7)
		Eventually(script.submitted, importerPatience).Should(Receive(Equal(platform.Revision(7))))
	})
})
