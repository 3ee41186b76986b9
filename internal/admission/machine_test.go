package admission

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/table"
)

var waitsBetweenSteps = []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}

const (
	settleTime = 10 * time.Second
	viewSkew   = 300 * time.Millisecond
	shortDelay = 2 * time.Millisecond
)

// settledSimulation returns a simulation whose machines have held the view for
// settleTime.
func settledSimulation(rows []table.Backend, network faults) (*simulation, View) {
	view := View{Version: 1, Service: testService, Rows: rows}
	created := newSimulation(1, rows, network)
	created.installView(view, 0)
	created.run(settleTime)
	return created, view
}

func withRows(view View, change func(rows []table.Backend)) View {
	changed := view
	changed.Version++
	changed.Rows = append([]table.Backend(nil), view.Rows...)
	change(changed.Rows)
	return changed
}

func openFlowsByRow(c *simulation) []uint32 {
	var open []uint32
	for _, id := range c.rowIDs() {
		open = append(open, c.machines[id].OpenFlows())
	}
	return open
}

func total(counts []uint32) uint32 {
	var sum uint32
	for _, count := range counts {
		sum += count
	}
	return sum
}

var _ = Describe("Machine", func() {
	quiet := faults{delay: shortDelay}

	It("opens every flow once and balances flows across rows of equal weight", func() {
		c, view := settledSimulation(testRows(7), quiet)
		for port := range uint16(700) {
			c.sendPacket(view, 1000+port, 5, true)
			c.run(c.now + 5*time.Millisecond)
		}
		c.run(c.now + time.Second)
		Expect(c.openedTwice()).To(BeEmpty())
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(700)))
		for _, open := range openFlowsByRow(c) {
			Expect(open).To(BeNumerically("<=", 105))
		}
	})

	It("opens a flow for which two rows have long remembered each other as the owner", func() {
		const port, sequence = 1000, 5
		c, view := settledSimulation(testRows(4), quiet)
		primary := c.primaryOf(view, port)
		var others []table.BackendID
		for _, id := range c.rowIDs() {
			if id != primary {
				others = append(others, id)
			}
		}
		for index := range 2 {
			machine := c.machines[others[index]]
			machine.flows[FlowKeyOf(flowSource(port))] = flowRecord{
				state: flowRemote, sequence: sequence, owner: others[1-index],
				expires: c.now + machine.config.RemoteRetention - 10*time.Second,
			}
		}
		c.installView(withRows(view, func(rows []table.Backend) { rows[0].ConnectionLimit = 500 }), 0)
		for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			c.sendPacket(view, port, sequence, true)
			c.run(c.now + wait)
		}
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(1)))
		Expect(c.openedTwice()).To(BeEmpty())
	})

	It("keeps flows on their row after its drain moves their slots, and locates them", func() {
		c, view := settledSimulation(testRows(5), quiet)
		for port := range uint16(100) {
			c.sendPacket(view, 1000+port, 5, true)
		}
		c.run(c.now + time.Second)
		before := openFlowsByRow(c)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		c.installView(drained, viewSkew)
		c.run(c.now + settleTime)
		delivered := c.delivered
		for port := range uint16(100) {
			c.sendPacket(drained, 1000+port, 6, false)
		}
		c.run(c.now + time.Second)
		Expect(c.delivered - delivered).To(Equal(100))
		Expect(openFlowsByRow(c)).To(Equal(before))
		Expect(c.resets).To(BeZero())
	})

	It("locates flows after more table changes than the view history holds", func() {
		c, view := settledSimulation(testRows(6), quiet)
		for port := range uint16(60) {
			c.sendPacket(view, 1000+port, 5, true)
		}
		c.run(c.now + time.Second)
		for change := range 2 * maximumPastViews {
			view = withRows(view, func(rows []table.Backend) {
				rows[change%len(rows)].Drain = !rows[change%len(rows)].Drain
			})
			c.installView(view, viewSkew)
			c.run(c.now + time.Second)
		}
		delivered := c.delivered
		for port := range uint16(60) {
			c.sendPacket(view, 1000+port, 6, false)
		}
		c.run(c.now + time.Second)
		Expect(c.delivered - delivered).To(Equal(60))
	})

	It("refuses a flow and its retransmission when every row is at its connection limit", func() {
		rows := testRows(3)
		for index := range rows {
			rows[index].ConnectionLimit = 10
		}
		c, view := settledSimulation(rows, quiet)
		for port := range uint16(40) {
			c.sendPacket(view, 1000+port, 5, true)
			c.run(c.now + 50*time.Millisecond)
		}
		Expect(openFlowsByRow(c)).To(Equal([]uint32{10, 10, 10}))
		Expect(c.resets).To(Equal(10))
		for port := range uint16(40) {
			c.sendPacket(view, 1000+port, 5, true)
			c.run(c.now + 50*time.Millisecond)
		}
		Expect(openFlowsByRow(c)).To(Equal([]uint32{10, 10, 10}))
		Expect(c.resets).To(Equal(20))
	})

	It("drops a flow instead of refusing it while a row that may have capacity does not answer", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		c, view := settledSimulation(rows, quiet)
		c.run(c.now + time.Minute)
		primary := c.primaryOf(view, 1000)
		c.machines[primary].Leave()
		for _, id := range c.rowIDs() {
			if id != primary {
				c.pause(id)
			}
		}
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(c.resets).To(BeZero())
		Expect(c.drops[DropNoAnswer]).To(Equal(1))
		for _, id := range c.rowIDs() {
			if id != primary {
				c.resume(id)
			}
		}
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(1)))
	})

	It("resets an unknown flow only when every row has denied it", func() {
		c, view := settledSimulation(testRows(3), quiet)
		c.sendPacket(view, 1000, 5, false)
		c.run(c.now + time.Second)
		Expect(c.resets).To(Equal(1))
		for id := range c.machines {
			if id != c.primaryOf(view, 1001) {
				c.pause(id)
				break
			}
		}
		c.sendPacket(view, 1001, 5, false)
		c.run(c.now + time.Second)
		Expect(c.resets).To(Equal(1))
		Expect(c.drops[DropUnknownFlow]).To(Equal(1))
	})

	It("opens a new flow that reuses the port of an ended one, but does not reopen the ended one", func() {
		c, view := settledSimulation(testRows(3), quiet)
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		key := FlowKeyOf(flowSource(1000))
		for _, machine := range c.machines {
			machine.FlowClosed(c.now, key, 5)
		}
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(total(openFlowsByRow(c))).To(BeZero())
		c.sendPacket(view, 1000, 99, true)
		c.run(c.now + time.Second)
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(1)))
	})

	It("keeps an open flow when a forged opening packet arrives", func() {
		c, view := settledSimulation(testRows(3), quiet)
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		before := openFlowsByRow(c)
		c.sendPacket(view, 1000, 4242, true)
		c.run(c.now + time.Second)
		c.sendPacket(view, 1000, 6, false)
		c.run(c.now + time.Second)
		Expect(openFlowsByRow(c)).To(Equal(before))
		Expect(c.resets).To(BeZero())
	})

	It("is handed no flow while it would drop handed-over flows after an interrupted lease", func() {
		c, view := settledSimulation(testRows(2), quiet)
		paused := c.rowIDs()[0]
		c.pause(paused)
		c.run(c.now + time.Minute)
		c.resume(paused)
		c.run(c.now + 2*TickInterval())
		for port := range uint16(60) {
			c.sendPacket(view, 1000+port, 5, true)
		}
		c.run(c.now + 100*time.Millisecond)
		Expect(c.drops[DropNoLease]).To(BeZero())
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(60)))
	})

	DescribeTable("opens no new flow on a row that no longer accepts flows, even if balancers use an old view",
		func(leave func(c *simulation, view View) View) {
			c, view := settledSimulation(testRows(4), quiet)
			for port := range uint16(40) {
				c.sendPacket(view, 1000+port, 5, true)
			}
			c.run(c.now + time.Second)
			before := openFlowsByRow(c)
			c.installView(leave(c, view), 0)
			c.run(c.now + shortDelay)
			for port := range uint16(200) {
				c.sendPacket(view, 2000+port, 5, true)
			}
			c.run(c.now + time.Second)
			Expect(openFlowsByRow(c)[0]).To(Equal(before[0]))
			Expect(total(openFlowsByRow(c))).To(Equal(uint32(240)))
			Expect(c.resets).To(BeZero())
		},
		Entry("drained", func(c *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		}),
		Entry("weight 0", func(c *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Weight = 0 })
		}),
		Entry("removed", func(c *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Removed = true })
		}),
		Entry("planned stop that only its own agent knows about", func(c *simulation, view View) View {
			c.machines[1].Leave()
			return view
		}),
	)

	It("opens new flows again after its drain is undone", func() {
		c, view := settledSimulation(testRows(2), quiet)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		c.installView(drained, 0)
		c.run(c.now + time.Second)
		undone := withRows(drained, func(rows []table.Backend) { rows[0].Drain = false })
		c.installView(undone, 0)
		c.run(c.now + time.Second)
		for port := range uint16(100) {
			c.sendPacket(drained, 1000+port, 5, true)
			c.run(c.now + 5*time.Millisecond)
		}
		Expect(openFlowsByRow(c)[0]).To(BeNumerically(">=", 45))
	})

	It("reopens a UDP flow whose owner was restarted", func() {
		c, view := settledSimulation(testRows(3), quiet)
		c.protocol = table.ProtocolUDP
		for port := range uint16(60) {
			c.sendPacket(view, 1000+port, 0, false)
		}
		c.run(c.now + time.Second)
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(60)))
		restarted := c.rowIDs()[0]
		c.machines[restarted] = New(DefaultConfig(restarted))
		c.execute(restarted, c.machines[restarted].InstallView(c.now, view))
		c.run(c.now + settleTime)
		for range 3 {
			for port := range uint16(60) {
				c.sendPacket(view, 1000+port, 0, false)
			}
			c.run(c.now + time.Second)
		}
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(60)))
	})

	It("waits for a newer table when a reply names an unknown row", func() {
		rows := testRows(3)
		c, view := settledSimulation(rows[:2], quiet)
		larger := withRows(View{Version: view.Version, Service: testService, Rows: rows}, func([]table.Backend) {})
		for _, row := range rows {
			if c.machines[row.ID] == nil {
				c.machines[row.ID] = New(DefaultConfig(row.ID))
				c.schedule(&simulatedEvent{at: c.now, row: row.ID, tick: true})
			}
		}
		behind := c.rowIDs()[0]
		for _, id := range c.rowIDs()[1:] {
			held := larger
			c.schedule(&simulatedEvent{at: c.now, row: id, view: &held})
		}
		c.run(c.now + 3*time.Second)
		port := uint16(1000)
		for c.primaryOf(view, port) != behind || c.primaryOf(larger, port) != rows[2].ID {
			port++
		}
		c.sendPacket(larger, port, 5, true)
		c.run(c.now + shortDelay/2)
		c.sendPacket(view, port, 5, true)
		c.run(c.now + 100*time.Millisecond)
		held := larger
		c.schedule(&simulatedEvent{at: c.now, row: behind, view: &held})
		c.run(c.now + 100*time.Millisecond)
		Expect(c.openedTwice()).To(BeEmpty())
		Expect(total(openFlowsByRow(c))).To(Equal(uint32(1)))
		Expect(c.machines[behind].UndecidedFlows()).To(BeZero())
	})

	It("decides again about a UDP flow that was refused", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		c, view := settledSimulation(rows, quiet)
		c.protocol = table.ProtocolUDP
		for port := range uint16(3) {
			c.sendPacket(view, 1000+port, 0, false)
			c.run(c.now + time.Second)
		}
		Expect(openFlowsByRow(c)).To(Equal([]uint32{1, 1}))
		for _, machine := range c.machines {
			machine.ForgetFlow(FlowKeyOf(flowSource(1000)))
		}
		c.sendPacket(view, 1002, 0, false)
		c.run(c.now + time.Second)
		Expect(openFlowsByRow(c)).To(Equal([]uint32{1, 1}))
	})

	It("repeats queries to a row that does not answer at increasing intervals", func() {
		c, view := settledSimulation(testRows(2), quiet)
		changed := withRows(view, func(rows []table.Backend) { rows[1].Weight = 2 })
		c.installView(changed, 0)
		c.run(c.now + time.Millisecond)
		asking := c.primaryOf(changed, 1000)
		for _, id := range c.rowIDs() {
			if id != asking {
				c.pause(id)
			}
		}
		c.queries = 0
		c.sendPacket(changed, 1000, 5, true)
		c.run(c.now + 2*time.Second)
		Expect(c.queries).To(BeNumerically("<=", 14))
	})

	It("opens no flow after its lease has ended", func() {
		rows := testRows(2)
		c, view := settledSimulation(rows, quiet)
		owner := c.primaryOf(view, 1000)
		c.pause(owner)
		c.run(c.now + time.Minute)
		c.sendPacket(view, 1000, 5, true)
		c.run(c.now + time.Second)
		c.paused[owner] = false
		for _, waiting := range c.held[owner] {
			if waiting.packet != nil {
				c.execute(owner, c.machines[owner].HandlePacket(c.now, *waiting.packet))
			}
		}
		Expect(c.machines[owner].OpenFlows()).To(BeZero())
		Expect(c.drops[DropNoLease]).To(Equal(1))
	})
})

// TestSingleOwner runs random schedules of packets, table changes, pauses and
// retransmissions over a faulty network. No row may open a flow whose caller is
// already connected to another row, and no two rows that can both answer may open
// the same flow.
func TestSingleOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := runRandomSchedule(t, func(*Machine) {})
		if len(c.violations) > 0 {
			t.Fatalf("flows opened on two rows: %v", c.violations)
		}
	})
}

// TestSingleOwnerDetectsSkippedQueries verifies the check of TestSingleOwner with an
// injected fault: after a change of the view, rows open flows without querying the
// rows that may have opened them before. The check must report violations.
func TestSingleOwnerDetectsSkippedQueries(t *testing.T) {
	caught := 0
	for seed := range 100 {
		generator := rapid.Custom(func(t *rapid.T) int {
			return len(runRandomSchedule(t, skipQueriesAfterViewChange).violations)
		})
		caught += generator.Example(seed)
	}
	if caught == 0 {
		t.Fatal("no schedule out of 100 detected the injected fault")
	}
}

// skipQueriesAfterViewChange makes a machine believe that its view and its lease
// are an hour old, so that it does not query possible earlier openers.
func skipQueriesAfterViewChange(machine *Machine) {
	machine.history.changedAt = -time.Hour
	machine.leaseResumedAt = -time.Hour
}

// runRandomSchedule runs a random schedule. It calls injectFault with a machine
// after each event that the machine has handled.
func runRandomSchedule(t *rapid.T, injectFault func(*Machine)) *simulation {
	rows := testRows(rapid.IntRange(2, 5).Draw(t, "rows"))
	network := faults{
		loss:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"),
		duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
		delay:     rapid.SampledFrom([]time.Duration{shortDelay, 30 * time.Millisecond}).Draw(t, "delay"),
	}
	view := View{Version: 1, Service: testService, Rows: rows}
	views := []View{view}
	c := newSimulation(rapid.Uint64().Draw(t, "seed"), rows, network)
	c.injectFault = injectFault
	c.installView(view, 0)
	c.run(settleTime)
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		randomStep(t, c, &views)
		c.run(c.now + rapid.SampledFrom(waitsBetweenSteps).Draw(t, "wait"))
	}
	for _, id := range c.rowIDs() {
		if c.paused[id] {
			c.resume(id)
		}
	}
	c.run(c.now + settleTime)
	return c
}

func randomStep(t *rapid.T, c *simulation, views *[]View) {
	latest := (*views)[len(*views)-1]
	row := rapid.IntRange(0, len(latest.Rows)-1).Draw(t, "row")
	id := latest.Rows[row].ID
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		changed := withRows(latest, func(rows []table.Backend) { rows[row].Drain = !rows[row].Drain })
		*views = append(*views, changed)
		c.installView(changed, time.Second)
	case 1:
		if c.paused[id] {
			c.resume(id)
		} else {
			c.pause(id)
		}
	default:
		port := uint16(rapid.IntRange(1000, 1030).Draw(t, "port"))
		if rapid.IntRange(0, 1).Draw(t, "reuse") == 0 {
			c.lastSequences[port]++
		}
		_, established := c.established[flowID{FlowKeyOf(flowSource(port)), c.lastSequences[port]}]
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		for range copies {
			// A balancer may use any recent view.
			oldest := max(0, len(*views)-3)
			used := (*views)[rapid.IntRange(oldest, len(*views)-1).Draw(t, "view")]
			if !established {
				c.sendPacket(used, port, c.lastSequences[port], true)
			}
		}
	}
}
