package relay_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/segment/segmenttest"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

const (
	agentPort    = 6181
	flowLifetime = time.Minute
	ownZone      = "zone-1"
	otherZone    = "zone-2"
	service      = "lookup"
	otherService = "export"
)

var (
	codec        = segmenttest.Codec{Key: 7}
	routeAddress = segment.Address{IP: [4]byte{198, 51, 100, 1}, Port: 443}
	noRoute      = segment.Address{IP: [4]byte{198, 51, 100, 1}, Port: 444}
	balancerA    = segment.Address{IP: [4]byte{10, 1, 0, 1}, Port: 7000}
	balancerB    = segment.Address{IP: [4]byte{10, 1, 0, 2}, Port: 7000}
)

func clientAddress(number int) segment.Address {
	return segment.Address{IP: [4]byte{100, 64, 0, byte(number >> 8)}, Port: uint16(40000 + number)}
}

func keyOf(number int) segment.FlowKey {
	return segment.FlowKey{Client: clientAddress(number), Service: routeAddress}
}

// fromClient returns a packet of the client with a number.
func fromClient(number int, flags segment.Flags, sequence, acknowledgment uint32, data string) []byte {
	return codec.Encode(segment.Header{
		Source: clientAddress(number), Destination: routeAddress,
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, []byte(data))
}

func opening(number int, sequence uint32) []byte {
	return fromClient(number, segment.Synchronize, sequence, 0, "")
}

// fromEndpoint returns a packet of an endpoint to the client with a number.
func fromEndpoint(number int, flags segment.Flags, sequence, acknowledgment uint32, data string) []byte {
	return codec.Encode(segment.Header{
		Source: routeAddress, Destination: clientAddress(number),
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, []byte(data))
}

func endpointAddress(number int) segment.Address {
	return segment.Address{IP: [4]byte{10, 2, 0, byte(number)}, Port: 8080}
}

func agentAddress(number int) segment.Address { return endpointAddress(number).WithPort(agentPort) }

// fleet builds snapshots of a directory.
type fleet struct {
	machine  *directory.Replica
	revision directory.Revision
	version  uint64
}

func newFleet() *fleet { return &fleet{machine: directory.NewReplica()} }

func (f *fleet) endpoint(now time.Duration, number int, change func(*directory.Endpoint)) {
	f.revision++
	value := &directory.Endpoint{
		Service: service, IP: endpointAddress(number).IP, Port: endpointAddress(number).Port, Zone: ownZone, Slots: 4,
	}
	if change != nil {
		change(value)
	}
	id := directory.NameOnlyID(string(rune('a' + number)))
	f.machine.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: f.revision, Endpoint: value}}, f.revision)
}

func (f *fleet) gone(now time.Duration, number int) {
	f.revision++
	id := directory.NameOnlyID(string(rune('a' + number)))
	f.machine.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: f.revision}}, f.revision)
}

// follow makes the directory reach back to a time.
func (f *fleet) follow(since time.Duration) { f.machine.ApplyListing(since, nil, 0) }

func (f *fleet) configure(shares ...directory.WeightedService) {
	f.revision++
	f.version++
	configuration := &directory.Configuration{Version: f.version}
	if len(shares) > 0 {
		configuration.Routes = []directory.Route{{
			IP: routeAddress.IP, Port: routeAddress.Port, WeightedServices: shares,
			TargetLatency: 250 * time.Millisecond, Timeout: 2 * time.Second,
		}}
	}
	f.machine.ApplyChanges(0, []directory.Item{{Revision: f.revision, Configuration: configuration}}, f.revision)
}

func newBalancer() *relay.Balancer {
	return relay.NewBalancer(relay.BalancerConfig{
		Zone: ownZone, Codec: codec, AgentPort: agentPort, FlowLifetime: flowLifetime, FlowLimit: 1000,
		ApplyTimeout: 3 * time.Second, DrainTimeout: 3 * time.Second,
		Random: newRandom(),
	})
}

// balancerOfThree returns a balancer with a directory of three endpoints of a route.
func balancerOfThree() (*relay.Balancer, *fleet) {
	balancer, known := newBalancer(), newFleet()
	known.configure(directory.WeightedService{Service: service, Weight: 1})
	for number := range 3 {
		known.endpoint(0, number, nil)
	}
	balancer.Install(0, known.machine.Snapshot())
	balancer.MarkConfirmed(0)
	return balancer, known
}

// placed lets an agent tell a balancer that its endpoint has answered a flow.
func placed(balancer *relay.Balancer, now time.Duration, agent segment.Address, number int, sequence uint32) []relay.Effect {
	return balancer.Receive(now, agent, relay.Message{
		Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(keyOf(number)), Sequence: sequence,
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newAgent(complete bool) *relay.Agent { return newAgentWith(complete, requestqueue.Policy{}) }

func newAgentWith(complete bool, policy requestqueue.Policy) *relay.Agent {
	return relay.NewAgent(relay.AgentConfig{
		Service: service, Codec: codec, StartedWithEndpoint: complete, FlowLifetime: flowLifetime, FlowLimit: 1000,
		OutlierLimits: outlier.DefaultConfig(), QueuePolicy: policy,
	})
}

// sent returns the messages among effects, with their receivers.
func sent(effects []relay.Effect) []relay.Effect { return ofKind(effects, relay.EffectSendMessage) }

// sentTo returns the messages to one receiver.
func sentTo(to segment.Address, effects []relay.Effect) []relay.Effect {
	return slices.DeleteFunc(sent(effects), func(effect relay.Effect) bool { return effect.To != to })
}

func ofKind(effects []relay.Effect, kind relay.EffectKind) []relay.Effect {
	var found []relay.Effect
	for _, effect := range effects {
		if effect.Kind == kind {
			found = append(found, effect)
		}
	}
	return found
}

// onlyMessage expects exactly one message among the effects.
func onlyMessage(effects []relay.Effect) relay.Effect {
	GinkgoHelper()
	messages := sent(effects)
	Expect(messages).To(HaveLen(1))
	return messages[0]
}

func events(effects []relay.Effect) []relay.EventKind {
	var kinds []relay.EventKind
	for _, effect := range ofKind(effects, relay.EffectEvent) {
		kinds = append(kinds, effect.Event.Kind)
	}
	return kinds
}

// resets returns the resets to clients among effects.
func resets(effects []relay.Effect) []segment.Header {
	var found []segment.Header
	for _, effect := range ofKind(effects, relay.EffectSendToClient) {
		header, _ := codec.Decode(effect.Packet)
		if header.Flags.Has(segment.Reset) {
			found = append(found, header)
		}
	}
	return found
}

// drivenAgent is an agent with the inputs that specs give it.
type drivenAgent struct {
	*relay.Agent
	// terms are those of what is offered, and lastResort is set if others have returned it.
	terms      relay.FlowParameters
	lastResort bool
}

func drive(agent *relay.Agent) *drivenAgent {
	return &drivenAgent{Agent: agent, terms: relay.FlowParameters{Slots: 2, LatencyTarget: 250, Timeout: 2000}}
}

func (a *drivenAgent) offer(now time.Duration, number int, sequence uint32) []relay.Effect {
	return a.Receive(now, balancerA, relay.Message{
		Kind: relay.KindOffer, Service: service, Parameters: a.terms, LastResort: a.lastResort, Packet: opening(number, sequence),
	})
}

func (a *drivenAgent) forward(now time.Duration, kind relay.MessageKind, packet []byte) []relay.Effect {
	return a.Receive(now, balancerB, relay.Message{Kind: kind, Service: service, Packet: packet})
}

func (a *drivenAgent) locate(now time.Duration, packet []byte) []relay.Effect {
	return a.Receive(now, balancerB, question(packet))
}

func (a *drivenAgent) answer(now time.Duration, number int, sequence uint32) []relay.Effect {
	return a.HandleEndpointPacket(now, fromEndpoint(number, segment.Synchronize|segment.Acknowledge, sequence, 101, ""))
}

// open opens a flow whose endpoint's initial sequence number is 500.
func (a *drivenAgent) open(now time.Duration, number int) {
	a.offer(now, number, 100)
	a.answer(now, number, 500)
	a.forward(now, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, "request"))
}

// question is a search for the owner of a packet's flow.
func question(packet []byte) relay.Message {
	header, _ := codec.Decode(packet)
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	return relay.Message{
		Kind: relay.KindLocate, Service: service, Flow: relay.EncodeFlow(key),
		Flags: header.Flags, Acknowledgment: header.Acknowledgment,
	}
}

// delivered returns what an agent gave its endpoint.
func delivered(effects []relay.Effect) []relay.Effect {
	return ofKind(effects, relay.EffectSendToEndpoint)
}

// returned is a packet as an endpoint returns it that does not take it.
func returned(packet []byte) []byte {
	copied := append([]byte(nil), packet...)
	codec.MarkReturned(copied)
	return copied
}
