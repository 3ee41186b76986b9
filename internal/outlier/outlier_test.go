package outlier_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Outlier")
}

const (
	millisecond = time.Millisecond
	north       = "north"
	south       = "south"
)

var _ = Describe("Detector", func() {
	var detector *outlier.Detector

	BeforeEach(func() { detector = outlier.NewDetector(outlier.DefaultConfig()) })

	record := func(at time.Duration, zone string, outcomes ...outlier.Outcome) {
		for _, outcome := range outcomes {
			detector.RecordOutcome(at, zone, outcome, 0)
		}
	}
	repeat := func(outcome outlier.Outcome, count int) []outlier.Outcome {
		outcomes := make([]outlier.Outcome, count)
		for index := range outcomes {
			outcomes[index] = outcome
		}
		return outcomes
	}
	states := func() []outlier.State {
		var found []outlier.State
		for _, change := range detector.TakeChanges() {
			found = append(found, change.State)
		}
		return found
	}

	It("admits flows to an endpoint without outcomes or with good ones only", func() {
		Expect(detector.Admit(0, north)).To(BeTrue())
		record(0, north, repeat(outlier.Success, 50)...)
		Expect(detector.Admit(0, north)).To(BeTrue())
		Expect(detector.Report(0, north)).To(Equal(outlier.Report{Outcomes: 10}))
		Expect(detector.TakeChanges()).To(BeEmpty())
	})

	It("ejects an endpoint for all zones after three bad outcomes of ten in two zones", func() {
		record(0, north, repeat(outlier.Success, 20)...)
		record(0, north, outlier.Failure, outlier.Failure)
		Expect(detector.Admit(0, north)).To(BeTrue(), "two bad outcomes may be chance")
		record(0, south, outlier.ConnectionReset)
		Expect(detector.Admit(0, north)).To(BeFalse())
		Expect(detector.Admit(0, south)).To(BeFalse())
		report := detector.Report(0, "elsewhere")
		Expect(report).To(Equal(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.ConnectionReset, HoldMilliseconds: 1000}))
		Expect(report.Valid()).To(BeTrue())
	})

	It("ejects an endpoint only for the zone whose clients had all of the bad outcomes", func() {
		record(0, south, repeat(outlier.Success, 8)...)
		record(0, north, repeat(outlier.Failure, 5)...)
		Expect(detector.Admit(0, north)).To(BeFalse())
		Expect(detector.Admit(0, south)).To(BeTrue())
		Expect(detector.Report(0, north).HoldMilliseconds).To(BeEquivalentTo(1000))
		Expect(detector.Report(0, south)).To(Equal(outlier.Report{Outcomes: 8}))
		Expect(detector.TakeChanges()).To(Equal([]outlier.StateChange{{
			Zone: north, State: outlier.Ejected, Reason: outlier.Failure, Failures: 3, Outcomes: 3, HoldTime: time.Second,
		}}))
	})

	It("ignores outcomes that are more than five seconds old", func() {
		record(0, north, outlier.Failure, outlier.Failure)
		record(5100*millisecond, north, outlier.Failure, outlier.Success)
		Expect(detector.Admit(5100*millisecond, north)).To(BeTrue())
	})

	It("admits single trial flows on probation, and restores the endpoint after five successes", func() {
		record(0, north, repeat(outlier.Failure, 3)...)
		Expect(detector.Admit(999*millisecond, north)).To(BeFalse())
		Expect(detector.Admit(time.Second, north)).To(BeTrue())
		Expect(detector.Admit(1199*millisecond, north)).To(BeFalse(), "trials are 200 ms apart")
		Expect(detector.Report(1100*millisecond, north).HoldMilliseconds).To(BeEquivalentTo(100))
		record(1200*millisecond, north, repeat(outlier.Success, 4)...)
		Expect(states()).To(Equal([]outlier.State{outlier.Ejected, outlier.Probation}))
		record(1200*millisecond, north, outlier.Success)
		Expect(states()).To(Equal([]outlier.State{outlier.Healthy}))
		Expect(detector.Admit(1201*millisecond, north)).To(BeTrue())
		Expect(detector.Admit(1202*millisecond, north)).To(BeTrue())
		record(1300*millisecond, north, outlier.Failure)
		Expect(detector.Admit(1300*millisecond, north)).To(BeTrue(), "earlier outcomes no longer count")
	})

	It("doubles the ejection time with each trial that fails, up to eight seconds", func() {
		now := time.Duration(0)
		record(now, north, repeat(outlier.Failure, 3)...)
		for _, expected := range []time.Duration{1, 2, 4, 8, 8} {
			Expect(detector.Report(now, north).HoldTime()).To(Equal(expected * time.Second))
			now += expected * time.Second
			Expect(detector.Admit(now, north)).To(BeTrue())
			record(now, north, outlier.Failure)
		}
	})

	It("ejects an endpoint after a refusal for the time that it asks for, from 250 ms to 2 s", func() {
		for _, refusal := range []struct{ asked, expected time.Duration }{
			{0, 250 * millisecond}, {time.Second, time.Second}, {time.Minute, 2 * time.Second},
		} {
			detector.Reset()
			detector.RecordOutcome(0, north, outlier.Refusal, refusal.asked)
			Expect(detector.Report(0, north).HoldTime()).To(Equal(refusal.expected))
			Expect(detector.Admit(0, south)).To(BeTrue())
		}
	})

	It("ejects for up to one second an endpoint that returns opening packets, and restores it once it accepts a flow", func() {
		now := time.Duration(0)
		for _, expected := range []time.Duration{300, 600, 1000, 1000} {
			Expect(detector.Admit(now, north)).To(BeTrue())
			detector.RecordReturn(now)
			Expect(detector.Report(now, south).HoldTime()).To(Equal(expected * millisecond))
			now += expected * millisecond
		}
		Expect(detector.Admit(now, north)).To(BeTrue())
		detector.RecordPacket(now, false)
		Expect(detector.Admit(now, north)).To(BeFalse())
		detector.RecordPacket(now, true)
		Expect(detector.Admit(now, north)).To(BeTrue())
	})

	It("ejects an endpoint that leaves two opening packets unanswered for 45 ms", func() {
		detector.RecordOpening(0)
		_, needed := detector.CheckDue()
		Expect(needed).To(BeFalse(), "a single packet may be lost")
		detector.RecordOpening(10 * millisecond)
		due, needed := detector.CheckDue()
		Expect(needed).To(BeTrue())
		Expect(due).To(Equal(45 * millisecond))
		detector.CheckOpenings(44 * millisecond)
		Expect(detector.Admit(44*millisecond, north)).To(BeTrue())
		detector.CheckOpenings(due)
		Expect(detector.Admit(due, north)).To(BeFalse())
		trial := due + 300*millisecond
		Expect(detector.Admit(trial, north)).To(BeTrue())
		detector.RecordOpening(trial)
		detector.CheckOpenings(trial + 45*millisecond)
		Expect(detector.Report(trial+45*millisecond, north).HoldTime()).To(Equal(600*millisecond), "one unanswered packet is enough on probation")
	})

	It("does not eject an endpoint that sent a packet after the first opening", func() {
		detector.RecordOpening(0)
		detector.RecordPacket(millisecond, true)
		detector.RecordOpening(40 * millisecond)
		detector.CheckOpenings(50 * millisecond)
		Expect(detector.Admit(50*millisecond, north)).To(BeTrue())
	})

	It("ejects an endpoint while a request hangs, and for the ejection time after it", func() {
		for now := time.Duration(0); now < 3*time.Second; now += 100 * millisecond {
			detector.RecordHang(now)
			Expect(detector.Admit(now, north)).To(BeFalse())
		}
		Expect(detector.Admit(3800*millisecond, north)).To(BeFalse())
		Expect(detector.Admit(3900*millisecond, north)).To(BeTrue())
	})

	It("admits flows to an ejected endpoint after a restart", func() {
		record(0, north, repeat(outlier.Failure, 3)...)
		detector.RecordReturn(0)
		detector.Reset()
		Expect(detector.Admit(0, north)).To(BeTrue())
	})

	It("ejects an endpoint for hangs but not for bad answers if the failure threshold is 0", func() {
		detector = outlier.NewDetector(outlier.Config{Window: 10, BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
		record(0, north, repeat(outlier.Failure, 20)...)
		record(0, south, outlier.Refusal)
		Expect(detector.Admit(0, north)).To(BeTrue())
		detector.RecordHang(0)
		Expect(detector.Admit(time.Second, north)).To(BeTrue(), "the first trial")
		record(time.Second, north, outlier.Failure)
		Expect(detector.Admit(1200*millisecond, north)).To(BeTrue(), "the next trial")
	})

	It("admits flows of a zone that it does not track after 1,000 other zone names", func() {
		for number := range 1000 {
			record(0, string(rune('a'+number)), outlier.Success)
		}
		Expect(detector.Admit(0, "unknown")).To(BeTrue())
	})
})

var _ = Describe("ServiceHealth", func() {
	const ejected = true
	failingReport := outlier.Report{Outcomes: 10, Failures: 6, Reason: outlier.Failure, HoldMilliseconds: 1000}
	healthyReport := outlier.Report{Outcomes: 10}
	healthOf := func(healthy, ejectedCount int, report outlier.Report) *outlier.ServiceHealth {
		health := &outlier.ServiceHealth{}
		for range healthy {
			health.Add(healthyReport, !ejected)
		}
		for range ejectedCount {
			health.Add(report, ejected)
		}
		return health
	}

	It("confirms ejections of up to half of the endpoints of a service", func() {
		Expect(healthOf(2, 1, failingReport).ConfirmsEjection(failingReport)).To(BeTrue())
		Expect(healthOf(5, 5, failingReport).ConfirmsEjection(failingReport)).To(BeTrue())
		Expect(healthOf(4, 5, failingReport).ConfirmsEjection(failingReport)).To(BeFalse(), "more than half are ejected, so the service is at fault")
		Expect(healthOf(0, 1, failingReport).ConfirmsEjection(failingReport)).To(BeFalse())
	})

	It("confirms the ejection of unreachable endpoints and does not count them for the panic threshold", func() {
		unreachable := outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 300}
		health := healthOf(2, 1, failingReport)
		for range 20 {
			health.Add(unreachable, ejected)
		}
		Expect(health.ConfirmsEjection(unreachable)).To(BeTrue())
		Expect(health.ConfirmsEjection(failingReport)).To(BeTrue())
	})

	It("confirms an ejection for a hang, but not for failures that all endpoints have", func() {
		health := &outlier.ServiceHealth{}
		for range 6 {
			health.Add(outlier.Report{Outcomes: 10, Failures: 2}, !ejected)
		}
		chance := outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000}
		health.Add(chance, ejected)
		Expect(health.ConfirmsEjection(chance)).To(BeFalse())
		Expect(health.ConfirmsEjection(failingReport)).To(BeTrue())
		Expect(health.ConfirmsEjection(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Hang, HoldMilliseconds: 1000})).To(BeTrue())
	})

	It("rejects reports that no detector sends", func() {
		Expect(outlier.Report{Outcomes: 3, Failures: 4}.Valid()).To(BeFalse())
		Expect(outlier.Report{Reason: 200}.Valid()).To(BeFalse())
	})
})
