package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Registry with reports of other daemons", func() {
	var registry *Registry
	const later = 10 * time.Second

	BeforeEach(func() {
		registry = NewRegistry()
		registry.Tick(0)
		registry.Publish(0, testTable())
	})

	applyRemote := func(condition AgentCondition) {
		registry.ApplyRemote(Observation{Agent: secondAgent, Start: 1, Condition: condition})
	}

	It("reports agents without heartbeats as unavailable only once the reports of other daemons are complete", func() {
		registry.AwaitRemote()
		tickTo(registry, 0, later)
		Expect(registry.Unavailable(later)).To(BeEmpty())
		applyRemote(AgentAlive)
		registry.RemoteReady()
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{1}))
	})

	It("includes the conditions that other daemons report in its grants", func() {
		tickTo(registry, 0, later)
		down := func() []table.BackendID {
			grant, _ := sendHeartbeat(registry, later, firstAgent)
			return grant.Down
		}
		Expect(down()).To(Equal([]table.BackendID{2}))
		applyRemote(AgentAlive)
		Expect(down()).To(BeEmpty())
		Expect(registry.Unavailable(later)).To(BeEmpty())
		applyRemote(AgentLeaving)
		grant, _ := sendHeartbeat(registry, later, firstAgent)
		Expect(grant.Leaving).To(Equal([]table.BackendID{2}))
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
		applyRemote(AgentDown)
		Expect(down()).To(Equal([]table.BackendID{2}))
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
	})

	It("prefers its own heartbeats to reports, unless a report says that the same process is leaving", func() {
		tickTo(registry, 0, later)
		applyRemote(AgentDown)
		sendHeartbeat(registry, later, firstAgent)
		sendHeartbeat(registry, later, secondAgent)
		Expect(registry.Unavailable(later)).To(BeEmpty())
		applyRemote(AgentLeaving)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
		registry.ApplyRemote(Observation{Agent: secondAgent, Start: 99, Condition: AgentLeaving})
		Expect(registry.Unavailable(later)).To(BeEmpty())
		registry.Receive(later, Heartbeat{Agent: secondAgent, Start: 1, Version: 3, Leaving: true})
		applyRemote(AgentAlive)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
	})

	It("uses the reports of other daemons once heartbeats cease", func() {
		sendHeartbeat(registry, 0, firstAgent)
		sendHeartbeat(registry, 0, secondAgent)
		tickTo(registry, 0, later)
		applyRemote(AgentAlive)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{1}))
	})

	It("returns observations of the agents whose heartbeats it receives", func() {
		Expect(registry.Observations(0)).To(BeEmpty())
		sendHeartbeat(registry, 0, secondAgent)
		registry.Receive(0, Heartbeat{Agent: firstAgent, Start: 5, Leaving: true})
		Expect(registry.Observations(0)).To(Equal([]Observation{
			{Agent: firstAgent, Start: 5, Condition: AgentLeaving}, {Agent: secondAgent, Start: 1, Condition: AgentAlive}}))
		tickTo(registry, 0, later)
		Expect(registry.Observations(later)).To(Equal([]Observation{
			{Agent: firstAgent, Start: 5}, {Agent: secondAgent, Start: 1}}))

		By("returning no observations after a pause, until the warm-up has ended")
		sendHeartbeat(registry, later, secondAgent)
		registry.Tick(later + 5*time.Second)
		Expect(registry.Observations(later + 5*time.Second)).To(BeEmpty())
	})
})
