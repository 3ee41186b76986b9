package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlacement reports for several handover margins how evenly flows are
// distributed over seven rows, and how many flows are handed over, which costs an
// extra hop for each of their packets. Flows open and end continuously; 700 are
// open at a time.
func BenchmarkPlacement(b *testing.B) {
	for _, margin := range []uint32{0, 1, 2, 4, 8, 1000} {
		b.Run(fmt.Sprintf("margin=%d", margin), func(b *testing.B) {
			var imbalance, worst, handedOver, queries float64
			for round := range b.N {
				measured := simulatePlacement(margin, uint64(round))
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

type placementResult struct {
	imbalance  float64
	handedOver float64
	queries    float64
}

func simulatePlacement(margin uint32, seed uint64) placementResult {
	const (
		openFlows   = 700
		totalFlows  = 2800
		interarrive = 2 * time.Millisecond
	)
	rows := testRows(7)
	s := newSimulation(seed, rows, faults{delay: time.Millisecond})
	for _, machine := range s.machines {
		machine.config.HandoverMargin = margin
	}
	view := View{Version: 1, Service: testService, Rows: rows}
	s.installView(view, 0)
	s.run(time.Minute)
	random := rand.New(rand.NewPCG(seed, 2))
	var open []uint16
	s.queries, s.forwards = 0, 0
	for port := range uint16(totalFlows) {
		if len(open) == openFlows {
			ended := random.IntN(len(open))
			s.endFlow(open[ended])
			open[ended] = open[len(open)-1]
			open = open[:len(open)-1]
		}
		s.sendPacket(view, 1000+port, 1, true)
		open = append(open, 1000+port)
		s.run(s.now + interarrive)
	}
	s.run(s.now + time.Second)
	var largest, sum uint32
	for _, count := range openFlowsByRow(s) {
		largest = max(largest, count)
		sum += count
	}
	return placementResult{
		imbalance:  float64(largest) * float64(len(rows)) / float64(sum),
		handedOver: float64(s.forwards) / totalFlows,
		queries:    float64(s.queries) / totalFlows,
	}
}

// endFlow ends the flow with the caller port at the row where it is open.
func (s *simulation) endFlow(port uint16) {
	key := FlowKeyOf(flowSource(port))
	for _, id := range s.rowIDs() {
		machine := s.machines[id]
		if sequence, open := machine.OpenFlowSequence(key); open {
			machine.FlowClosed(s.now, key, sequence)
		}
	}
}
