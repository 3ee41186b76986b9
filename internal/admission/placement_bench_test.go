package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlacement reports, for several handover margins, how even the flows
// of seven rows are and how many flows cost an extra hop for all their packets.
// Flows come and go; 700 are open at a time.
func BenchmarkPlacement(b *testing.B) {
	for _, margin := range []uint32{0, 1, 2, 4, 8, 1000} {
		b.Run(fmt.Sprintf("margin=%d", margin), func(b *testing.B) {
			var imbalance, worst, handedOver, queries float64
			for round := range b.N {
				measured := placementRound(margin, uint64(round))
				imbalance += measured.imbalance
				worst = max(worst, measured.imbalance)
				handedOver += measured.handedOver
				queries += measured.queries
			}
			rounds := float64(b.N)
			b.ReportMetric(imbalance/rounds, "imbalance")
			b.ReportMetric(worst, "worst-imbalance")
			b.ReportMetric(handedOver/rounds, "handed-over/flow")
			b.ReportMetric(queries/rounds, "messages/flow")
		})
	}
}

type placement struct {
	imbalance  float64
	handedOver float64
	queries    float64
}

func placementRound(margin uint32, seed uint64) placement {
	const (
		openFlows   = 700
		totalFlows  = 2800
		interarrive = 2 * time.Millisecond
	)
	rows := testRows(7)
	c := newCluster(seed, rows, faults{delay: time.Millisecond})
	for _, machine := range c.machines {
		machine.config.HandoverMargin = margin
	}
	view := View{Version: 1, Service: testService, Rows: rows}
	c.install(view, 0)
	c.run(time.Minute)
	random := rand.New(rand.NewPCG(seed, 2))
	var open []uint16
	c.queries, c.forwards = 0, 0
	for port := range uint16(totalFlows) {
		if len(open) == openFlows {
			ended := random.IntN(len(open))
			c.endFlow(open[ended])
			open[ended] = open[len(open)-1]
			open = open[:len(open)-1]
		}
		c.caller(view, 1000+port, 1, true)
		open = append(open, 1000+port)
		c.run(c.now + interarrive)
	}
	c.run(c.now + time.Second)
	var largest, sum uint32
	for _, count := range openRows(c) {
		largest = max(largest, count)
		sum += count
	}
	return placement{
		imbalance:  float64(largest) * float64(len(rows)) / float64(sum),
		handedOver: float64(c.forwards) / totalFlows,
		queries:    float64(c.queries) / totalFlows,
	}
}

// endFlow ends the caller's flow where it is open.
func (c *cluster) endFlow(port uint16) {
	key := FlowKeyOf(flowSource(port))
	for _, id := range c.rowIDs() {
		machine := c.machines[id]
		if sequence, open := machine.OpenFlowSequence(key); open {
			machine.FlowClosed(c.now, key, sequence)
		}
	}
}
