// This file implements the measurements of memory.

package slopes

import (
	"runtime"
	"time"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	costHeap       = "heap bytes"
	rowsPerService = 8
)

func memoryExperiments() []experiment {
	flows := []int{12_500, 25_000, 50_000, 100_000, 200_000}
	fleetRows := []int{1600, 3200, 6400, 12_000}
	return []experiment{
		{"open flow", costHeap, "open flows of an agent", flows, exactly(heapOfFlows)},
		{"remote flow", costHeap, "flows an agent passes along", flows, exactly(heapOfRemoteFlows)},
		{"table row", costHeap, "rows", fleetRows, exactly(heapOfTable)},
		{"lookup service", costHeap, "services of 8 rows", []int{188, 375, 750, 1500}, exactly(heapOfLookup)},
		{"lookup row", costHeap, "rows of one service", []int{8, 16, 32, 64, 128}, exactly(heapOfLookupService)},
		{"registry row", costHeap, "rows of the table, 22 agents heard", fleetRows, exactly(heapOfRegistryRows)},
		{"registry agent", costHeap, "agents heard, 12,000 rows", []int{750, 1500, 3000, 6000, 12_000}, exactly(heapOfRegistryAgents)},
		{"view row", costHeap, "rows of an agent's service", []int{8, 16, 32, 64, 128}, exactly(heapOfView)},
	}
}

// floodExperiments are costs that stop growing.
func floodExperiments() []experiment {
	packets := []int{1000, 10_000, 100_000, 1_000_000}
	return []experiment{
		{"flood", costHeap, "spoofed first packets", packets, exactly(heapOfFlood)},
		{"flood unanswered", costHeap, "spoofed first packets", packets, exactly(heapOfUnansweredFlood)},
	}
}

func heapOfFlows(flows int) float64 {
	return heapOf(func() any {
		machine := newMachine(1, flows)
		fill(machine, flows)
		return machine
	})
}

func heapOfRemoteFlows(flows int) float64 {
	return heapOf(func() any {
		machine := newMachine(2, flows)
		fillRemote(machine, flows)
		return machine
	})
}

// fillRemote makes a machine remember flows of the other row, as it does when
// it is asked on a packet of such a flow.
func fillRemote(machine *admission.Machine, flows int) {
	for caller := range flows {
		asked := packetOf(caller, false)
		machine.Arrive(readyAt, asked)
		machine.Receive(readyAt, admission.Message{From: 2, To: machineRow, Reply: &admission.Reply{
			Flow:    admission.KeyOf(asked.Summary.Flow.Source),
			Purpose: admission.PurposeLocate,
			Answer:  admission.AnswerOwned,
			Owner:   2,
		}})
	}
	if machine.Flows() != flows {
		panic("slopes: the machine did not take the owner from the reply")
	}
}

func heapOfTable(rows int) float64 {
	return heapOf(func() any { return sampleTable(rows/rowsPerService, rowsPerService) })
}

func heapOfLookup(services int) float64 {
	configuration := sampleTable(services, rowsPerService)
	heap := heapOf(func() any { return lookup.Build(configuration, lookup.AllAlive) })
	runtime.KeepAlive(configuration)
	return heap
}

func heapOfLookupService(rows int) float64 {
	configuration := sampleTable(1, rows)
	heap := heapOf(func() any { return lookup.Build(configuration, lookup.AllAlive) })
	runtime.KeepAlive(configuration)
	return heap
}

func heapOfRegistryRows(rows int) float64 { return heapOfRegistry(rows, agentsOfDaemon) }

func heapOfRegistryAgents(agents int) float64 { return heapOfRegistry(targetAgents, agents) }

// heapOfRegistry measures the registry without the table that it refers to.
func heapOfRegistry(rows, agents int) float64 {
	configuration := sampleTable(rows/rowsPerService, rowsPerService)
	heartbeats := heartbeatsOf(configuration, agents)
	heap := heapOf(func() any {
		registry := control.NewRegistry()
		registry.Tick(0)
		registry.Publish(0, configuration)
		for _, heartbeat := range heartbeats {
			registry.Receive(0, heartbeat)
		}
		return registry
	})
	runtime.KeepAlive(configuration)
	runtime.KeepAlive(heartbeats)
	return heap
}

// heartbeatsOf returns a heartbeat of each of the first agents of a table.
func heartbeatsOf(configuration *table.Table, agents int) []control.Heartbeat {
	heartbeats := make([]control.Heartbeat, 0, agents)
	for index := range min(agents, len(configuration.Backends)) {
		heartbeats = append(heartbeats, control.Heartbeat{
			Agent:    configuration.Backends[index].Agent,
			Start:    uint64(time.Hour),
			Sequence: 100_000,
			Version:  configuration.Version,
		})
	}
	return heartbeats
}

func heapOfView(rows int) float64 {
	return heapOf(func() any { return newMachine(rows, 1) })
}

// heapOfFlood opens every flow of a flood, as when the agents asked answer.
func heapOfFlood(packets int) float64 {
	return heapOf(func() any {
		machine := newMachine(1, admission.DefaultConfig(machineRow).FlowLimit)
		for caller := range packets {
			machine.Arrive(readyAt, handedOver(caller))
		}
		return machine
	})
}

// heapOfUnansweredFlood leaves every flow of a flood undecided, as when the
// agents asked do not answer.
func heapOfUnansweredFlood(packets int) float64 {
	return heapOf(func() any {
		machine := newMachine(rowsPerService, admission.DefaultConfig(machineRow).FlowLimit)
		for caller := range packets {
			opening := packetOf(caller, true)
			opening.Data = make([]byte, floodPacketSize)
			machine.Arrive(readyAt, opening)
		}
		return machine
	})
}

// floodPacketSize is the size of a SYN with the usual options.
const floodPacketSize = 60
