package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("a registry among others", func() {
	var registry *Registry
	const later = 10 * time.Second

	BeforeEach(func() {
		registry = NewRegistry()
		registry.Tick(0)
		registry.Publish(0, testTable())
	})

	said := func(condition AgentCondition) {
		registry.ApplyRemote(Observation{Agent: secondAgent, Start: 1, Condition: condition})
	}

	It("takes no agent for down of which others may know", func() {
		registry.AwaitRemote()
		tickTo(registry, 0, later)
		Expect(registry.Unavailable(later)).To(BeEmpty())
		said(AgentAlive)
		registry.RemoteReady()
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{1}))
	})

	It("tells agents the conditions that others say", func() {
		tickTo(registry, 0, later)
		down := func() []table.BackendID {
			grant, _ := heard(registry, later, firstAgent)
			return grant.Down
		}
		Expect(down()).To(Equal([]table.BackendID{2}))
		said(AgentAlive)
		Expect(down()).To(BeEmpty())
		Expect(registry.Unavailable(later)).To(BeEmpty())
		said(AgentLeaving)
		grant, _ := heard(registry, later, firstAgent)
		Expect(grant.Leaving).To(Equal([]table.BackendID{2}))
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
		said(AgentDown)
		Expect(down()).To(Equal([]table.BackendID{2}))
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
	})

	It("believes heartbeats rather than others, but for a stop of the same process", func() {
		tickTo(registry, 0, later)
		said(AgentDown)
		heard(registry, later, firstAgent)
		heard(registry, later, secondAgent)
		Expect(registry.Unavailable(later)).To(BeEmpty())
		said(AgentLeaving)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
		registry.ApplyRemote(Observation{Agent: secondAgent, Start: 99, Condition: AgentLeaving})
		Expect(registry.Unavailable(later)).To(BeEmpty())
		registry.Receive(later, Heartbeat{Agent: secondAgent, Start: 1, Version: 3, Leaving: true})
		said(AgentAlive)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{2}))
	})

	It("believes others once heartbeats stay away", func() {
		heard(registry, 0, firstAgent)
		heard(registry, 0, secondAgent)
		tickTo(registry, 0, later)
		said(AgentAlive)
		Expect(registry.Unavailable(later)).To(Equal([]table.BackendID{1}))
	})

	It("tells others what it hears", func() {
		Expect(registry.Observations(0)).To(BeEmpty())
		heard(registry, 0, secondAgent)
		registry.Receive(0, Heartbeat{Agent: firstAgent, Start: 5, Leaving: true})
		Expect(registry.Observations(0)).To(Equal([]Observation{
			{Agent: firstAgent, Start: 5, Condition: AgentLeaving}, {Agent: secondAgent, Start: 1, Condition: AgentAlive}}))
		tickTo(registry, 0, later)
		Expect(registry.Observations(later)).To(Equal([]Observation{
			{Agent: firstAgent, Start: 5}, {Agent: secondAgent, Start: 1}}))

		By("saying nothing after a pause, until it has listened")
		heard(registry, later, secondAgent)
		registry.Tick(later + 5*time.Second)
		Expect(registry.Observations(later + 5*time.Second)).To(BeEmpty())
	})
})
