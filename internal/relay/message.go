package relay

import (
	"encoding/binary"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:4096
//msgp:tuple Message Load FlowParameters ColdStart AgentGroup
//msgp:ignore ColdStartLimit
//msgp:shim segment.Flags as:uint8 using:uint8/segment.Flags

// MaxMessageSize is the maximum size of an encoded message in bytes.
const MaxMessageSize = 2048

// MessageKind is the purpose of a message between a balancer and an agent.
type MessageKind uint8

// The kinds of messages.
const (
	// KindOffer carries an opening packet that the agent's endpoint may accept.
	KindOffer MessageKind = iota
	// KindForward carries a packet of a flow whose owner, according to the sender, is the agent.
	KindForward
	// KindLocate asks whether the agent owns a flow. Acknowledgment and Flags are those of a packet
	// of the client. An agent replies only if it owns the flow or may own it.
	KindLocate
	// KindProbe carries a packet of an unknown flow. An agent that has restarted hands it to its
	// endpoint to find out whether the endpoint holds the flow. Any other agent denies the flow.
	KindProbe
	// KindPlaced reports that the endpoint has answered an opening packet.
	KindPlaced
	// KindReturned sends back an opening packet that was not accepted.
	KindReturned
	// KindOwned reports that the agent owns a flow.
	KindOwned
	// KindUncertain reports that the agent has restarted and is uncertain whether its endpoint
	// holds a flow.
	KindUncertain
	// KindNotOwned sends back a packet of a flow that the agent does not own.
	KindNotOwned
	// KindPing asks the agent for a KindPong.
	KindPing
	// KindPong answers a ping, or reports that the endpoint's health has changed.
	KindPong
	// KindLeaving reports that the agent is about to stop.
	KindLeaving
	// KindDrain notifies the agent that its endpoint must not get new flows.
	KindDrain
	// KindVerify asks the same as KindLocate, but every agent replies.
	KindVerify
	// KindDenied reports that the agent's endpoint does not hold a flow.
	KindDenied
	// KindSurvey makes an agent ask the agents in Targets, and itself, for the owner of a flow. It
	// asks by KindProbe if the message carries a packet, else by KindVerify.
	KindSurvey
	// KindSurveyResult reports the replies to a survey. All agents asked have denied the flow
	// except those in Uncertain and Unresponsive. Registered is set if it is for all of those that
	// replied.
	KindSurveyResult
	// KindRegister makes the agent known to a balancer. One balancer passes it on to others with the
	// agent in ReplyTo.
	KindRegister
	// KindRegistered confirms a registration to its agent.
	KindRegistered
)

// EncodedFlow is the encoded form of a segment.FlowKey.
type EncodedFlow [encodedFlowSize]byte

const encodedFlowSize = 12

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

// EncodedAddress is the encoded form of a segment.Address. It is empty for no address.
type EncodedAddress []byte

// EncodeAddress encodes an address.
func EncodeAddress(address segment.Address) EncodedAddress {
	return binary.BigEndian.AppendUint16(append(EncodedAddress(nil), address.IP[:]...), address.Port)
}

const encodedAddressSize = 6

// Address decodes the address. It returns the zero address for an empty or invalid encoding.
func (e EncodedAddress) Address() segment.Address {
	if len(e) != encodedAddressSize {
		return segment.Address{}
	}
	return segment.Address{IP: [4]byte(e[:4]), Port: binary.BigEndian.Uint16(e[4:])}
}

// AgentGroup lists agents whose endpoints, according to the balancer, belong to one service. All
// listen on the same port.
type AgentGroup struct {
	Service string
	Port    uint16
	// IPs are the IPv4 addresses of the agents, four bytes each.
	IPs []byte
}

const ipv4Size = 4

// Addresses returns the addresses of the agents. It ignores an incomplete address at the end of
// IPs.
func (g AgentGroup) Addresses() []segment.Address {
	addresses := make([]segment.Address, 0, len(g.IPs)/ipv4Size)
	for rest := g.IPs; len(rest) >= ipv4Size; rest = rest[ipv4Size:] {
		addresses = append(addresses, segment.Address{IP: [4]byte(rest[:ipv4Size]), Port: g.Port})
	}
	return addresses
}

// appendToGroup adds an agent to the group of its service and port.
func appendToGroup(groups []AgentGroup, service string, agent segment.Address) []AgentGroup {
	for index := range groups {
		if groups[index].Service == service && groups[index].Port == agent.Port {
			groups[index].IPs = append(groups[index].IPs, agent.IP[:]...)
			return groups
		}
	}
	return append(groups, AgentGroup{Service: service, Port: agent.Port, IPs: agent.IP[:]})
}

// groupAddresses returns the addresses of the agents in all groups.
func groupAddresses(groups []AgentGroup) []segment.Address {
	var addresses []segment.Address
	for _, group := range groups {
		addresses = append(addresses, group.Addresses()...)
	}
	return addresses
}

// Load describes the load and the health of an agent's endpoint.
type Load struct {
	// Running is the number of flows that are open or being opened.
	Running uint32
	// Waiting is the number of requests that the agent holds in its queue.
	Waiting uint32
	// Refusing is set if the endpoint accepts no new flows.
	Refusing bool
	// ProcessingTime is the usual time that the endpoint works on a request, in microseconds, 0 if
	// unknown.
	ProcessingTime uint32
	// ColdWait is for how long a cold endpoint accepts no further request, in milliseconds.
	ColdWait uint32
	// Report is the health of the endpoint for clients in the zone of the receiving balancer.
	Report outlier.Report
	// Pending is the number of requests that the endpoint works on, that wait and can still meet
	// their objective, or that are expected soon in flows being opened.
	Pending uint32
}

// FlowParameters say what a flow requires and what its endpoint can do.
type FlowParameters struct {
	// Slots is the number of requests that the endpoint can work on at the same time, 0 if unknown.
	Slots uint32
	// Priority orders flows under overload. 0 is served first.
	Priority uint8
	// LatencyTarget is the latency objective of a request. Timeout is the time after which its
	// answer is of no more use. Both are in milliseconds.
	LatencyTarget uint32
	Timeout       uint32
	// Waited is for how long the client has been trying to open the flow, in milliseconds.
	Waited uint32
	// ColdStart is set in offers.
	ColdStart ColdStart
}

// ColdStart says how many requests its endpoint can serve after a start, and how long the
// effect of the latest start lasts.
type ColdStart struct {
	// Rate is the number of requests per 1000 s that the cold endpoint can serve, 0 for no limit.
	Rate uint32
	// WarmupTime is how long the endpoint is cold after a start, in milliseconds.
	WarmupTime uint32
	// Remaining is for how much longer the endpoint is cold, in milliseconds, according to the
	// store entry at Revision.
	Remaining uint32
	Revision  uint64
}

// Message is a message between balancers and agents.
type Message struct {
	Kind MessageKind
	// Service is the service of the endpoint according to the balancer.
	Service string
	// Flow is set in messages about a flow that carry no packet.
	Flow EncodedFlow
	// Sequence is the initial sequence number of the client in messages about an opening packet,
	// and the number of the survey in messages about a survey.
	Sequence uint32
	// Acknowledgment and Flags are those of the client's packet, in messages that look up the
	// owner of its flow.
	Acknowledgment uint32
	Flags          segment.Flags
	// LastResort is set in an offer if no other endpoint takes the flow, and in a return if the
	// endpoint would take the flow in that case.
	LastResort bool
	// IgnoreEjection is set in an offer if the agent must not return the flow on account of an
	// ejection of its endpoint, because the other endpoints of the service do no better.
	IgnoreEjection bool
	// Zone is the zone of the balancer's clients. It is set in offers.
	Zone string
	// Registered is set in KindUncertain, KindDenied and KindSurveyResult if a balancer has confirmed
	// a registration of the agent.
	Registered bool
	// ReplyTo is the balancer on whose behalf another agent asks. The owner replies to that
	// balancer, other agents reply to the sender. In a registration that a balancer passes on, it is
	// the agent.
	ReplyTo EncodedAddress
	// Targets are the agents to ask in KindSurvey. In KindSurveyResult, Uncertain are the agents
	// that are uncertain whether they own the flow, and Unresponsive those that have not replied.
	Targets      []AgentGroup
	Uncertain    []AgentGroup
	Unresponsive []AgentGroup
	// Parameters are set in offers and, as far as the balancer has them, in messages about an
	// open flow whose agent may have restarted.
	Parameters FlowParameters
	// Load is set in messages from agents.
	Load Load
	// Packet is a packet of a client, unchanged.
	Packet []byte
}
