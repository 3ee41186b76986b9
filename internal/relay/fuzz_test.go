package relay_test

import (
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// FuzzReceive passes arbitrary datagrams as messages to an agent and a balancer.
func FuzzReceive(f *testing.F) {
	for kind := relay.KindOffer; kind <= relay.KindDrain; kind++ {
		message := relay.Message{Kind: kind, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Packet: openingPacket(1, 100)}
		encoded, err := message.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	builder := newDirectoryBuilder()
	builder.configure(directory.WeightedService{Service: service, Weight: 1})
	builder.putEndpoint(0, 0, nil)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var message relay.Message
		if _, err := message.UnmarshalMsg(datagram); err != nil {
			return
		}
		agent := newAgent(false)
		balancer := newBalancer()
		balancer.Install(0, builder.replica.Snapshot())
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		for step := range 3 {
			now := time.Duration(step) * time.Second
			agent.Receive(now, balancerA, message)
			agent.Tick(now)
			balancer.Receive(now, agentAddress(0), message)
			balancer.Tick(now)
		}
	})
}

// FuzzPacket passes arbitrary datagrams as packets of clients and endpoints to an agent and a
// balancer.
func FuzzPacket(f *testing.F) {
	f.Add(openingPacket(1, 100))
	f.Add(clientPacket(1, 0xff, 1, 2, "data"))
	f.Add(endpointPacket(1, 0x03, 1, 2, ""))
	f.Add([]byte{})
	builder := newDirectoryBuilder()
	builder.configure(directory.WeightedService{Service: service, Weight: 1})
	builder.putEndpoint(0, 0, nil)
	f.Fuzz(func(t *testing.T, packet []byte) {
		balancer := newBalancer()
		balancer.Install(0, builder.replica.Snapshot())
		for step := range 3 {
			balancer.HandleClientPacket(time.Duration(step)*time.Second, packet)
		}
		for _, startedWithEndpoint := range []bool{false, true} {
			agent := newAgent(startedWithEndpoint)
			for kind := relay.KindOffer; kind <= relay.KindProbe; kind++ {
				agent.Receive(0, balancerA, relay.Message{Kind: kind, Service: service, Packet: append([]byte(nil), packet...)})
			}
			agent.HandleEndpointPacket(0, append([]byte(nil), packet...))
			agent.Tick(time.Minute)
		}
	})
}
