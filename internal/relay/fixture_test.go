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

func flowKey(number int) segment.FlowKey {
	return segment.FlowKey{Client: clientAddress(number), Service: routeAddress}
}

// clientPacket returns a packet from a client.
func clientPacket(number int, flags segment.Flags, sequence, acknowledgment uint32, data string) []byte {
	return codec.Encode(segment.Header{
		Source: clientAddress(number), Destination: routeAddress,
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, []byte(data))
}

func openingPacket(number int, sequence uint32) []byte {
	return clientPacket(number, segment.Synchronize, sequence, 0, "")
}

// endpointPacket returns a packet from an endpoint to a client.
func endpointPacket(number int, flags segment.Flags, sequence, acknowledgment uint32, data string) []byte {
	return codec.Encode(segment.Header{
		Source: routeAddress, Destination: clientAddress(number),
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, []byte(data))
}

func endpointAddress(number int) segment.Address {
	return segment.Address{IP: [4]byte{10, 2, 0, byte(number)}, Port: 8080}
}

func agentAddress(number int) segment.Address { return endpointAddress(number).WithPort(agentPort) }

// directoryBuilder builds snapshots of a directory.
type directoryBuilder struct {
	replica  *directory.Replica
	revision directory.Revision
	version  uint64
}

func newDirectoryBuilder() *directoryBuilder {
	return &directoryBuilder{replica: directory.NewReplica()}
}

func (b *directoryBuilder) putEndpoint(now time.Duration, number int, change func(*directory.Endpoint)) {
	b.revision++
	value := &directory.Endpoint{
		Service: service, IP: endpointAddress(number).IP, Port: endpointAddress(number).Port, Zone: ownZone, Slots: 4,
	}
	if change != nil {
		change(value)
	}
	id := directory.NameOnlyID(string(rune('a' + number)))
	b.replica.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: b.revision, Endpoint: value}}, b.revision)
	b.replica.MarkCurrent(now)
}

// remove removes the entry of an endpoint. It may have been removed at any time since the last call of
// putEndpoint.
func (b *directoryBuilder) remove(now time.Duration, number int) {
	b.revision++
	id := directory.NameOnlyID(string(rune('a' + number)))
	b.replica.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: b.revision}}, b.revision)
}

// setSince sets the time at which the history of the directory begins.
func (b *directoryBuilder) setSince(since time.Duration) { b.replica.ApplyListing(since, nil, 0) }

func (b *directoryBuilder) configure(shares ...directory.WeightedService) {
	b.revision++
	b.version++
	configuration := &directory.Configuration{Version: b.version}
	if len(shares) > 0 {
		configuration.Routes = []directory.Route{{
			IP: routeAddress.IP, Port: routeAddress.Port, WeightedServices: shares,
			TargetLatency: 250 * time.Millisecond, Timeout: 2 * time.Second,
		}}
	}
	b.replica.ApplyChanges(0, []directory.Item{{Revision: b.revision, Configuration: configuration}}, b.revision)
}

func newBalancer() *relay.Balancer {
	return relay.NewBalancer(relay.BalancerConfig{
		Zone: ownZone, Codec: codec, AgentPort: agentPort, PeerPort: peerPort, FlowLifetime: flowLifetime, FlowLimit: 1000,
		ApplyTimeout: 3 * time.Second, DrainTimeout: 3 * time.Second, ContactTimeout: 4 * time.Second,
		Random: newRandom(),
	})
}

// newBalancerWithThreeEndpoints returns a balancer whose directory has one route with three
// endpoints.
func newBalancerWithThreeEndpoints() (*relay.Balancer, *directoryBuilder) {
	balancer, builder := newBalancer(), newDirectoryBuilder()
	builder.configure(directory.WeightedService{Service: service, Weight: 1})
	for number := range 3 {
		builder.putEndpoint(0, number, nil)
	}
	balancer.Install(0, builder.replica.Snapshot())
	balancer.MarkConfirmed(0)
	return balancer, builder
}

// reportPlaced delivers the report of an agent that its endpoint has answered an opening packet.
func reportPlaced(balancer *relay.Balancer, now time.Duration, agent segment.Address, number int, sequence uint32) []relay.Effect {
	return balancer.Receive(now, agent, relay.Message{
		Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(flowKey(number)), Sequence: sequence,
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newAgent(startedWithEndpoint bool) *relay.Agent {
	return newAgentWith(startedWithEndpoint, requestqueue.Policy{})
}

func newAgentWith(startedWithEndpoint bool, policy requestqueue.Policy) *relay.Agent {
	return relay.NewAgent(relay.AgentConfig{
		Service: service, Codec: codec, StartedWithEndpoint: startedWithEndpoint, FlowLifetime: flowLifetime, FlowLimit: 1000,
		OutlierDetection: outlier.DefaultConfig(), QueuePolicy: policy, Random: newRandom(),
	})
}

// sentMessages returns the effects that send a message.
func sentMessages(effects []relay.Effect) []relay.Effect {
	return effectsOfKind(effects, relay.EffectSendMessage)
}

// messagesTo returns the effects that send a message to one receiver.
func messagesTo(to segment.Address, effects []relay.Effect) []relay.Effect {
	return slices.DeleteFunc(sentMessages(effects), func(effect relay.Effect) bool { return effect.To != to })
}

func effectsOfKind(effects []relay.Effect, kind relay.EffectKind) []relay.Effect {
	var found []relay.Effect
	for _, effect := range effects {
		if effect.Kind == kind {
			found = append(found, effect)
		}
	}
	return found
}

// onlyMessage expects exactly one message among effects and returns it.
func onlyMessage(effects []relay.Effect) relay.Effect {
	GinkgoHelper()
	messages := sentMessages(effects)
	Expect(messages).To(HaveLen(1))
	return messages[0]
}

func eventKinds(effects []relay.Effect) []relay.EventKind {
	var kinds []relay.EventKind
	for _, effect := range effectsOfKind(effects, relay.EffectEvent) {
		kinds = append(kinds, effect.Event.Kind)
	}
	return kinds
}

// resetHeaders returns the headers of the resets to clients among effects.
func resetHeaders(effects []relay.Effect) []segment.Header {
	var found []segment.Header
	for _, effect := range effectsOfKind(effects, relay.EffectSendToClient) {
		header, _ := codec.Decode(effect.Packet)
		if header.Flags.Has(segment.Reset) {
			found = append(found, header)
		}
	}
	return found
}

// testAgent is an agent with helpers for its inputs.
type testAgent struct {
	*relay.Agent
	// parameters and lastResort are set in offers.
	parameters relay.FlowParameters
	lastResort bool
}

func newTestAgent(agent *relay.Agent) *testAgent {
	return &testAgent{Agent: agent, parameters: relay.FlowParameters{Slots: 2, LatencyTarget: 250, Timeout: 2000}}
}

func (a *testAgent) offer(now time.Duration, number int, sequence uint32) []relay.Effect {
	return a.Receive(now, balancerA, relay.Message{
		Kind: relay.KindOffer, Service: service, Parameters: a.parameters, LastResort: a.lastResort, Packet: openingPacket(number, sequence),
	})
}

func (a *testAgent) forward(now time.Duration, kind relay.MessageKind, packet []byte) []relay.Effect {
	return a.Receive(now, balancerB, relay.Message{Kind: kind, Service: service, Packet: packet})
}

func (a *testAgent) locate(now time.Duration, packet []byte) []relay.Effect {
	return a.Receive(now, balancerB, locateQuery(packet))
}

func (a *testAgent) answer(now time.Duration, number int, sequence uint32) []relay.Effect {
	return a.HandleEndpointPacket(now, endpointPacket(number, segment.Synchronize|segment.Acknowledge, sequence, 101, ""))
}

// open opens a flow with a request. The endpoint's initial sequence number is 500.
func (a *testAgent) open(now time.Duration, number int) {
	a.offer(now, number, 100)
	a.answer(now, number, 500)
	a.forward(now, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, "request"))
}

// locateQuery returns a query for the owner of a packet's flow.
func locateQuery(packet []byte) relay.Message {
	header, _ := codec.Decode(packet)
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	return relay.Message{
		Kind: relay.KindLocate, Service: service, Flow: relay.EncodeFlow(key),
		Flags: header.Flags, Acknowledgment: header.Acknowledgment,
	}
}

// deliveredPackets returns the effects that give a packet to the endpoint.
func deliveredPackets(effects []relay.Effect) []relay.Effect {
	return effectsOfKind(effects, relay.EffectSendToEndpoint)
}

// returnedCopy returns a copy of a packet as its endpoint returns it.
func returnedCopy(packet []byte) []byte {
	copied := append([]byte(nil), packet...)
	codec.MarkReturned(copied)
	return copied
}
