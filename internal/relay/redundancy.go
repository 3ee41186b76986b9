package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// lossWeight is the weight of one offer in the estimate of losses: some 60 offers
	// count, which a balancer makes in a few seconds.
	lossWeight = 1.0 / 64
	// lossToRepeat is the share of offers lost, or their answers, from which packets of
	// requests are sent twice, and lossToStop that below which they are not any more. On a
	// network that loses 1.5 packets in a thousand on each hop two losses by chance among
	// 60 offers turn it on for some seconds: one of 16 balancers each three seconds.
	lossToRepeat = 0.02
	lossToStop   = 0.01
	// lossMemory is how long after an offer without an answer its agent has to be heard
	// for the offer to have been lost: else the agent was away.
	lossMemory = time.Second
	// lostLimit bounds the offers without an answer that are remembered of one agent.
	lostLimit = 16
)

// unansweredOffer is an offer that got no answer in time.
type unansweredOffer struct {
	at   time.Duration
	flow segment.FlowKey
}

// redundancy tells whether packets of requests are sent twice between daemons, and answers
// to opening packets to clients: forward error correction with the simplest of codes (Luby
// et al., RFC 3453). An end would send a lost one again after 200 ms, which is most of a
// client's latency objective. Opening packets need no copy: a further offer is made.
//
// On links that lose one packet in fifty 152 of 29,000 requests were late instead of 310, and
// 1,265 instead of 1,897 with machines that are slow or killed as well, for as much
// processor time and as many bytes between zones (62 emulated machines).
type redundancy struct {
	// lost is the share of offers that were lost, of late.
	lost    float64
	repeats bool
}

// observe takes account of an offer that was answered or lost.
func (r *redundancy) observe(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	r.lost += lossWeight * (sample - r.lost)
	switch {
	case r.lost >= lossToRepeat:
		r.repeats = true
	case r.lost < lossToStop:
		r.repeats = false
	}
}

// noteUnanswered remembers an offer that got no answer in time.
func (h *health) noteUnanswered(now time.Duration, flow segment.FlowKey) {
	if len(h.unanswered) < lostLimit {
		h.unanswered = append(h.unanswered, unansweredOffer{now, flow})
	}
}

// answeredLate forgets an offer whose answer has come after all: its agent is slow, and
// copies would make it slower.
func (h *health) answeredLate(flow segment.FlowKey) {
	h.unanswered = slices.DeleteFunc(h.unanswered, func(each unansweredOffer) bool { return each.flow == flow })
}

// noteAnswer takes account of an agent's answer to the offer of a flow.
func (b *Balancer) noteAnswer(now time.Duration, known *health, flow segment.FlowKey) {
	known.answeredLate(flow)
	before := b.redundancy.repeats
	b.redundancy.observe(false)
	for _, each := range known.unanswered {
		if now-each.at < lossMemory {
			b.redundancy.observe(true)
		}
	}
	known.unanswered = known.unanswered[:0]
	if before != b.redundancy.repeats {
		b.event(Event{Kind: EventRedundancy, Reason: reasonOfRedundancy(b.redundancy.repeats)})
	}
}

// answeredElsewhere notes that an agent has answered the offer of a flow that was offered to
// another since.
func (b *Balancer) answeredElsewhere(from segment.Address, flow segment.FlowKey) {
	if candidate, exists := b.snapshot.At(from.IP); exists {
		b.healthOf(candidate.ID).answeredLate(flow)
	}
}

func reasonOfRedundancy(repeats bool) string {
	if repeats {
		return "losses"
	}
	return "no_losses"
}

// forward sends the owner of a flow a client's packet, twice if packets are lost and the
// client would notice soon.
func (b *Balancer) forward(known *balancerFlow, header segment.Header, packet []byte) {
	message := Message{Kind: KindForward, Service: known.service, Packet: packet}
	b.send(known.agent, message)
	if b.redundancy.repeats && header.Length > 0 {
		message.Copy = true
		b.send(known.agent, message)
	}
}
