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

func openFlowsByRow(s *simulation) []uint32 {
	var open []uint32
	for _, id := range s.rowIDs() {
		open = append(open, s.machines[id].OpenFlows())
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
		s, view := settledSimulation(testRows(7), quiet)
		for port := range uint16(700) {
			s.sendPacket(view, 1000+port, 5, true)
			s.run(s.now + 5*time.Millisecond)
		}
		s.run(s.now + time.Second)
		Expect(s.openedTwice()).To(BeEmpty())
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(700)))
		for _, open := range openFlowsByRow(s) {
			Expect(open).To(BeNumerically("<=", 105))
		}
	})

	It("opens a flow for which two rows have long remembered each other as the owner", func() {
		const port, sequence = 1000, 5
		s, view := settledSimulation(testRows(4), quiet)
		primary := s.primaryOf(view, port)
		var others []table.BackendID
		for _, id := range s.rowIDs() {
			if id != primary {
				others = append(others, id)
			}
		}
		for index := range 2 {
			machine := s.machines[others[index]]
			machine.flows[FlowKeyOf(flowSource(port))] = flowRecord{
				state: flowRemote, sequence: sequence, owner: others[1-index],
				expires: s.now + machine.config.RemoteRetention - 10*time.Second,
			}
		}
		s.installView(withRows(view, func(rows []table.Backend) { rows[0].ConnectionLimit = 500 }), 0)
		for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			s.sendPacket(view, port, sequence, true)
			s.run(s.now + wait)
		}
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(1)))
		Expect(s.openedTwice()).To(BeEmpty())
	})

	It("keeps flows on a row whose drain moves their slots, and locates them", func() {
		s, view := settledSimulation(testRows(5), quiet)
		for port := range uint16(100) {
			s.sendPacket(view, 1000+port, 5, true)
		}
		s.run(s.now + time.Second)
		before := openFlowsByRow(s)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		s.installView(drained, viewSkew)
		s.run(s.now + settleTime)
		delivered := s.delivered
		for port := range uint16(100) {
			s.sendPacket(drained, 1000+port, 6, false)
		}
		s.run(s.now + time.Second)
		Expect(s.delivered - delivered).To(Equal(100))
		Expect(openFlowsByRow(s)).To(Equal(before))
		Expect(s.resets).To(BeZero())
	})

	It("locates flows after more table changes than the view history holds", func() {
		s, view := settledSimulation(testRows(6), quiet)
		for port := range uint16(60) {
			s.sendPacket(view, 1000+port, 5, true)
		}
		s.run(s.now + time.Second)
		for change := range 2 * maxPastViews {
			view = withRows(view, func(rows []table.Backend) {
				rows[change%len(rows)].Drain = !rows[change%len(rows)].Drain
			})
			s.installView(view, viewSkew)
			s.run(s.now + time.Second)
		}
		delivered := s.delivered
		for port := range uint16(60) {
			s.sendPacket(view, 1000+port, 6, false)
		}
		s.run(s.now + time.Second)
		Expect(s.delivered - delivered).To(Equal(60))
	})

	It("refuses a flow and its retransmission when every row is at its connection limit", func() {
		rows := testRows(3)
		for index := range rows {
			rows[index].ConnectionLimit = 10
		}
		s, view := settledSimulation(rows, quiet)
		for port := range uint16(40) {
			s.sendPacket(view, 1000+port, 5, true)
			s.run(s.now + 50*time.Millisecond)
		}
		Expect(openFlowsByRow(s)).To(Equal([]uint32{10, 10, 10}))
		Expect(s.resets).To(Equal(10))
		for port := range uint16(40) {
			s.sendPacket(view, 1000+port, 5, true)
			s.run(s.now + 50*time.Millisecond)
		}
		Expect(openFlowsByRow(s)).To(Equal([]uint32{10, 10, 10}))
		Expect(s.resets).To(Equal(20))
	})

	It("drops a flow instead of refusing it while a row that may have capacity does not answer", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		s, view := settledSimulation(rows, quiet)
		s.run(s.now + time.Minute)
		primary := s.primaryOf(view, 1000)
		s.machines[primary].Leave()
		for _, id := range s.rowIDs() {
			if id != primary {
				s.pause(id)
			}
		}
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		Expect(s.resets).To(BeZero())
		Expect(s.drops[DropNoAnswer]).To(Equal(1))
		for _, id := range s.rowIDs() {
			if id != primary {
				s.resume(id)
			}
		}
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(1)))
	})

	It("resets an unknown flow only when every row has denied it", func() {
		s, view := settledSimulation(testRows(3), quiet)
		s.sendPacket(view, 1000, 5, false)
		s.run(s.now + time.Second)
		Expect(s.resets).To(Equal(1))
		for id := range s.machines {
			if id != s.primaryOf(view, 1001) {
				s.pause(id)
				break
			}
		}
		s.sendPacket(view, 1001, 5, false)
		s.run(s.now + time.Second)
		Expect(s.resets).To(Equal(1))
		Expect(s.drops[DropUnknownFlow]).To(Equal(1))
	})

	It("opens a new flow that reuses the port of an ended one, but does not reopen the ended one", func() {
		s, view := settledSimulation(testRows(3), quiet)
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		key := FlowKeyOf(flowSource(1000))
		for _, machine := range s.machines {
			machine.FlowClosed(s.now, key, 5)
		}
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		Expect(total(openFlowsByRow(s))).To(BeZero())
		s.sendPacket(view, 1000, 99, true)
		s.run(s.now + time.Second)
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(1)))
	})

	It("keeps an open flow when a forged opening packet arrives", func() {
		s, view := settledSimulation(testRows(3), quiet)
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		before := openFlowsByRow(s)
		s.sendPacket(view, 1000, 4242, true)
		s.run(s.now + time.Second)
		s.sendPacket(view, 1000, 6, false)
		s.run(s.now + time.Second)
		Expect(openFlowsByRow(s)).To(Equal(before))
		Expect(s.resets).To(BeZero())
	})

	It("is handed no flow while it would drop handed-over flows after an interrupted lease", func() {
		s, view := settledSimulation(testRows(2), quiet)
		paused := s.rowIDs()[0]
		s.pause(paused)
		s.run(s.now + time.Minute)
		s.resume(paused)
		s.run(s.now + 2*TickInterval())
		for port := range uint16(60) {
			s.sendPacket(view, 1000+port, 5, true)
		}
		s.run(s.now + 100*time.Millisecond)
		Expect(s.drops[DropNoLease]).To(BeZero())
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(60)))
	})

	DescribeTable("opens no new flow on a row that no longer accepts flows, even if balancers use an old view",
		func(leave func(s *simulation, view View) View) {
			s, view := settledSimulation(testRows(4), quiet)
			for port := range uint16(40) {
				s.sendPacket(view, 1000+port, 5, true)
			}
			s.run(s.now + time.Second)
			before := openFlowsByRow(s)
			s.installView(leave(s, view), 0)
			s.run(s.now + shortDelay)
			for port := range uint16(200) {
				s.sendPacket(view, 2000+port, 5, true)
			}
			s.run(s.now + time.Second)
			Expect(openFlowsByRow(s)[0]).To(Equal(before[0]))
			Expect(total(openFlowsByRow(s))).To(Equal(uint32(240)))
			Expect(s.resets).To(BeZero())
		},
		Entry("drained", func(s *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		}),
		Entry("weight 0", func(s *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Weight = 0 })
		}),
		Entry("removed", func(s *simulation, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Removed = true })
		}),
		Entry("planned stop that only its own agent has recorded", func(s *simulation, view View) View {
			s.machines[1].Leave()
			return view
		}),
	)

	It("opens new flows again after its drain is undone", func() {
		s, view := settledSimulation(testRows(2), quiet)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		s.installView(drained, 0)
		s.run(s.now + time.Second)
		undone := withRows(drained, func(rows []table.Backend) { rows[0].Drain = false })
		s.installView(undone, 0)
		s.run(s.now + time.Second)
		for port := range uint16(100) {
			s.sendPacket(drained, 1000+port, 5, true)
			s.run(s.now + 5*time.Millisecond)
		}
		Expect(openFlowsByRow(s)[0]).To(BeNumerically(">=", 45))
	})

	It("reopens a UDP flow whose owner was restarted", func() {
		s, view := settledSimulation(testRows(3), quiet)
		s.protocol = table.ProtocolUDP
		for port := range uint16(60) {
			s.sendPacket(view, 1000+port, 0, false)
		}
		s.run(s.now + time.Second)
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(60)))
		restarted := s.rowIDs()[0]
		s.machines[restarted] = New(DefaultConfig(restarted))
		s.execute(restarted, s.machines[restarted].InstallView(s.now, view))
		s.run(s.now + settleTime)
		for range 3 {
			for port := range uint16(60) {
				s.sendPacket(view, 1000+port, 0, false)
			}
			s.run(s.now + time.Second)
		}
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(60)))
	})

	It("waits for a newer table when a reply names an unknown row", func() {
		rows := testRows(3)
		s, view := settledSimulation(rows[:2], quiet)
		larger := withRows(View{Version: view.Version, Service: testService, Rows: rows}, func([]table.Backend) {})
		for _, row := range rows {
			if s.machines[row.ID] == nil {
				s.machines[row.ID] = New(DefaultConfig(row.ID))
				s.schedule(&simulatedEvent{at: s.now, row: row.ID, tick: true})
			}
		}
		behind := s.rowIDs()[0]
		for _, id := range s.rowIDs()[1:] {
			held := larger
			s.schedule(&simulatedEvent{at: s.now, row: id, view: &held})
		}
		s.run(s.now + 3*time.Second)
		port := uint16(1000)
		for s.primaryOf(view, port) != behind || s.primaryOf(larger, port) != rows[2].ID {
			port++
		}
		s.sendPacket(larger, port, 5, true)
		s.run(s.now + shortDelay/2)
		s.sendPacket(view, port, 5, true)
		s.run(s.now + 100*time.Millisecond)
		held := larger
		s.schedule(&simulatedEvent{at: s.now, row: behind, view: &held})
		s.run(s.now + 100*time.Millisecond)
		Expect(s.openedTwice()).To(BeEmpty())
		Expect(total(openFlowsByRow(s))).To(Equal(uint32(1)))
		Expect(s.machines[behind].UndecidedFlows()).To(BeZero())
	})

	It("decides again about a UDP flow that was refused", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		s, view := settledSimulation(rows, quiet)
		s.protocol = table.ProtocolUDP
		for port := range uint16(3) {
			s.sendPacket(view, 1000+port, 0, false)
			s.run(s.now + time.Second)
		}
		Expect(openFlowsByRow(s)).To(Equal([]uint32{1, 1}))
		for _, machine := range s.machines {
			machine.ForgetFlow(FlowKeyOf(flowSource(1000)))
		}
		s.sendPacket(view, 1002, 0, false)
		s.run(s.now + time.Second)
		Expect(openFlowsByRow(s)).To(Equal([]uint32{1, 1}))
	})

	It("repeats queries to a row that does not answer at increasing intervals", func() {
		s, view := settledSimulation(testRows(2), quiet)
		changed := withRows(view, func(rows []table.Backend) { rows[1].Weight = 2 })
		s.installView(changed, 0)
		s.run(s.now + time.Millisecond)
		asking := s.primaryOf(changed, 1000)
		for _, id := range s.rowIDs() {
			if id != asking {
				s.pause(id)
			}
		}
		s.queries = 0
		s.sendPacket(changed, 1000, 5, true)
		s.run(s.now + 2*time.Second)
		Expect(s.queries).To(BeNumerically("<=", 14))
	})

	It("opens no flow after its lease has ended", func() {
		rows := testRows(2)
		s, view := settledSimulation(rows, quiet)
		owner := s.primaryOf(view, 1000)
		s.pause(owner)
		s.run(s.now + time.Minute)
		s.sendPacket(view, 1000, 5, true)
		s.run(s.now + time.Second)
		s.paused[owner] = false
		for _, waiting := range s.held[owner] {
			if waiting.packet != nil {
				s.execute(owner, s.machines[owner].HandlePacket(s.now, *waiting.packet))
			}
		}
		Expect(s.machines[owner].OpenFlows()).To(BeZero())
		Expect(s.drops[DropNoLease]).To(Equal(1))
	})
})

// TestSingleOwner runs random schedules of packets, table changes, pauses and
// retransmissions over a faulty network. No row may open a flow whose caller is
// already connected to another row, and no two rows that can both answer may open
// the same flow.
func TestSingleOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runRandomSchedule(t, func(*Machine) {})
		if len(s.violations) > 0 {
			t.Fatalf("flows opened on two rows: %v", s.violations)
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

// skipQueriesAfterViewChange makes a machine's view and its lease
// an hour old, so that it does not query possible earlier openers.
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
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), rows, network)
	s.injectFault = injectFault
	s.installView(view, 0)
	s.run(settleTime)
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		randomStep(t, s, &views)
		s.run(s.now + rapid.SampledFrom(waitsBetweenSteps).Draw(t, "wait"))
	}
	for _, id := range s.rowIDs() {
		if s.paused[id] {
			s.resume(id)
		}
	}
	s.run(s.now + settleTime)
	return s
}

func randomStep(t *rapid.T, s *simulation, views *[]View) {
	latest := (*views)[len(*views)-1]
	row := rapid.IntRange(0, len(latest.Rows)-1).Draw(t, "row")
	id := latest.Rows[row].ID
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		changed := withRows(latest, func(rows []table.Backend) { rows[row].Drain = !rows[row].Drain })
		*views = append(*views, changed)
		s.installView(changed, time.Second)
	case 1:
		if s.paused[id] {
			s.resume(id)
		} else {
			s.pause(id)
		}
	default:
		port := uint16(rapid.IntRange(1000, 1030).Draw(t, "port"))
		if rapid.IntRange(0, 1).Draw(t, "reuse") == 0 {
			s.lastSequences[port]++
		}
		_, established := s.established[flowID{FlowKeyOf(flowSource(port)), s.lastSequences[port]}]
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		for range copies {
			// A balancer may use any recent view.
			oldest := max(0, len(*views)-3)
			used := (*views)[rapid.IntRange(oldest, len(*views)-1).Draw(t, "view")]
			if !established {
				s.sendPacket(used, port, s.lastSequences[port], true)
			}
		}
	}
}
