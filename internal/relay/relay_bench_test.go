package relay_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// benchmarkFleet has the given number of services with eight endpoints each;
// the fixture's route leads to the first.
func benchmarkFleet(services int) *directory.Replica {
	machine := directory.NewReplica()
	configuration := &directory.Configuration{Version: 1}
	var items []directory.Item
	for number := range services {
		name := fmt.Sprintf("service-%d", number)
		configuration.Routes = append(configuration.Routes, directory.Route{
			IP: routeAddress.IP, Port: routeAddress.Port + uint16(number), WeightedServices: []directory.WeightedService{{Service: name, Weight: 1}},
			TargetLatency: 250 * time.Millisecond, Timeout: 2 * time.Second,
		})
		for index := range 8 {
			id := number*8 + index
			items = append(items, directory.Item{
				EndpointID: directory.NameOnlyID(fmt.Sprintf("i-%010x", id)), Revision: directory.Revision(id + 2),
				Endpoint: &directory.Endpoint{
					Service: name, IP: [4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}, Port: 8080, Zone: ownZone, Slots: 7,
				},
			})
		}
	}
	items = append(items, directory.Item{Revision: 1, Configuration: configuration})
	machine.ApplyListing(0, items, directory.Revision(services*8+2))
	return machine
}

func openingTo(number int) []byte {
	return codec.Encode(segment.Header{
		Source:      segment.Address{IP: [4]byte{100, 64, byte(number >> 16), byte(number >> 8)}, Port: uint16(number)},
		Destination: routeAddress, Flags: segment.Synchronize, Sequence: 100,
	}, nil)
}

func benchmarkBalancer(machine *directory.Replica) *relay.Balancer {
	balancer := relay.NewBalancer(relay.BalancerConfig{
		Codec: codec, AgentPort: agentPort, FlowLifetime: flowLifetime, FlowLimit: 1 << 24, Random: newRandom(),
	})
	balancer.Install(0, machine.Snapshot())
	return balancer
}

// BenchmarkBalancerOpening measures a new flow with the notice of its owner.
func BenchmarkBalancerOpening(b *testing.B) {
	for _, services := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			balancer := benchmarkBalancer(benchmarkFleet(services))
			b.ReportAllocs()
			for number := range b.N {
				packet := openingTo(number)
				effects := balancer.HandleClientPacket(0, packet)
				to := effects[0].To
				header, _ := codec.Decode(packet)
				key := segment.FlowKey{Client: header.Source, Service: header.Destination}
				balancer.Receive(0, to, relay.Message{Kind: relay.KindPlaced, Flow: relay.EncodeFlow(key), Sequence: 100})
			}
		})
	}
}

// BenchmarkBalancerForward measures a packet of a known flow.
func BenchmarkBalancerForward(b *testing.B) {
	balancer := benchmarkBalancer(benchmarkFleet(1500))
	balancer.HandleClientPacket(0, opening(1, 100))
	packet := fromClient(1, segment.Acknowledge, 101, 501, "request")
	b.ReportAllocs()
	for b.Loop() {
		balancer.HandleClientPacket(0, packet)
	}
}

// BenchmarkBalancerMemory measures what a flow takes.
func BenchmarkBalancerMemory(b *testing.B) {
	const flows = 15_500
	machine := benchmarkFleet(15)
	for b.Loop() {
		before := heap()
		balancer := benchmarkBalancer(machine)
		for number := range flows {
			packet := openingTo(number)
			effects := balancer.HandleClientPacket(0, packet)
			header, _ := codec.Decode(packet)
			key := segment.FlowKey{Client: header.Source, Service: header.Destination}
			balancer.Receive(0, effects[0].To, relay.Message{Kind: relay.KindPlaced, Flow: relay.EncodeFlow(key), Sequence: 100})
		}
		balancer.Tick(time.Second)
		b.ReportMetric(float64(heap()-before)/flows, "B/flow")
		runtime.KeepAlive(balancer)
	}
}

// BenchmarkAgentRequest measures a whole flow at an agent: handshake, request,
// answer and end.
func BenchmarkAgentRequest(b *testing.B) {
	agent := newAgent(true)
	b.ReportAllocs()
	for b.Loop() {
		agent.Receive(0, balancerA, relay.Message{Kind: relay.KindOffer, Service: service, Packet: opening(1, 100)})
		agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		agent.Receive(0, balancerA, relay.Message{
			Kind: relay.KindForward, Service: service, Packet: fromClient(1, segment.Acknowledge, 101, 501, "request"),
		})
		agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
		agent.Receive(0, balancerA, relay.Message{
			Kind: relay.KindForward, Service: service, Packet: fromClient(1, segment.Acknowledge|segment.Finish, 108, 507, ""),
		})
	}
}

// BenchmarkDirectoryChange measures one changed entry, with the new snapshot.
func BenchmarkDirectoryChange(b *testing.B) {
	for _, services := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", services*8), func(b *testing.B) {
			machine := benchmarkFleet(services)
			revision := directory.Revision(1 << 30)
			endpoint := &directory.Endpoint{Service: "service-0", IP: [4]byte{10, 0, 0, 0}, Port: 8080, Slots: 7}
			b.ReportAllocs()
			for b.Loop() {
				revision++
				machine.ApplyChanges(0, []directory.Item{{EndpointID: directory.NameOnlyID("i-0000000000"), Revision: revision, Endpoint: endpoint}}, revision)
			}
		})
	}
}

// BenchmarkDirectoryMemory measures a directory with its snapshot, and its
// encoded state.
func BenchmarkDirectoryMemory(b *testing.B) {
	for _, services := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", services*8), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				machine := benchmarkFleet(services)
				b.ReportMetric(float64(heap()-before), "B")
				state := machine.FullState(0)
				encoded, err := state.MarshalMsg(nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(encoded)), "B/state")
				runtime.KeepAlive(machine)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}
