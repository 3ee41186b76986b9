package balancer_test

import (
	"testing"

	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

const benchmarkPayload = 1000

func BenchmarkDecodeEncapsulation(b *testing.B) {
	datagram := encapsulate(tcpPacket(5000, servicePort, benchmarkPayload))
	decoder := encap.NewDecoder()
	b.ReportAllocs()
	for b.Loop() {
		decoder.Decode(datagram)
	}
}

func BenchmarkDecodePacket(b *testing.B) {
	content := tcpPacket(5000, servicePort, benchmarkPayload)
	decoder := packet.NewDecoder()
	b.ReportAllocs()
	for b.Loop() {
		decoder.Decode(content)
	}
}

func BenchmarkRoute(b *testing.B) {
	flow := flowOf(tcpPacket(5000, servicePort, benchmarkPayload))
	built := lookup.Build(sampleTable(unusedAgents(8), 1, 1, 1, 1, 1, 1, 1, 1), lookup.AllAlive)
	b.ReportAllocs()
	for b.Loop() {
		built.Route(flow)
	}
}

func BenchmarkEncapsulate(b *testing.B) {
	content := tcpPacket(5000, servicePort, benchmarkPayload)
	encoder := encap.NewEncoder()
	output := make([]byte, 0, 2*benchmarkPayload)
	b.ReportAllocs()
	for b.Loop() {
		encoder.AppendRouted(output, sampleService, encap.Routing{Version: 1, Backend: 2, Incarnation: 3}, content)
	}
}

// BenchmarkDecide measures the complete decision: decoding of both headers, route
// lookup and encapsulation.
func BenchmarkDecide(b *testing.B) {
	datagram := encapsulate(tcpPacket(5000, servicePort, benchmarkPayload))
	built := lookup.Build(sampleTable(unusedAgents(8), 1, 1, 1, 1, 1, 1, 1, 1), lookup.AllAlive)
	decider := balancer.NewDecider()
	output := make([]byte, 0, 2*benchmarkPayload)
	b.ReportAllocs()
	for b.Loop() {
		if decision := decider.Decide(built, datagram, output); decision.Reason != balancer.Forwarded {
			b.Fatal(decision.Reason)
		}
	}
}
