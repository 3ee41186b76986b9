package admission

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/table"
)

var testWaits = []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}

const (
	settled    = 10 * time.Second
	testSkew   = 300 * time.Millisecond
	quickDelay = 2 * time.Millisecond
)

// settledCluster returns a cluster whose machines have held the view for long.
func settledCluster(rows []table.Backend, network faults) (*cluster, View) {
	view := View{Version: 1, Service: testService, Rows: rows}
	created := newCluster(1, rows, network)
	created.install(view, 0)
	created.run(settled)
	return created, view
}

func withRows(view View, change func(rows []table.Backend)) View {
	changed := view
	changed.Version++
	changed.Rows = append([]table.Backend(nil), view.Rows...)
	change(changed.Rows)
	return changed
}

func openRows(c *cluster) []uint32 {
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

var _ = Describe("a machine", func() {
	quiet := faults{delay: quickDelay}

	It("opens every flow once and spreads flows evenly by weight", func() {
		c, view := settledCluster(testRows(7), quiet)
		for port := range uint16(700) {
			c.caller(view, 1000+port, 5, true)
			c.run(c.now + 5*time.Millisecond)
		}
		c.run(c.now + time.Second)
		Expect(c.openedTwice()).To(BeEmpty())
		Expect(total(openRows(c))).To(Equal(uint32(700)))
		for _, open := range openRows(c) {
			Expect(open).To(BeNumerically("<=", 105))
		}
	})

	It("opens a flow although two rows have long taken each other for its owner", func() {
		const port, sequence = 1000, 5
		c, view := settledCluster(testRows(4), quiet)
		primary := c.primaryOf(view, port)
		var others []table.BackendID
		for _, id := range c.rowIDs() {
			if id != primary {
				others = append(others, id)
			}
		}
		for index := range 2 {
			machine := c.machines[others[index]]
			machine.flows[FlowKeyOf(flowSource(port))] = flow{
				state: stateRemote, sequence: sequence, owner: others[1-index],
				expires: c.now + machine.config.RemoteRetention - 10*time.Second,
			}
		}
		c.install(withRows(view, func(rows []table.Backend) { rows[0].ConnectionLimit = 500 }), 0)
		for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			c.caller(view, port, sequence, true)
			c.run(c.now + wait)
		}
		Expect(total(openRows(c))).To(Equal(uint32(1)))
		Expect(c.openedTwice()).To(BeEmpty())
	})

	It("keeps a flow where it is when its slot moves, and finds it again", func() {
		c, view := settledCluster(testRows(5), quiet)
		for port := range uint16(100) {
			c.caller(view, 1000+port, 5, true)
		}
		c.run(c.now + time.Second)
		before := openRows(c)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		c.install(drained, testSkew)
		c.run(c.now + settled)
		delivered := c.delivered
		for port := range uint16(100) {
			c.caller(drained, 1000+port, 6, false)
		}
		c.run(c.now + time.Second)
		Expect(c.delivered - delivered).To(Equal(100))
		Expect(openRows(c)).To(Equal(before))
		Expect(c.resets).To(BeZero())
	})

	It("finds flows after more table changes than it remembers", func() {
		c, view := settledCluster(testRows(6), quiet)
		for port := range uint16(60) {
			c.caller(view, 1000+port, 5, true)
		}
		c.run(c.now + time.Second)
		for change := range 2 * maximumPastViews {
			view = withRows(view, func(rows []table.Backend) {
				rows[change%len(rows)].Drain = !rows[change%len(rows)].Drain
			})
			c.install(view, testSkew)
			c.run(c.now + time.Second)
		}
		delivered := c.delivered
		for port := range uint16(60) {
			c.caller(view, 1000+port, 6, false)
		}
		c.run(c.now + time.Second)
		Expect(c.delivered - delivered).To(Equal(60))
	})

	It("refuses a flow beyond every limit, and its retransmission too", func() {
		rows := testRows(3)
		for index := range rows {
			rows[index].ConnectionLimit = 10
		}
		c, view := settledCluster(rows, quiet)
		for port := range uint16(40) {
			c.caller(view, 1000+port, 5, true)
			c.run(c.now + 50*time.Millisecond)
		}
		Expect(openRows(c)).To(Equal([]uint32{10, 10, 10}))
		Expect(c.resets).To(Equal(10))
		for port := range uint16(40) {
			c.caller(view, 1000+port, 5, true)
			c.run(c.now + 50*time.Millisecond)
		}
		Expect(openRows(c)).To(Equal([]uint32{10, 10, 10}))
		Expect(c.resets).To(Equal(20))
	})

	It("refuses a flow only when every row that may have room has answered", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		c, view := settledCluster(rows, quiet)
		c.run(c.now + time.Minute)
		primary := c.primaryOf(view, 1000)
		c.machines[primary].Leave()
		for _, id := range c.rowIDs() {
			if id != primary {
				c.pause(id)
			}
		}
		c.caller(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(c.resets).To(BeZero())
		Expect(c.drops[DropNoAnswer]).To(Equal(1))
		for _, id := range c.rowIDs() {
			if id != primary {
				c.resume(id)
			}
		}
		c.caller(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(total(openRows(c))).To(Equal(uint32(1)))
	})

	It("resets a flow only when every row has denied it", func() {
		c, view := settledCluster(testRows(3), quiet)
		c.caller(view, 1000, 5, false)
		c.run(c.now + time.Second)
		Expect(c.resets).To(Equal(1))
		for id := range c.machines {
			if id != c.primaryOf(view, 1001) {
				c.pause(id)
				break
			}
		}
		c.caller(view, 1001, 5, false)
		c.run(c.now + time.Second)
		Expect(c.resets).To(Equal(1))
		Expect(c.drops[DropUnknownFlow]).To(Equal(1))
	})

	It("opens a new flow with the port of an ended one, and not the ended one again", func() {
		c, view := settledCluster(testRows(3), quiet)
		c.caller(view, 1000, 5, true)
		c.run(c.now + time.Second)
		key := FlowKeyOf(flowSource(1000))
		for _, machine := range c.machines {
			machine.FlowClosed(c.now, key, 5)
		}
		c.caller(view, 1000, 5, true)
		c.run(c.now + time.Second)
		Expect(total(openRows(c))).To(BeZero())
		c.caller(view, 1000, 99, true)
		c.run(c.now + time.Second)
		Expect(total(openRows(c))).To(Equal(uint32(1)))
	})

	It("does not let a forged opening packet end an open flow", func() {
		c, view := settledCluster(testRows(3), quiet)
		c.caller(view, 1000, 5, true)
		c.run(c.now + time.Second)
		before := openRows(c)
		c.caller(view, 1000, 4242, true)
		c.run(c.now + time.Second)
		c.caller(view, 1000, 6, false)
		c.run(c.now + time.Second)
		Expect(openRows(c)).To(Equal(before))
		Expect(c.resets).To(BeZero())
	})

	It("is handed no flow while it would drop one", func() {
		c, view := settledCluster(testRows(2), quiet)
		paused := c.rowIDs()[0]
		c.pause(paused)
		c.run(c.now + time.Minute)
		c.resume(paused)
		c.run(c.now + 2*TickInterval())
		for port := range uint16(60) {
			c.caller(view, 1000+port, 5, true)
		}
		c.run(c.now + 100*time.Millisecond)
		Expect(c.drops[DropNoLease]).To(BeZero())
		Expect(total(openRows(c))).To(Equal(uint32(60)))
	})

	DescribeTable("opens no new flow on a row that leaves, whatever balancers still hold",
		func(leave func(c *cluster, view View) View) {
			c, view := settledCluster(testRows(4), quiet)
			for port := range uint16(40) {
				c.caller(view, 1000+port, 5, true)
			}
			c.run(c.now + time.Second)
			before := openRows(c)
			c.install(leave(c, view), 0)
			c.run(c.now + quickDelay)
			for port := range uint16(200) {
				c.caller(view, 2000+port, 5, true)
			}
			c.run(c.now + time.Second)
			Expect(openRows(c)[0]).To(Equal(before[0]))
			Expect(total(openRows(c))).To(Equal(uint32(240)))
			Expect(c.resets).To(BeZero())
		},
		Entry("by drain", func(c *cluster, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		}),
		Entry("by weight 0", func(c *cluster, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Weight = 0 })
		}),
		Entry("by removal", func(c *cluster, view View) View {
			return withRows(view, func(rows []table.Backend) { rows[0].Removed = true })
		}),
		Entry("by a planned stop that only its own agent knows of", func(c *cluster, view View) View {
			c.machines[1].Leave()
			return view
		}),
	)

	It("takes new flows again when its drain is undone", func() {
		c, view := settledCluster(testRows(2), quiet)
		drained := withRows(view, func(rows []table.Backend) { rows[0].Drain = true })
		c.install(drained, 0)
		c.run(c.now + time.Second)
		undone := withRows(drained, func(rows []table.Backend) { rows[0].Drain = false })
		c.install(undone, 0)
		c.run(c.now + time.Second)
		for port := range uint16(100) {
			c.caller(drained, 1000+port, 5, true)
			c.run(c.now + 5*time.Millisecond)
		}
		Expect(openRows(c)[0]).To(BeNumerically(">=", 45))
	})

	It("opens a UDP flow again whose owner was restarted", func() {
		c, view := settledCluster(testRows(3), quiet)
		c.protocol = table.ProtocolUDP
		for port := range uint16(60) {
			c.caller(view, 1000+port, 0, false)
		}
		c.run(c.now + time.Second)
		Expect(total(openRows(c))).To(Equal(uint32(60)))
		restarted := c.rowIDs()[0]
		c.machines[restarted] = New(DefaultConfig(restarted))
		c.execute(restarted, c.machines[restarted].InstallView(c.now, view))
		c.run(c.now + settled)
		for range 3 {
			for port := range uint16(60) {
				c.caller(view, 1000+port, 0, false)
			}
			c.run(c.now + time.Second)
		}
		Expect(total(openRows(c))).To(Equal(uint32(60)))
	})

	It("waits for the table that has the row another one names", func() {
		rows := testRows(3)
		c, view := settledCluster(rows[:2], quiet)
		larger := withRows(View{Version: view.Version, Service: testService, Rows: rows}, func([]table.Backend) {})
		for _, row := range rows {
			if c.machines[row.ID] == nil {
				c.machines[row.ID] = New(DefaultConfig(row.ID))
				c.schedule(&event{at: c.now, row: row.ID, tick: true})
			}
		}
		behind := c.rowIDs()[0]
		for _, id := range c.rowIDs()[1:] {
			held := larger
			c.schedule(&event{at: c.now, row: id, view: &held})
		}
		c.run(c.now + 3*time.Second)
		port := uint16(1000)
		for c.primaryOf(view, port) != behind || c.primaryOf(larger, port) != rows[2].ID {
			port++
		}
		c.caller(larger, port, 5, true)
		c.run(c.now + quickDelay/2)
		c.caller(view, port, 5, true)
		c.run(c.now + 100*time.Millisecond)
		held := larger
		c.schedule(&event{at: c.now, row: behind, view: &held})
		c.run(c.now + 100*time.Millisecond)
		Expect(c.openedTwice()).To(BeEmpty())
		Expect(total(openRows(c))).To(Equal(uint32(1)))
		Expect(c.machines[behind].UndecidedFlows()).To(BeZero())
	})

	It("tries a UDP flow again that could not be opened", func() {
		rows := testRows(2)
		rows[0].ConnectionLimit, rows[1].ConnectionLimit = 1, 1
		c, view := settledCluster(rows, quiet)
		c.protocol = table.ProtocolUDP
		for port := range uint16(3) {
			c.caller(view, 1000+port, 0, false)
			c.run(c.now + time.Second)
		}
		Expect(openRows(c)).To(Equal([]uint32{1, 1}))
		for _, machine := range c.machines {
			machine.ForgetFlow(FlowKeyOf(flowSource(1000)))
		}
		c.caller(view, 1002, 0, false)
		c.run(c.now + time.Second)
		Expect(openRows(c)).To(Equal([]uint32{1, 1}))
	})

	It("repeats queries to a silent row ever more rarely", func() {
		c, view := settledCluster(testRows(2), quiet)
		changed := withRows(view, func(rows []table.Backend) { rows[1].Weight = 2 })
		c.install(changed, 0)
		c.run(c.now + time.Millisecond)
		asking := c.primaryOf(changed, 1000)
		for _, id := range c.rowIDs() {
			if id != asking {
				c.pause(id)
			}
		}
		c.queries = 0
		c.caller(changed, 1000, 5, true)
		c.run(c.now + 2*time.Second)
		Expect(c.queries).To(BeNumerically("<=", 14))
	})

	It("opens nothing after its lease has ended", func() {
		rows := testRows(2)
		c, view := settledCluster(rows, quiet)
		owner := c.primaryOf(view, 1000)
		c.pause(owner)
		c.run(c.now + time.Minute)
		c.caller(view, 1000, 5, true)
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

// TestOneOwner checks, over random networks, views, pauses and retransmissions,
// that no flow is opened on a row after its caller was connected with another,
// nor on two rows that can both answer.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := runRandomSchedule(t, func(*Machine) {})
		if len(c.violations) > 0 {
			t.Fatalf("opened on two rows: %v", c.violations)
		}
	})
}

// TestOneOwnerCatchesTrustInNewViews plants a fault, rows that open flows in a
// new view without asking who may have opened them before, and expects the
// check of TestOneOwner to find it.
func TestOneOwnerCatchesTrustInNewViews(t *testing.T) {
	caught := 0
	for seed := range 100 {
		generator := rapid.Custom(func(t *rapid.T) int {
			return len(runRandomSchedule(t, trustNewViews).violations)
		})
		caught += generator.Example(seed)
	}
	if caught == 0 {
		t.Fatal("the planted fault was not found")
	}
}

func trustNewViews(machine *Machine) {
	machine.history.changed = -time.Hour
	machine.leaseResumed = -time.Hour
}

// runRandomSchedule runs a random schedule; sabotage is called for a machine
// after everything it handles.
func runRandomSchedule(t *rapid.T, sabotage func(*Machine)) *cluster {
	rows := testRows(rapid.IntRange(2, 5).Draw(t, "rows"))
	network := faults{
		loss:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"),
		duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
		delay:     rapid.SampledFrom([]time.Duration{quickDelay, 30 * time.Millisecond}).Draw(t, "delay"),
	}
	view := View{Version: 1, Service: testService, Rows: rows}
	views := []View{view}
	c := newCluster(rapid.Uint64().Draw(t, "seed"), rows, network)
	c.sabotage = sabotage
	c.install(view, 0)
	c.run(settled)
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		step(t, c, &views)
		c.run(c.now + rapid.SampledFrom(testWaits).Draw(t, "wait"))
	}
	for _, id := range c.rowIDs() {
		if c.paused[id] {
			c.resume(id)
		}
	}
	c.run(c.now + settled)
	return c
}

func step(t *rapid.T, c *cluster, views *[]View) {
	latest := (*views)[len(*views)-1]
	row := rapid.IntRange(0, len(latest.Rows)-1).Draw(t, "row")
	id := latest.Rows[row].ID
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		changed := withRows(latest, func(rows []table.Backend) { rows[row].Drain = !rows[row].Drain })
		*views = append(*views, changed)
		c.install(changed, time.Second)
	case 1:
		if c.paused[id] {
			c.resume(id)
		} else {
			c.pause(id)
		}
	default:
		port := uint16(rapid.IntRange(1000, 1030).Draw(t, "port"))
		if rapid.IntRange(0, 1).Draw(t, "reuse") == 0 {
			c.sequences[port]++
		}
		_, established := c.established[openedFlow{FlowKeyOf(flowSource(port)), c.sequences[port]}]
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		for range copies {
			// A balancer may hold any recent view.
			oldest := max(0, len(*views)-3)
			used := (*views)[rapid.IntRange(oldest, len(*views)-1).Draw(t, "view")]
			if !established {
				c.caller(used, port, c.sequences[port], true)
			}
		}
	}
}
