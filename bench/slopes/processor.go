// This file implements the measurements of processor time.

package slopes

import (
	"math/rand/v2"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	costTime    = "ns"
	packetCount = 1 << 14
	randomSeed  = 1
)

func processorExperiments() []experiment {
	flows := []int{1000, 10_000, 50_000, 100_000}
	fleetRows := []int{1600, 3200, 6400, 12_000}
	rows := []int{4, 8, 16, 32, 64}
	return []experiment{
		{"balancer packet", costTime, "services of 8 rows", []int{94, 188, 375, 750, 1500}, exactly(timeOfDecision)},
		{"known packet", costTime, "open flows of an agent", flows, exactly(timeOfKnownPacket)},
		{"forwarded packet", costTime, "flows an agent passes along", flows, exactly(timeOfForwardedPacket)},
		{"new flow", costTime, "rows of the service", rows, exactly(timeOfNewFlow)},
		{"new flow in doubt", costTime, "rows of the service", rows, exactly(timeOfNewFlowInDoubt)},
		{"answered query", costTime, "open flows of an agent", flows, exactly(timeOfQuery)},
		{"heartbeat", costTime, "rows of the table", fleetRows, exactly(timeOfHeartbeat)},
		{"liveness look", costTime, "rows of the table", fleetRows, exactly(timeOfUnavailable)},
		{"registry publish", costTime, "rows of the table", fleetRows, exactly(timeOfPublish)},
		{"lookup rebuild", costTime, "rows of the table", fleetRows, exactly(timeOfRebuild)},
		{"lookup build", costTime, "rows of the table", fleetRows, exactly(timeOfBuild)},
		{"table parse", costTime, "rows of the table", fleetRows, exactly(timeOfParse)},
		{"agent configure", costTime, "rows of an agent's service", rows, exactly(timeOfConfigure)},
	}
}

// timeOfDecision is the balancer's whole work on a packet: both decodes, the
// lookup among all services in random order, and the encapsulation.
func timeOfDecision(services int) float64 {
	built := lookup.Build(sampleTable(services, rowsPerService), lookup.AllAlive)
	datagrams := sampleDatagrams(services)
	decider := balancer.NewDecider()
	output := make([]byte, 0, packetBufferSize)
	return nanoseconds(func(number int) {
		decision := decider.Decide(built, datagrams[number%packetCount], output)
		if decision.Reason != balancer.Forwarded {
			panic("slopes: balancer dropped a packet: " + decision.Reason.String())
		}
	})
}

const packetBufferSize = 2048

// sampleDatagrams returns datagrams from the fabric to random services.
func sampleDatagrams(services int) [][]byte {
	random := rand.New(rand.NewPCG(randomSeed, 0))
	encoder := encap.NewEncoder()
	datagrams := make([][]byte, packetCount)
	for index := range datagrams {
		flow := flowTo(random.IntN(services), random.IntN(1<<30))
		buffer := gopacket.NewSerializeBuffer()
		err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true},
			&layers.IPv4{
				Version: 4, IHL: 5, TTL: 64, Protocol: layers.IPProtocolTCP,
				SrcIP: flow.Source.Addr().AsSlice(), DstIP: flow.Destination.Addr().AsSlice(),
			},
			&layers.TCP{
				SrcPort: layers.TCPPort(flow.Source.Port()), DstPort: layers.TCPPort(flow.Destination.Port()), ACK: true,
			})
		if err != nil {
			panic("slopes: cannot encode a packet: " + err.Error())
		}
		datagrams[index] = encoder.AppendPlain(nil, buffer.Bytes())
	}
	return datagrams
}

func timeOfKnownPacket(flows int) float64 {
	machine := newMachine(1, flows)
	fill(machine, flows)
	return nanoseconds(func(number int) {
		effects := machine.Arrive(readyAt, packetOf(scattered(number, flows), false))
		expectEffect(effects, admission.Deliver)
	})
}

func timeOfForwardedPacket(flows int) float64 {
	machine := newMachine(2, flows)
	fillRemote(machine, flows)
	return nanoseconds(func(number int) {
		effects := machine.Arrive(readyAt, packetOf(scattered(number, flows), false))
		expectEffect(effects, admission.Forward)
	})
}

func expectEffect(effects []admission.Effect, kind admission.EffectKind) {
	if len(effects) == 0 || effects[len(effects)-1].Kind != kind {
		panic("slopes: the machine did not do what is measured")
	}
}

// timeOfNewFlow is the work of a row on a flow of which it is primary, from the
// first packet to its end: it asks the second row and opens the flow.
func timeOfNewFlow(rows int) float64 { return timeOfOpening(rows, readyAt) }

// timeOfNewFlowInDoubt is the same shortly after a change, when every row of
// the service is asked.
func timeOfNewFlowInDoubt(rows int) float64 { return timeOfOpening(rows, time.Second) }

func timeOfOpening(rows int, now time.Duration) float64 {
	callers := callersOfPrimary(rows)
	machine := newMachine(rows, 1<<20)
	reply := &admission.Reply{Purpose: admission.PurposeOpen, Available: true, Open: 1 << 20}
	return nanoseconds(func(number int) {
		opening := packetOf(callers[number%len(callers)], true)
		key := admission.KeyOf(opening.Summary.Flow.Source)
		reply.Flow = key
		reply.Sequence = opening.Summary.Sequence
		for _, asked := range askedRows(machine.Arrive(now, opening)) {
			machine.Receive(now, admission.Message{From: asked, To: machineRow, Reply: reply})
		}
		if _, open := machine.Owned(key); !open {
			panic("slopes: the machine did not open the flow")
		}
		machine.Forget(key)
	})
}

// askedRows returns the rows that effects send queries to. Effects are valid
// until the next call of the machine only.
func askedRows(effects []admission.Effect) []table.BackendID {
	var rows []table.BackendID
	for index := range effects {
		if effects[index].Kind == admission.Send {
			rows = append(rows, effects[index].To)
		}
	}
	return rows
}

// callersOfPrimary returns callers whose flows have the measured row as primary.
func callersOfPrimary(rows int) []int {
	const wanted = 1000
	built := lookup.Build(sampleTable(1, rows), lookup.AllAlive)
	var callers []int
	for caller := 0; len(callers) < wanted; caller++ {
		target, outcome := built.Route(flowTo(0, caller))
		if outcome == lookup.Routed && target.Backend == machineRow {
			callers = append(callers, caller)
		}
	}
	return callers
}

func timeOfQuery(flows int) float64 {
	machine := newMachine(2, flows)
	fill(machine, flows)
	query := &admission.Query{Purpose: admission.PurposeOpen}
	return nanoseconds(func(number int) {
		caller := scattered(number, flows)
		query.Flow = admission.KeyOf(flowTo(0, caller).Source)
		query.Sequence = uint32(caller)
		expectEffect(machine.Receive(readyAt, admission.Message{From: 2, To: machineRow, Query: query}), admission.Send)
	})
}

// agentsOfDaemon is the number of agents that a daemon hears at the target if
// each agent has two daemons.
const agentsOfDaemon = 22

// timeOfHeartbeat is what the product's server does for one heartbeat besides
// input and output: decode, look for rows that are down, answer, encode.
func timeOfHeartbeat(rows int) float64 {
	registry, heartbeats := heardRegistry(rows)
	encoded := make([][]byte, len(heartbeats))
	for index := range heartbeats {
		encoded[index] = encodeControl(&control.Datagram{Heartbeat: &heartbeats[index]})
	}
	return nanoseconds(func(number int) {
		var received control.Datagram
		if _, err := received.UnmarshalMsg(encoded[number%len(encoded)]); err != nil {
			panic("slopes: cannot decode a heartbeat: " + err.Error())
		}
		registry.Tick(0)
		grant, _ := registry.Receive(0, *received.Heartbeat)
		registry.Unavailable(0)
		encodeControl(&control.Datagram{Grant: &grant})
	})
}

func encodeControl(datagram *control.Datagram) []byte {
	encoded, err := datagram.MarshalMsg(nil)
	if err != nil {
		panic("slopes: cannot encode a control datagram: " + err.Error())
	}
	return encoded
}

// heardRegistry returns a registry that has heard the agents of one daemon, and
// their heartbeats.
func heardRegistry(rows int) (*control.Registry, []control.Heartbeat) {
	configuration := sampleTable(rows/rowsPerService, rowsPerService)
	registry := control.NewRegistry()
	registry.Tick(0)
	registry.Publish(0, configuration)
	heartbeats := heartbeatsOf(configuration, agentsOfDaemon)
	for _, heartbeat := range heartbeats {
		registry.Receive(0, heartbeat)
	}
	return registry, heartbeats
}

func timeOfUnavailable(rows int) float64 {
	registry, _ := heardRegistry(rows)
	return nanoseconds(func(int) { registry.Unavailable(0) })
}

func timeOfPublish(rows int) float64 {
	registry, _ := heardRegistry(rows)
	configuration := sampleTable(rows/rowsPerService, rowsPerService)
	return nanoseconds(func(int) { registry.Publish(0, configuration) })
}

// timeOfRebuild is a rebuild after the weight of one row has changed.
func timeOfRebuild(rows int) float64 {
	configuration := sampleTable(rows/rowsPerService, rowsPerService)
	built := lookup.Build(configuration, lookup.AllAlive)
	return nanoseconds(func(number int) {
		configuration.Backends[scattered(number, len(configuration.Backends))].Weight = uint32(rowWeight + number%rowWeight)
		built = lookup.Rebuild(built, configuration, lookup.AllAlive)
	})
}

func timeOfBuild(rows int) float64 {
	configuration := sampleTable(rows/rowsPerService, rowsPerService)
	return nanoseconds(func(int) { lookup.Build(configuration, lookup.AllAlive) })
}

func timeOfParse(rows int) float64 {
	encoded := encodeTable(rows)
	return nanoseconds(func(int) {
		if _, err := table.Parse(encoded); err != nil {
			panic("slopes: cannot parse a table: " + err.Error())
		}
	})
}

func encodeTable(rows int) []byte {
	encoded, err := sampleTable(rows/rowsPerService, rowsPerService).Encode()
	if err != nil {
		panic("slopes: cannot encode a table: " + err.Error())
	}
	return encoded
}

// timeOfConfigure installs views that differ in one weight.
func timeOfConfigure(rows int) float64 {
	machine := newMachine(rows, 1)
	configuration := sampleTable(1, rows)
	version := configuration.Version
	return nanoseconds(func(number int) {
		changed := append([]table.Backend(nil), configuration.Backends...)
		changed[number%rows].Weight = uint32(rowWeight + 1 + number%rowWeight)
		version++
		machine.Configure(readyAt, admission.View{Version: version, Service: 1, Rows: changed})
	})
}
