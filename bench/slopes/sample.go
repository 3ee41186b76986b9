// This file implements the tables and packets that measurements use.

package slopes

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	callerNetwork  = 10 << 24
	agentNetwork   = 11 << 24
	serviceNetwork = 12 << 24
	agentPort      = 6081
	servicePort    = 443
	rowWeight      = 100
)

func addressOf(network uint32, index int, port uint16) netip.AddrPort {
	var encoded [4]byte
	binary.BigEndian.PutUint32(encoded[:], network+uint32(index)+1)
	return netip.AddrPortFrom(netip.AddrFrom4(encoded), port)
}

// sampleTable returns a table with equal services, whose rows are numbered from
// 1 on in the order of services.
func sampleTable(services, rowsPerService int) *table.Table {
	sample := &table.Table{Version: 1}
	for index := range services {
		id := table.ServiceID(index + 1)
		sample.Services = append(sample.Services, table.Service{
			ID:       id,
			Name:     fmt.Sprintf("transcription-%d", index),
			Address:  table.Endpoint(addressOf(serviceNetwork, index, servicePort).String()),
			Protocol: table.ProtocolTCP,
			Owner:    fmt.Sprintf("team-%d", index%100),
		})
		for row := range rowsPerService {
			sample.Backends = append(sample.Backends, sampleRow(id, row, len(sample.Backends)))
		}
	}
	return sample
}

func sampleRow(service table.ServiceID, row, index int) table.Backend {
	return table.Backend{
		ID:              table.BackendID(index + 1),
		Service:         service,
		Name:            fmt.Sprintf("transcription-%d-%d", service, row),
		Incarnation:     1,
		Agent:           table.Endpoint(addressOf(agentNetwork, index, agentPort).String()),
		Weight:          rowWeight,
		ConnectionLimit: 2000,
	}
}

// flowTo returns the flow of a caller to a service.
func flowTo(service, caller int) packet.Flow {
	const portBits = 15
	return packet.Flow{
		Source:      addressOf(callerNetwork, caller>>portBits, uint16(caller&(1<<portBits-1))+1),
		Destination: addressOf(serviceNetwork, service, servicePort),
		Protocol:    table.ProtocolTCP,
	}
}

// machineRow is the row of the machines that are measured.
const machineRow table.BackendID = 1

// readyAt is a time at which a machine of newMachine is no longer in doubt about
// earlier views.
const readyAt = time.Minute

// newMachine returns a machine of the first row of a service, with a lease.
func newMachine(rows, flowLimit int) *admission.Machine {
	config := admission.DefaultConfig(machineRow)
	config.FlowLimit = flowLimit
	machine := admission.New(config)
	sample := sampleTable(1, rows)
	for index := range sample.Backends {
		sample.Backends[index].ConnectionLimit = 0
	}
	machine.Renew(0, time.Hour)
	machine.Configure(0, admission.View{Version: sample.Version, Service: 1, Rows: sample.Backends})
	return machine
}

// packetOf returns a caller's packet to the first service.
func packetOf(caller int, opening bool) admission.Packet {
	return admission.Packet{
		Summary: packet.Summary{Flow: flowTo(0, caller), Opening: opening, Sequence: uint32(caller)},
		Routing: encap.Routing{Version: 1, Backend: machineRow, Incarnation: 1},
	}
}

// handedOver returns the first packet of a flow that its primary has given to
// the row, which opens it without asking.
func handedOver(caller int) admission.Packet {
	opening := packetOf(caller, true)
	opening.Routing.HandedOver = true
	return opening
}

// fill opens flows numbered from 0 on.
func fill(machine *admission.Machine, flows int) {
	for caller := range flows {
		machine.Arrive(readyAt, handedOver(caller))
	}
	if machine.Open() != uint32(flows) {
		panic(fmt.Sprintf("slopes: %d of %d flows opened", machine.Open(), flows))
	}
}

// scattered visits numbers below size, a power of two or not, in an order that
// defeats caches.
func scattered(number, size int) int {
	const largePrime = 1_000_003
	return int(uint64(number) * largePrime % uint64(size))
}
