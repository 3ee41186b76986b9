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

	BeforeEach(func() { detector = outlier.NewDetector(outlier.DefaultLimits()) })

	answers := func(at time.Duration, zone string, classes ...outlier.Class) {
		for _, class := range classes {
			detector.Answered(at, zone, class, 0)
		}
	}
	repeated := func(class outlier.Class, count int) []outlier.Class {
		classes := make([]outlier.Class, count)
		for index := range classes {
			classes[index] = class
		}
		return classes
	}
	states := func() []outlier.State {
		var found []outlier.State
		for _, change := range detector.Changes() {
			found = append(found, change.State)
		}
		return found
	}

	It("trusts an endpoint of which nothing is known, or whose answers are good", func() {
		Expect(detector.Admits(0, north)).To(BeTrue())
		answers(0, north, repeated(outlier.Success, 50)...)
		Expect(detector.Admits(0, north)).To(BeTrue())
		Expect(detector.Report(0, north)).To(Equal(outlier.Report{Outcomes: 10}))
		Expect(detector.Changes()).To(BeEmpty())
	})

	It("ejects an endpoint with three bad answers of ten, for clients of all zones if those of two saw them", func() {
		answers(0, north, repeated(outlier.Success, 20)...)
		answers(0, north, outlier.Failure, outlier.Failure)
		Expect(detector.Admits(0, north)).To(BeTrue(), "two may be chance")
		answers(0, south, outlier.Break)
		Expect(detector.Admits(0, north)).To(BeFalse())
		Expect(detector.Admits(0, south)).To(BeFalse())
		report := detector.Report(0, "elsewhere")
		Expect(report).To(Equal(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Break, Hold: 1000}))
		Expect(report.Valid()).To(BeTrue())
	})

	It("ejects an endpoint that fails for the clients of one zone for these alone", func() {
		answers(0, south, repeated(outlier.Success, 8)...)
		answers(0, north, repeated(outlier.Failure, 5)...)
		Expect(detector.Admits(0, north)).To(BeFalse())
		Expect(detector.Admits(0, south)).To(BeTrue())
		Expect(detector.Report(0, north).Hold).To(BeEquivalentTo(1000))
		Expect(detector.Report(0, south)).To(Equal(outlier.Report{Outcomes: 8}))
		Expect(detector.Changes()).To(Equal([]outlier.Change{{
			Zone: north, State: outlier.Ejected, Reason: outlier.Failure, Failures: 3, Outcomes: 3, Hold: time.Second,
		}}))
	})

	It("forgets what is more than five seconds old", func() {
		answers(0, north, outlier.Failure, outlier.Failure)
		answers(5100*millisecond, north, outlier.Failure, outlier.Success)
		Expect(detector.Admits(5100*millisecond, north)).To(BeTrue())
	})

	It("lets an endpoint prove itself by single flows, and trusts it after five good answers", func() {
		answers(0, north, repeated(outlier.Failure, 3)...)
		Expect(detector.Admits(999*millisecond, north)).To(BeFalse())
		Expect(detector.Admits(time.Second, north)).To(BeTrue())
		Expect(detector.Admits(1199*millisecond, north)).To(BeFalse(), "one trial at a time")
		Expect(detector.Report(1100*millisecond, north).Hold).To(BeEquivalentTo(100))
		answers(1200*millisecond, north, repeated(outlier.Success, 4)...)
		Expect(states()).To(Equal([]outlier.State{outlier.Ejected, outlier.Probation}))
		answers(1200*millisecond, north, outlier.Success)
		Expect(states()).To(Equal([]outlier.State{outlier.Healthy}))
		Expect(detector.Admits(1201*millisecond, north)).To(BeTrue())
		Expect(detector.Admits(1202*millisecond, north)).To(BeTrue())
		answers(1300*millisecond, north, outlier.Failure)
		Expect(detector.Admits(1300*millisecond, north)).To(BeTrue(), "what was before does not count any more")
	})

	It("leaves an endpoint out for twice as long with each trial that fails, eight seconds at the most", func() {
		now := time.Duration(0)
		answers(now, north, repeated(outlier.Failure, 3)...)
		for _, expected := range []time.Duration{1, 2, 4, 8, 8} {
			Expect(detector.Report(now, north).Held()).To(Equal(expected * time.Second))
			now += expected * time.Second
			Expect(detector.Admits(now, north)).To(BeTrue())
			answers(now, north, outlier.Failure)
		}
	})

	It("spares an endpoint that has refused a request for as long as it asks, within bounds", func() {
		for _, wait := range []struct{ asked, spared time.Duration }{
			{0, 250 * millisecond}, {time.Second, time.Second}, {time.Minute, 2 * time.Second},
		} {
			detector.Reset()
			detector.Answered(0, north, outlier.Refusal, wait.asked)
			Expect(detector.Report(0, north).Held()).To(Equal(wait.spared))
			Expect(detector.Admits(0, south)).To(BeTrue())
		}
	})

	It("leaves an endpoint out that takes nothing, for a second at the most, and trusts it as soon as it takes a flow", func() {
		now := time.Duration(0)
		for _, expected := range []time.Duration{300, 600, 1000, 1000} {
			Expect(detector.Admits(now, north)).To(BeTrue())
			detector.Returned(now)
			Expect(detector.Report(now, south).Held()).To(Equal(expected * millisecond))
			now += expected * millisecond
		}
		Expect(detector.Admits(now, north)).To(BeTrue())
		detector.Heard(now, false)
		Expect(detector.Admits(now, north)).To(BeFalse())
		detector.Heard(now, true)
		Expect(detector.Admits(now, north)).To(BeTrue())
	})

	It("leaves an endpoint out that does not answer two opening packets for 45 ms", func() {
		detector.Gave(0)
		_, waits := detector.Patience()
		Expect(waits).To(BeFalse(), "one may be lost")
		detector.Gave(10 * millisecond)
		due, waits := detector.Patience()
		Expect(waits).To(BeTrue())
		Expect(due).To(Equal(45 * millisecond))
		detector.Check(44 * millisecond)
		Expect(detector.Admits(44*millisecond, north)).To(BeTrue())
		detector.Check(due)
		Expect(detector.Admits(due, north)).To(BeFalse())
		trial := due + 300*millisecond
		Expect(detector.Admits(trial, north)).To(BeTrue())
		detector.Gave(trial)
		detector.Check(trial + 45*millisecond)
		Expect(detector.Report(trial+45*millisecond, north).Held()).To(Equal(600*millisecond), "one is enough on trial")
	})

	It("does not take an endpoint for silent that has answered meanwhile", func() {
		detector.Gave(0)
		detector.Heard(millisecond, true)
		detector.Gave(40 * millisecond)
		detector.Check(50 * millisecond)
		Expect(detector.Admits(50*millisecond, north)).To(BeTrue())
	})

	It("leaves an endpoint out for as long as a request hangs, and longer", func() {
		for now := time.Duration(0); now < 3*time.Second; now += 100 * millisecond {
			detector.Hung(now)
			Expect(detector.Admits(now, north)).To(BeFalse())
		}
		Expect(detector.Admits(3800*millisecond, north)).To(BeFalse())
		Expect(detector.Admits(3900*millisecond, north)).To(BeTrue())
	})

	It("holds nothing against an endpoint that was started again", func() {
		answers(0, north, repeated(outlier.Failure, 3)...)
		detector.Returned(0)
		detector.Reset()
		Expect(detector.Admits(0, north)).To(BeTrue())
	})

	It("ejects for no answer, whatever it says, if that is switched off", func() {
		detector = outlier.NewDetector(outlier.Limits{Window: 10, FirstEjection: time.Second, LongestEjection: time.Second})
		answers(0, north, repeated(outlier.Failure, 20)...)
		answers(0, south, outlier.Refusal)
		Expect(detector.Admits(0, north)).To(BeTrue())
		detector.Hung(0)
		Expect(detector.Admits(time.Second, north)).To(BeTrue(), "a trial")
		answers(time.Second, north, outlier.Failure)
		Expect(detector.Admits(1200*millisecond, north)).To(BeTrue(), "the next trial")
	})

	It("tells no more zones apart than a fleet has, whatever balancers say", func() {
		for number := range 1000 {
			answers(0, string(rune('a'+number)), outlier.Success)
		}
		Expect(detector.Admits(0, "unknown")).To(BeTrue())
	})
})

var _ = Describe("Panel", func() {
	const ejected = true
	failing := outlier.Report{Outcomes: 10, Failures: 6, Reason: outlier.Failure, Hold: 1000}
	well := outlier.Report{Outcomes: 10}
	panelOf := func(wells, faileds int, report outlier.Report) *outlier.Panel {
		compared := &outlier.Panel{}
		for range wells {
			compared.Add(well, !ejected)
		}
		for range faileds {
			compared.Add(report, ejected)
		}
		return compared
	}

	It("honors ejections of up to half of a service's endpoints", func() {
		Expect(panelOf(2, 1, failing).Honors(failing)).To(BeTrue())
		Expect(panelOf(5, 5, failing).Honors(failing)).To(BeTrue())
		Expect(panelOf(4, 5, failing).Honors(failing)).To(BeFalse(), "the service is at fault")
		Expect(panelOf(0, 1, failing).Honors(failing)).To(BeFalse())
	})

	It("never gives flows to endpoints that are not there, and does not count them", func() {
		absent := outlier.Report{Reason: outlier.Return, Hold: 300}
		compared := panelOf(2, 1, failing)
		for range 20 {
			compared.Add(absent, ejected)
		}
		Expect(compared.Honors(absent)).To(BeTrue())
		Expect(compared.Honors(failing)).To(BeTrue())
	})

	It("ejects nobody for failures that all have", func() {
		compared := &outlier.Panel{}
		for range 6 {
			compared.Add(outlier.Report{Outcomes: 10, Failures: 2}, !ejected)
		}
		chance := outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Failure, Hold: 1000}
		compared.Add(chance, ejected)
		Expect(compared.Honors(chance)).To(BeFalse())
		Expect(compared.Honors(failing)).To(BeTrue())
		Expect(compared.Honors(outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Hang, Hold: 1000})).To(BeTrue())
	})

	It("does not take reports that no detector makes", func() {
		Expect(outlier.Report{Outcomes: 3, Failures: 4}.Valid()).To(BeFalse())
		Expect(outlier.Report{Reason: 200}.Valid()).To(BeFalse())
	})
})
