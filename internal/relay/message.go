package relay

import (
	"encoding/binary"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:4096
//msgp:tuple Message Load Terms Cold Targets
//msgp:ignore ColdBound
//msgp:shim segment.Flags as:uint8 using:uint8/segment.Flags

// MaximumMessage bounds an encoded message in bytes.
const MaximumMessage = 2048

// Kind is the purpose of a message between a balancer and an agent.
type Kind uint8

// The kinds of messages.
const (
	// KindOffer carries an opening packet that the agent's endpoint may take.
	KindOffer Kind = iota
	// KindForward carries a packet of a flow that the agent is believed to
	// own.
	KindForward
	// KindLocate asks whether the agent owns a flow, of which the client has
	// acknowledged Acknowledgment.
	KindLocate
	// KindProbe carries a packet that the agent shall hand to its endpoint even
	// if it does not know the flow, provided that it was restarted. Any other
	// agent denies the flow.
	KindProbe
	// KindPlaced tells that the endpoint has answered an opening packet.
	KindPlaced
	// KindReturned brings back an opening packet that was not taken.
	KindReturned
	// KindOwned tells that the agent owns a flow.
	KindOwned
	// KindUncertain tells that the agent was restarted and does not know
	// whether its endpoint holds a flow.
	KindUncertain
	// KindUnknown brings back a packet of a flow that the agent does not own.
	KindUnknown
	// KindPing asks the agent whether it is there.
	KindPing
	// KindPong answers a ping, or tells that the endpoint's health has changed.
	KindPong
	// KindLeaving tells that the agent is about to stop.
	KindLeaving
	// KindDrain tells the agent that its endpoint must get no new flows.
	KindDrain
	// KindVerify asks as KindLocate does, and wants an answer in any case.
	KindVerify
	// KindDenied tells that the agent's endpoint does not hold a flow.
	KindDenied
	// KindSurvey makes an agent ask the agents in Targets, and itself, for the owner of
	// a flow: as KindProbe does if it carries a packet, else as KindVerify.
	KindSurvey
	// KindSurveyed tells what the agents of a survey have answered: all but those in
	// Unsure and Silent have denied the flow. Age is that of the oldest that answered.
	KindSurveyed
)

// Flow is the encoded form of a segment.FlowKey.
type Flow [flowSize]byte

const flowSize = 12

// FlowOf encodes a flow key.
func FlowOf(key segment.FlowKey) Flow {
	var encoded Flow
	copy(encoded[0:], key.Client.IP[:])
	binary.BigEndian.PutUint16(encoded[4:], key.Client.Port)
	copy(encoded[6:], key.Service.IP[:])
	binary.BigEndian.PutUint16(encoded[10:], key.Service.Port)
	return encoded
}

// Key decodes the flow key.
func (f Flow) Key() segment.FlowKey {
	return segment.FlowKey{
		Client:  segment.Address{IP: [4]byte(f[0:4]), Port: binary.BigEndian.Uint16(f[4:])},
		Service: segment.Address{IP: [4]byte(f[6:10]), Port: binary.BigEndian.Uint16(f[10:])},
	}
}

// EncodedAddress is the encoded form of a segment.Address, empty for none.
type EncodedAddress []byte

// EncodeAddress encodes an address.
func EncodeAddress(address segment.Address) EncodedAddress {
	return binary.BigEndian.AppendUint16(append(EncodedAddress(nil), address.IP[:]...), address.Port)
}

const encodedAddressSize = 6

// Address decodes the address. It is zero for none.
func (e EncodedAddress) Address() segment.Address {
	if len(e) != encodedAddressSize {
		return segment.Address{}
	}
	return segment.Address{IP: [4]byte(e[:4]), Port: binary.BigEndian.Uint16(e[4:])}
}

// Targets are agents that a survey asks: those of endpoints that are taken for
// endpoints of one service. They listen on one port.
type Targets struct {
	Service string
	Port    uint16
	// IPs are the addresses, four bytes each.
	IPs []byte
}

const ipSize = 4

// Addresses returns the addresses of the agents. Bytes after the last whole one are
// ignored.
func (t Targets) Addresses() []segment.Address {
	addresses := make([]segment.Address, 0, len(t.IPs)/ipSize)
	for rest := t.IPs; len(rest) >= ipSize; rest = rest[ipSize:] {
		addresses = append(addresses, segment.Address{IP: [4]byte(rest[:ipSize]), Port: t.Port})
	}
	return addresses
}

// appendTarget adds an agent to the group of its service and port.
func appendTarget(groups []Targets, service string, agent segment.Address) []Targets {
	for index := range groups {
		if groups[index].Service == service && groups[index].Port == agent.Port {
			groups[index].IPs = append(groups[index].IPs, agent.IP[:]...)
			return groups
		}
	}
	return append(groups, Targets{Service: service, Port: agent.Port, IPs: agent.IP[:]})
}

// addressesOf returns the addresses of all agents in groups.
func addressesOf(groups []Targets) []segment.Address {
	var addresses []segment.Address
	for _, group := range groups {
		addresses = append(addresses, group.Addresses()...)
	}
	return addresses
}

// Load is how busy an agent's endpoint is.
type Load struct {
	// Running is the number of flows that are open or about to be.
	Running uint32
	// Waiting is the number of requests that the agent holds back.
	Waiting uint32
	// Refusing is set if the endpoint gets no new flows.
	Refusing bool
	// Pace is how long the endpoint usually works on a request, in microseconds; 0 means
	// that this is not known.
	Pace uint32
	// Hold is how long a cold endpoint takes no further request, in milliseconds.
	Hold uint32
	// Report is how well the endpoint is, as the balancer's clients see it.
	Report outlier.Report
	// Used is the number of requests that the endpoint works on or that wait for it and can be
	// in time, with those that are about to come in flows which are just being opened.
	Used uint32
}

// Terms tell an agent what a flow needs and what its endpoint can do.
type Terms struct {
	// Slots is how many requests the endpoint works on at the same time; 0
	// means that this is not known.
	Slots uint32
	// Priority orders flows under overload; 0 is served first.
	Priority uint8
	// Target is the latency objective and Timeout the longest useful time of a
	// request, in milliseconds.
	Target  uint32
	Timeout uint32
	// Waited is for how long the client had tried to open the flow, in milliseconds.
	Waited uint32
	// Cold is set in offers.
	Cold Cold
}

// Cold tells an agent what its endpoint carries after a start, and whether that was one.
type Cold struct {
	// Rate is how many thousandths of a request a second it carries; 0 means no limit.
	Rate uint32
	// Lasts is how long it is cold after a start, in milliseconds.
	Lasts uint32
	// Remains is for how much longer it is cold, in milliseconds, as it was told at a
	// revision of the store.
	Remains uint32
	Told    uint64
}

// Message is what balancers and agents send each other.
type Message struct {
	Kind Kind
	// Service is the service that the balancer takes the endpoint for.
	Service string
	// Flow is set in messages about a flow that carry no packet.
	Flow Flow
	// Sequence is the client's initial sequence number, in messages about an
	// opening packet, and the number of a survey.
	Sequence uint32
	// Acknowledgment and Flags are those of the client's packet whose owner is
	// sought.
	Acknowledgment uint32
	Flags          segment.Flags
	// LastResort tells in an offer that no other endpoint takes the flow, and in a
	// return that the endpoint would take it then.
	LastResort bool
	// Insist tells in an offer that the endpoint shall get the flow although its agent
	// holds it back, since the others of its service do no better.
	Insist bool
	// Zone is that of the balancer's clients, in offers.
	Zone string
	// Age is how long the agent has been there, in KindUncertain and KindDenied.
	Age time.Duration
	// ReplyTo is set in what another agent asks for a balancer: the owner answers
	// there, the others the sender.
	ReplyTo EncodedAddress
	// Targets are the agents to ask in KindSurvey. In KindSurveyed, Unsure are those
	// that do not know and Silent those that have not answered.
	Targets []Targets
	Unsure  []Targets
	Silent  []Targets
	// Terms are set in offers.
	Terms Terms
	// Load is set in messages of agents.
	Load Load
	// Packet is a client's packet as it was sent.
	Packet []byte
}
