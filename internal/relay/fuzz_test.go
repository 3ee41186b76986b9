package relay_test

import (
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// FuzzReceive gives both parts any datagram as a message of another daemon.
func FuzzReceive(f *testing.F) {
	for kind := relay.KindOffer; kind <= relay.KindDrain; kind++ {
		message := relay.Message{Kind: kind, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Packet: opening(1, 100)}
		encoded, err := message.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	known := newFleet()
	known.configure(directory.WeightedService{Service: service, Weight: 1})
	known.endpoint(0, 0, nil)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var message relay.Message
		if _, err := message.UnmarshalMsg(datagram); err != nil {
			return
		}
		agent := newAgent(false)
		balancer := newBalancer()
		balancer.Install(0, known.machine.Snapshot())
		balancer.HandleClientPacket(0, opening(1, 100))
		for step := range 3 {
			now := time.Duration(step) * time.Second
			agent.Receive(now, balancerA, message)
			agent.Tick(now)
			balancer.Receive(now, agentAddress(0), message)
			balancer.Tick(now)
		}
	})
}

// FuzzPacket gives both parts any datagram as a packet of a client or endpoint.
func FuzzPacket(f *testing.F) {
	f.Add(opening(1, 100))
	f.Add(fromClient(1, 0xff, 1, 2, "data"))
	f.Add(fromEndpoint(1, 0x03, 1, 2, ""))
	f.Add([]byte{})
	known := newFleet()
	known.configure(directory.WeightedService{Service: service, Weight: 1})
	known.endpoint(0, 0, nil)
	f.Fuzz(func(t *testing.T, packet []byte) {
		balancer := newBalancer()
		balancer.Install(0, known.machine.Snapshot())
		for step := range 3 {
			balancer.HandleClientPacket(time.Duration(step)*time.Second, packet)
		}
		for _, complete := range []bool{false, true} {
			agent := newAgent(complete)
			for kind := relay.KindOffer; kind <= relay.KindProbe; kind++ {
				agent.Receive(0, balancerA, relay.Message{Kind: kind, Service: service, Packet: append([]byte(nil), packet...)})
			}
			agent.HandleEndpointPacket(0, append([]byte(nil), packet...))
			agent.Tick(time.Minute)
		}
	})
}
