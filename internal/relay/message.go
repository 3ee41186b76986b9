package relay

import (
	"encoding/binary"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:4096
//msgp:tuple Message Load FlowParameters ColdStart AgentGroup
//msgp:ignore ColdStartLimit
//msgp:shim segment.Flags as:uint8 using:uint8/segment.Flags

// MaxMessageSize bounds an encoded message in bytes.
const MaxMessageSize = 2048

// MessageKind is the purpose of a message between a balancer and an agent.
type MessageKind uint8

// The kinds of messages.
const (
	// KindOffer carries an opening packet that the agent's endpoint may take.
	KindOffer MessageKind = iota
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
	// KindNotOwned brings back a packet of a flow that the agent does not own.
	KindNotOwned
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
	// KindSurveyResult tells what the agents of a survey have answered: all but those in
	// Unsure and Silent have denied the flow. Age is that of the oldest that answered.
	KindSurveyResult
)

// EncodedFlow is the encoded form of a segment.FlowKey.
type EncodedFlow [flowSize]byte

const flowSize = 12

// EncodeFlow encodes a flow key.
func EncodeFlow(key segment.FlowKey) EncodedFlow {
	var encoded EncodedFlow
	copy(encoded[0:], key.Client.IP[:])
	binary.BigEndian.PutUint16(encoded[4:], key.Client.Port)
	copy(encoded[6:], key.Service.IP[:])
	binary.BigEndian.PutUint16(encoded[10:], key.Service.Port)
	return encoded
}

// Key decodes the flow key.
func (f EncodedFlow) Key() segment.FlowKey {
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

// AgentGroup are agents that a survey asks: those of endpoints that are taken for
// endpoints of one service. They listen on one port.
type AgentGroup struct {
	Service string
	Port    uint16
	// IPs are the addresses, four bytes each.
	IPs []byte
}

const ipSize = 4

// Addresses returns the addresses of the agents. Bytes after the last whole one are
// ignored.
func (t AgentGroup) Addresses() []segment.Address {
	addresses := make([]segment.Address, 0, len(t.IPs)/ipSize)
	for rest := t.IPs; len(rest) >= ipSize; rest = rest[ipSize:] {
		addresses = append(addresses, segment.Address{IP: [4]byte(rest[:ipSize]), Port: t.Port})
	}
	return addresses
}

// appendTarget adds an agent to the group of its service and port.
func appendTarget(groups []AgentGroup, service string, agent segment.Address) []AgentGroup {
	for index := range groups {
		if groups[index].Service == service && groups[index].Port == agent.Port {
			groups[index].IPs = append(groups[index].IPs, agent.IP[:]...)
			return groups
		}
	}
	return append(groups, AgentGroup{Service: service, Port: agent.Port, IPs: agent.IP[:]})
}

// addressesOf returns the addresses of all agents in groups.
func addressesOf(groups []AgentGroup) []segment.Address {
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
	// ServiceTime is how long the endpoint usually works on a request, in microseconds; 0 means
	// that this is not known.
	ServiceTime uint32
	// ColdWait is how long a cold endpoint takes no further request, in milliseconds.
	ColdWait uint32
	// Report is how well the endpoint is, as the balancer's clients see it.
	Report outlier.Report
	// Pending is the number of requests that the endpoint works on or that wait for it and can be
	// in time, with those that are about to come in flows which are just being opened.
	Pending uint32
}

// FlowParameters tell an agent what a flow needs and what its endpoint can do.
type FlowParameters struct {
	// Slots is how many requests the endpoint works on at the same time; 0
	// means that this is not known.
	Slots uint32
	// Priority orders flows under overload; 0 is served first.
	Priority uint8
	// LatencyTarget is the latency objective and Timeout the longest useful time of a
	// request, in milliseconds.
	LatencyTarget uint32
	Timeout       uint32
	// Waited is for how long the client had tried to open the flow, in milliseconds.
	Waited uint32
	// ColdStart is set in offers.
	ColdStart ColdStart
}

// ColdStart tells an agent what its endpoint carries after a start, and whether that was one.
type ColdStart struct {
	// Rate is how many thousandths of a request a second it carries; 0 means no limit.
	Rate uint32
	// WarmupTime is how long it is cold after a start, in milliseconds.
	WarmupTime uint32
	// Remaining is for how much longer it is cold, in milliseconds, as it was told at a
	// revision of the store.
	Remaining uint32
	Revision  uint64
}

// Message is what balancers and agents send each other.
type Message struct {
	Kind MessageKind
	// Service is the service that the balancer takes the endpoint for.
	Service string
	// Flow is set in messages about a flow that carry no packet.
	Flow EncodedFlow
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
	// IgnoreEjection tells in an offer that the endpoint shall get the flow although its agent
	// holds it back, since the others of its service do no better.
	IgnoreEjection bool
	// Zone is that of the balancer's clients, in offers.
	Zone string
	// Uptime is how long the agent has been there, in KindUncertain and KindDenied.
	Uptime time.Duration
	// ReplyTo is set in what another agent asks for a balancer: the owner answers
	// there, the others the sender.
	ReplyTo EncodedAddress
	// Targets are the agents to ask in KindSurvey. In KindSurveyed, Unsure are those
	// that do not know and Silent those that have not answered.
	Targets      []AgentGroup
	Uncertain    []AgentGroup
	Unresponsive []AgentGroup
	// Parameters are set in offers.
	Parameters FlowParameters
	// Load is set in messages of agents.
	Load Load
	// Packet is a client's packet as it was sent.
	Packet []byte
}
