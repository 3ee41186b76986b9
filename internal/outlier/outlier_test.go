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

	answers := func(at time.Duration, zone string, classes ...outlier.Outcome) {
		for _, class := range classes {
			detector.RecordOutcome(at, zone, class, 0)
		}
	}
	repeated := func(class outlier.Outcome, count int) []outlier.Outcome {
		classes := make([]outlier.Outcome, count)
		for index := range classes {
			classes[index] = class
		}
		return classes
	}
	states := func() []outlier.State {
		var found []outlier.State
		for _, change := range detector.TakeChanges() {
			found = append(found, change.State)
		}
		return found
	}

	It("trusts an endpoint of which nothing is known, or whose answers are good", func() {
		Expect(detector.Admit(0, north)).To(BeTrue())
		answers(0, north, repeated(outlier.Success, 50)...)
		Expect(detector.Admit(0, north)).To(BeTrue())
		Expect(detector.Report(0, north)).To(Equal(outlier.Report{Outcomes: 10}))
		Expect(detector.TakeChanges()).To(BeEmpty())
	})

	It("ejects an endpoint with three bad answers of ten, for clients of all zones if those of two saw them", func() {
		answers(0, north, repeated(outlier.Success, 20)...)
		answers(0, north, outlier.Failure, outlier.Failure)
		Expect(detector.Admit(0, north)).To(BeTrue(), "two may be chance")
		answers(0, south, outlier.ConnectionReset)
		Expect(detector.Admit(0, north)).To(BeFalse())
		Expect(detector.Admit(0, south)).To(BeFalse())
		report := detector.Report(0, "elsewhere")
		Expect(report).To(Equal(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.ConnectionReset, HoldMilliseconds: 1000}))
		Expect(report.Valid()).To(BeTrue())
	})

	It("ejects an endpoint that fails for the clients of one zone for these alone", func() {
		answers(0, south, repeated(outlier.Success, 8)...)
		answers(0, north, repeated(outlier.Failure, 5)...)
		Expect(detector.Admit(0, north)).To(BeFalse())
		Expect(detector.Admit(0, south)).To(BeTrue())
		Expect(detector.Report(0, north).HoldMilliseconds).To(BeEquivalentTo(1000))
		Expect(detector.Report(0, south)).To(Equal(outlier.Report{Outcomes: 8}))
		Expect(detector.TakeChanges()).To(Equal([]outlier.StateChange{{
			Zone: north, State: outlier.Ejected, Reason: outlier.Failure, Failures: 3, Outcomes: 3, HoldTime: time.Second,
		}}))
	})

	It("forgets what is more than five seconds old", func() {
		answers(0, north, outlier.Failure, outlier.Failure)
		answers(5100*millisecond, north, outlier.Failure, outlier.Success)
		Expect(detector.Admit(5100*millisecond, north)).To(BeTrue())
	})

	It("lets an endpoint prove itself by single flows, and trusts it after five good answers", func() {
		answers(0, north, repeated(outlier.Failure, 3)...)
		Expect(detector.Admit(999*millisecond, north)).To(BeFalse())
		Expect(detector.Admit(time.Second, north)).To(BeTrue())
		Expect(detector.Admit(1199*millisecond, north)).To(BeFalse(), "one trial at a time")
		Expect(detector.Report(1100*millisecond, north).HoldMilliseconds).To(BeEquivalentTo(100))
		answers(1200*millisecond, north, repeated(outlier.Success, 4)...)
		Expect(states()).To(Equal([]outlier.State{outlier.Ejected, outlier.Probation}))
		answers(1200*millisecond, north, outlier.Success)
		Expect(states()).To(Equal([]outlier.State{outlier.Healthy}))
		Expect(detector.Admit(1201*millisecond, north)).To(BeTrue())
		Expect(detector.Admit(1202*millisecond, north)).To(BeTrue())
		answers(1300*millisecond, north, outlier.Failure)
		Expect(detector.Admit(1300*millisecond, north)).To(BeTrue(), "what was before does not count any more")
	})

	It("leaves an endpoint out for twice as long with each trial that fails, eight seconds at the most", func() {
		now := time.Duration(0)
		answers(now, north, repeated(outlier.Failure, 3)...)
		for _, expected := range []time.Duration{1, 2, 4, 8, 8} {
			Expect(detector.Report(now, north).HoldTime()).To(Equal(expected * time.Second))
			now += expected * time.Second
			Expect(detector.Admit(now, north)).To(BeTrue())
			answers(now, north, outlier.Failure)
		}
	})

	It("spares an endpoint that has refused a request for as long as it asks, within bounds", func() {
		for _, wait := range []struct{ asked, spared time.Duration }{
			{0, 250 * millisecond}, {time.Second, time.Second}, {time.Minute, 2 * time.Second},
		} {
			detector.Reset()
			detector.RecordOutcome(0, north, outlier.Refusal, wait.asked)
			Expect(detector.Report(0, north).HoldTime()).To(Equal(wait.spared))
			Expect(detector.Admit(0, south)).To(BeTrue())
		}
	})

	It("leaves an endpoint out that takes nothing, for a second at the most, and trusts it as soon as it takes a flow", func() {
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

	It("leaves an endpoint out that does not answer two opening packets for 45 ms", func() {
		detector.RecordOpening(0)
		_, waits := detector.CheckDue()
		Expect(waits).To(BeFalse(), "one may be lost")
		detector.RecordOpening(10 * millisecond)
		due, waits := detector.CheckDue()
		Expect(waits).To(BeTrue())
		Expect(due).To(Equal(45 * millisecond))
		detector.CheckOpenings(44 * millisecond)
		Expect(detector.Admit(44*millisecond, north)).To(BeTrue())
		detector.CheckOpenings(due)
		Expect(detector.Admit(due, north)).To(BeFalse())
		trial := due + 300*millisecond
		Expect(detector.Admit(trial, north)).To(BeTrue())
		detector.RecordOpening(trial)
		detector.CheckOpenings(trial + 45*millisecond)
		Expect(detector.Report(trial+45*millisecond, north).HoldTime()).To(Equal(600*millisecond), "one is enough on trial")
	})

	It("does not take an endpoint for silent that has answered meanwhile", func() {
		detector.RecordOpening(0)
		detector.RecordPacket(millisecond, true)
		detector.RecordOpening(40 * millisecond)
		detector.CheckOpenings(50 * millisecond)
		Expect(detector.Admit(50*millisecond, north)).To(BeTrue())
	})

	It("leaves an endpoint out for as long as a request hangs, and longer", func() {
		for now := time.Duration(0); now < 3*time.Second; now += 100 * millisecond {
			detector.RecordHang(now)
			Expect(detector.Admit(now, north)).To(BeFalse())
		}
		Expect(detector.Admit(3800*millisecond, north)).To(BeFalse())
		Expect(detector.Admit(3900*millisecond, north)).To(BeTrue())
	})

	It("holds nothing against an endpoint that was started again", func() {
		answers(0, north, repeated(outlier.Failure, 3)...)
		detector.RecordReturn(0)
		detector.Reset()
		Expect(detector.Admit(0, north)).To(BeTrue())
	})

	It("ejects for no answer, whatever it says, if that is switched off", func() {
		detector = outlier.NewDetector(outlier.Config{Window: 10, BaseEjectionTime: time.Second, MaxEjectionTime: time.Second})
		answers(0, north, repeated(outlier.Failure, 20)...)
		answers(0, south, outlier.Refusal)
		Expect(detector.Admit(0, north)).To(BeTrue())
		detector.RecordHang(0)
		Expect(detector.Admit(time.Second, north)).To(BeTrue(), "a trial")
		answers(time.Second, north, outlier.Failure)
		Expect(detector.Admit(1200*millisecond, north)).To(BeTrue(), "the next trial")
	})

	It("tells no more zones apart than a fleet has, whatever balancers say", func() {
		for number := range 1000 {
			answers(0, string(rune('a'+number)), outlier.Success)
		}
		Expect(detector.Admit(0, "unknown")).To(BeTrue())
	})
})

var _ = Describe("Panel", func() {
	const ejected = true
	failing := outlier.Report{Outcomes: 10, Failures: 6, Reason: outlier.Failure, HoldMilliseconds: 1000}
	well := outlier.Report{Outcomes: 10}
	panelOf := func(wells, faileds int, report outlier.Report) *outlier.ServiceHealth {
		compared := &outlier.ServiceHealth{}
		for range wells {
			compared.Add(well, !ejected)
		}
		for range faileds {
			compared.Add(report, ejected)
		}
		return compared
	}

	It("honors ejections of up to half of a service's endpoints", func() {
		Expect(panelOf(2, 1, failing).ConfirmsEjection(failing)).To(BeTrue())
		Expect(panelOf(5, 5, failing).ConfirmsEjection(failing)).To(BeTrue())
		Expect(panelOf(4, 5, failing).ConfirmsEjection(failing)).To(BeFalse(), "the service is at fault")
		Expect(panelOf(0, 1, failing).ConfirmsEjection(failing)).To(BeFalse())
	})

	It("never gives flows to endpoints that are not there, and does not count them", func() {
		absent := outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 300}
		compared := panelOf(2, 1, failing)
		for range 20 {
			compared.Add(absent, ejected)
		}
		Expect(compared.ConfirmsEjection(absent)).To(BeTrue())
		Expect(compared.ConfirmsEjection(failing)).To(BeTrue())
	})

	It("ejects nobody for failures that all have", func() {
		compared := &outlier.ServiceHealth{}
		for range 6 {
			compared.Add(outlier.Report{Outcomes: 10, Failures: 2}, !ejected)
		}
		chance := outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000}
		compared.Add(chance, ejected)
		Expect(compared.ConfirmsEjection(chance)).To(BeFalse())
		Expect(compared.ConfirmsEjection(failing)).To(BeTrue())
		Expect(compared.ConfirmsEjection(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Hang, HoldMilliseconds: 1000})).To(BeTrue())
	})

	It("does not take reports that no detector makes", func() {
		Expect(outlier.Report{Outcomes: 3, Failures: 4}.Valid()).To(BeFalse())
		Expect(outlier.Report{Reason: 200}.Valid()).To(BeFalse())
	})
})
