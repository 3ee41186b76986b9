package experiment_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/experiment"
)

func shapeByName(name string) experiment.Shape {
	shape, err := experiment.ShapeByName(name)
	Expect(err).NotTo(HaveOccurred())
	return shape
}

func experimentByName(name string) experiment.Experiment {
	found, err := experiment.ExperimentByName(name)
	Expect(err).NotTo(HaveOccurred())
	return found
}

var _ = Describe("Schedule", func() {
	const duration = 10 * time.Minute

	It("returns the same events for the same seed and others for another", func() {
		shape, churn := shapeByName("casablanca"), experimentByName("churn")
		Expect(experiment.Schedule(shape, churn, duration, 1)).To(Equal(experiment.Schedule(shape, churn, duration, 1)))
		Expect(experiment.Schedule(shape, churn, duration, 1)).NotTo(Equal(experiment.Schedule(shape, churn, duration, 2)))
	})

	It("is empty for an experiment without events", func() {
		Expect(experiment.Schedule(shapeByName("kolkata"), experimentByName("steady"), duration, 1)).To(BeEmpty())
	})

	DescribeTable("keeps two balancers available and disturbs no member twice at a time, for any seed",
		func(shapeName, experimentName string) {
			shape, tested := shapeByName(shapeName), experimentByName(experimentName)
			for seed := range uint64(20) {
				events := experiment.Schedule(shape, tested, duration, seed)
				Expect(events).NotTo(BeEmpty())
				Expect(slices.IsSortedFunc(events, func(a, b experiment.Event) int { return int(a.At - b.At) })).To(BeTrue())
				checkMembers(shape, events)
			}
		},
		Entry("churn in Casablanca", "casablanca", "churn"),
		Entry("churn in Kolkata", "kolkata", "churn"),
		Entry("balancers in Casablanca", "casablanca", "balancers"),
		Entry("stalls in Casablanca", "casablanca", "stalls"),
		Entry("planned changes in Kolkata", "kolkata", "planned"),
	)

	It("uses every kind of event of an experiment in a long run", func() {
		churn := experimentByName("churn")
		events := experiment.Schedule(shapeByName("casablanca"), churn, duration, 1)
		for _, kind := range churn.Kinds {
			Expect(slices.ContainsFunc(events, func(e experiment.Event) bool { return e.Kind == kind })).To(BeTrue(), string(kind))
		}
	})
})

// checkMembers replays a schedule. It expects that two balancers stay available and that no member
// is disturbed while it is not live.
func checkMembers(shape experiment.Shape, events []experiment.Event) {
	balancers := shape.Balancers
	disturbed := make(map[string]bool)
	for _, event := range events {
		switch event.Kind {
		case experiment.EventBalancerAdd:
			balancers++
		case experiment.EventBalancerRemove, experiment.EventBalancerKill, experiment.EventBalancerPause:
			balancers--
			expectChange(disturbed, event.Target, true)
		case experiment.EventBalancerStart, experiment.EventBalancerResume:
			balancers++
			expectChange(disturbed, event.Target, false)
		case experiment.EventAgentStop, experiment.EventAgentKill, experiment.EventAgentPause,
			experiment.EventEndpointDrain, experiment.EventPlatformDown, experiment.EventPlatformStale:
			expectChange(disturbed, event.Target, true)
		case experiment.EventAgentStart, experiment.EventAgentResume,
			experiment.EventEndpointUndrain, experiment.EventPlatformRecover:
			expectChange(disturbed, event.Target, false)
		}
		Expect(balancers).To(BeNumerically(">=", 2))
	}
	Expect(disturbed).NotTo(ContainElement(true))
}

func expectChange(disturbed map[string]bool, target string, to bool) {
	Expect(disturbed[target]).NotTo(Equal(to), target)
	disturbed[target] = to
}
