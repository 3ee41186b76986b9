// This file implements the callers' memory of their flows.

package hollow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/table"
)

type flowState uint8

const (
	flowFree flowState = iota
	flowOpening
	flowOpen
	// flowGivenUp: the caller has stopped sending its first packet.
	flowGivenUp
)

// flow is what a caller knows of its flow. There is one for every open flow of
// the fleet, so it is kept small.
type flow struct {
	sequence uint32
	row      table.BackendID
	// position is the flow's place in flowTable.open.
	position uint32
	// startedMillis is when the first packet was sent.
	startedMillis uint32
	service       uint16
	// generation tells apart successive uses of the record.
	generation uint16
	// process is the agent process that owns the flow.
	process  uint16
	state    flowState
	attempts uint8
}

// flowReference names one use of a record.
type flowReference struct {
	index      uint32
	generation uint16
}

// flowTable holds the flows of all callers.
type flowTable struct {
	flows []flow
	free  []uint32
	open  []uint32
}

// flowReserve is the part by which the table is larger than the open flows.
const flowReserve = 8

func newFlowTable(open int) *flowTable {
	return &flowTable{
		flows: make([]flow, 0, open+open/flowReserve),
		open:  make([]uint32, 0, open+open/flowReserve),
	}
}

// begin returns the record of a new flow.
func (t *flowTable) begin(service int, sequence uint32, now time.Duration) (flowReference, *flow) {
	if len(t.free) == 0 {
		t.flows = append(t.flows, flow{})
		t.free = append(t.free, uint32(len(t.flows)-1))
	}
	last := len(t.free) - 1
	index := t.free[last]
	t.free = t.free[:last]
	record := &t.flows[index]
	*record = flow{
		sequence:      sequence,
		startedMillis: uint32(now / time.Millisecond),
		service:       uint16(service),
		generation:    record.generation + 1,
		state:         flowOpening,
	}
	return flowReference{index, record.generation}, record
}

func (t *flowTable) opened(index uint32) {
	record := &t.flows[index]
	record.state = flowOpen
	record.position = uint32(len(t.open))
	t.open = append(t.open, index)
}

// release forgets a flow.
func (t *flowTable) release(index uint32) {
	record := &t.flows[index]
	if record.state == flowOpen {
		last := t.open[len(t.open)-1]
		t.open[record.position] = last
		t.flows[last].position = record.position
		t.open = t.open[:len(t.open)-1]
	}
	record.state = flowFree
	t.free = append(t.free, index)
}

// find returns the record, or nil if it has been given to another flow.
func (t *flowTable) find(reference flowReference) *flow {
	record := &t.flows[reference.index]
	if record.generation != reference.generation || record.state == flowFree {
		return nil
	}
	return record
}

// source returns the caller's address, from which referenceOf finds the record.
func (r flowReference) source() netip.AddrPort {
	var encoded [4]byte
	binary.BigEndian.PutUint32(encoded[:], r.index)
	return netip.AddrPortFrom(netip.AddrFrom4(encoded), r.generation)
}

func referenceOf(source netip.AddrPort) flowReference {
	encoded := source.Addr().As4()
	return flowReference{binary.BigEndian.Uint32(encoded[:]), source.Port()}
}

func (r flowReference) key() admission.FlowKey { return admission.KeyOf(r.source()) }
