// This file implements the callers: they open flows, send packets on open ones
// and close them.

package hollow

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// trafficInterval is the time between batches of packets.
	trafficInterval = time.Millisecond
	// packetSize is the size of every caller's packet in bytes.
	packetSize = 64
)

// retransmission is the time after the n-th first packet of a flow at which
// the caller sends another one, doubled each time as TCP does (RFC 6298).
var retransmission = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// waiting is a flow whose caller looks later whether it has been opened.
type waiting struct {
	reference flowReference
	due       time.Duration
}

// traffic is the state of all callers.
type traffic struct {
	fleet *fleet
	flows *flowTable
	// waiting holds, for each attempt, the flows in the order of their due
	// times.
	waiting [len(retransmission)]fifo
	probes  probes
	// owed are the parts of flows and probes that earlier batches left out.
	owedOpen  float64
	owedClose float64
	owedProbe float64
}

func newTraffic(owner *fleet) *traffic {
	return &traffic{fleet: owner, flows: newFlowTable(owner.options.OpenFlows)}
}

// fifo is a queue whose memory is reused.
type fifo struct {
	items []waiting
	head  int
}

func (q *fifo) push(added waiting) {
	if q.head > len(q.items)/2 {
		remaining := copy(q.items, q.items[q.head:])
		q.items = q.items[:remaining]
		q.head = 0
	}
	q.items = append(q.items, added)
}

// take removes the first item if it is due.
func (q *fifo) take(now time.Duration) (waiting, bool) {
	if q.head == len(q.items) || q.items[q.head].due > now {
		return waiting{}, false
	}
	q.head++
	return q.items[q.head-1], true
}

// batch sends what is due in one interval and schedules the next batch.
func (t *traffic) batch() {
	now := t.fleet.network.Now()
	options := t.fleet.options
	t.retransmit(now)
	t.open(now, t.due(&t.owedOpen, t.openRate(now)))
	if t.fleet.measuring {
		t.close(now, t.due(&t.owedClose, float64(options.NewFlows)))
		t.probe(now, t.due(&t.owedProbe, float64(options.Probes)))
	}
	t.fleet.network.At(now+trafficInterval, t.batch)
}

// openRate returns the flows to open a second.
func (t *traffic) openRate(now time.Duration) float64 {
	options := t.fleet.options
	if now < options.Starting+options.Filling {
		return float64(options.OpenFlows) / options.Filling.Seconds()
	}
	return float64(options.NewFlows)
}

func (t *traffic) due(owed *float64, rate float64) int {
	*owed += rate * trafficInterval.Seconds()
	whole := int(*owed)
	*owed -= float64(whole)
	return whole
}

func (t *traffic) open(now time.Duration, count int) {
	for range count {
		service := t.fleet.random.IntN(len(t.fleet.services))
		reference, record := t.flows.begin(service, t.fleet.random.Uint32(), now)
		t.fleet.tally.Offered++
		t.sendFirst(now, reference, record)
	}
}

func (t *traffic) sendFirst(now time.Duration, reference flowReference, record *flow) {
	t.waiting[record.attempts].push(waiting{reference, now + retransmission[record.attempts]})
	record.attempts++
	t.send(reference, record, packet.Summary{Opening: true, Sequence: record.sequence})
}

// retransmit sends the first packet again of flows that have not been opened.
func (t *traffic) retransmit(now time.Duration) {
	for attempt := range t.waiting {
		for {
			due, exists := t.waiting[attempt].take(now)
			if !exists {
				break
			}
			record := t.flows.find(due.reference)
			if record == nil || record.state != flowOpening {
				continue
			}
			if int(record.attempts) < len(retransmission) {
				t.fleet.tally.Retransmitted++
				t.sendFirst(now, due.reference, record)
				continue
			}
			// The record is not used again: the flow may still be opened.
			record.state = flowGivenUp
			t.fleet.tally.NeverOpened++
		}
	}
}

// send passes a packet through a balancer that the fabric chooses at random. It
// returns false if no balancer routes it.
func (t *traffic) send(reference flowReference, record *flow, summary packet.Summary) bool {
	service := t.fleet.services[record.service]
	summary.Flow = packet.Flow{Source: reference.source(), Destination: service.address, Protocol: table.ProtocolTCP}
	balancer := t.fleet.balancerOf(service)
	if balancer == nil || t.fleet.network.Stopped(balancer.id) || balancer.built == nil {
		t.fleet.tally.NoBalancer++
		return false
	}
	target, outcome := balancer.built.Find(&summary.Flow)
	if outcome != lookup.Routed {
		t.fleet.tally.NotRouted++
		return false
	}
	sent := &admission.Packet{Summary: summary, Routing: encap.Routing{
		Version:     balancer.built.Version(),
		Backend:     target.Backend,
		Incarnation: target.Incarnation,
	}}
	receiver := t.fleet.agentOf(target.Backend).id
	t.fleet.network.Send(balancer.id, receiver, simnet.Payload, packetSize, message{packet: sent})
	return true
}

// fabricInterval is how often the fabric looks which daemons are there.
const fabricInterval = time.Second

// updateFabric renews the daemons that the fabric sends to, those that run and
// have a table.
func (f *fleet) updateFabric() {
	for region, daemons := range f.regions {
		ready := f.sprayed[region][:0]
		for _, candidate := range daemons {
			if !f.network.Stopped(candidate.id) && candidate.built != nil {
				ready = append(ready, candidate)
			}
		}
		f.sprayed[region] = ready
	}
	f.network.At(f.network.Now()+fabricInterval, f.updateFabric)
}

// balancerOf returns a random daemon of the service's regions, or nil if the
// fabric knows of none.
func (f *fleet) balancerOf(receiver *service) *daemon {
	region := receiver.regions[f.random.IntN(len(receiver.regions))]
	candidates := f.sprayed[region]
	if len(candidates) == 0 {
		return nil
	}
	return candidates[f.random.IntN(len(candidates))]
}

// close ends randomly chosen flows, so that the length of flows is exponential.
func (t *traffic) close(now time.Duration, count int) {
	for range min(count, len(t.flows.open)) {
		index := t.flows.open[t.fleet.random.IntN(len(t.flows.open))]
		record := &t.flows.flows[index]
		owner := t.fleet.agentOf(record.row)
		if t.lost(owner, record) {
			t.fleet.tally.LostWithAgent++
		} else {
			owner.machine.Closed(now, flowReference{index, record.generation}.key(), record.sequence)
			t.fleet.tally.Closed++
		}
		t.flows.release(index)
	}
}

// lost reports whether the process that owned the flow has ended.
func (t *traffic) lost(owner *agent, record *flow) bool {
	return record.process != owner.process || t.fleet.network.Stopped(owner.id)
}

// delivered handles a packet that a row gave to its transport stack.
func (t *traffic) delivered(now time.Duration, receiver *agent, delivered *admission.Packet) {
	reference := referenceOf(delivered.Summary.Flow.Source)
	record := t.flows.find(reference)
	if record == nil {
		return
	}
	if !delivered.Summary.Opening {
		t.probes.delivered(delivered.Summary.Sequence, receiver.row == record.row)
		return
	}
	key := reference.key()
	if sequence, open := receiver.machine.Owned(key); !open || sequence != record.sequence {
		// The transport stack challenges it; it opens nothing.
		return
	}
	switch record.state {
	case flowOpening:
		t.opened(now, reference, record, receiver)
	case flowOpen:
		if record.row != receiver.row && !t.lost(t.fleet.agentOf(record.row), record) {
			t.fleet.tally.OpenedTwice++
		}
	case flowGivenUp:
		receiver.machine.Refused(now, key, record.sequence)
	}
}

func (t *traffic) opened(now time.Duration, reference flowReference, record *flow, receiver *agent) {
	record.row = receiver.row
	record.process = receiver.process
	t.flows.opened(reference.index)
	t.fleet.tally.Opened++
	if t.fleet.measuring {
		took := now - time.Duration(record.startedMillis)*time.Millisecond
		t.fleet.tally.recordOpening(took)
	}
}

// reset handles the refusal of a packet.
func (t *traffic) reset(refused *admission.Packet) {
	if !refused.Summary.Opening {
		t.probes.ended(refused.Summary.Sequence, probeReset)
		return
	}
	reference := referenceOf(refused.Summary.Flow.Source)
	record := t.flows.find(reference)
	if record == nil || record.state != flowOpening {
		return
	}
	t.fleet.tally.Refused++
	t.flows.release(reference.index)
}

// dropped handles a packet that a machine discarded.
func (t *traffic) dropped(reason admission.DropReason, discarded *admission.Packet) {
	if discarded.Summary.Opening {
		t.fleet.tally.countDrop(reason)
		return
	}
	t.probes.ended(discarded.Summary.Sequence, reason.String())
}
