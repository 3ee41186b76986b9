package balancer

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// BenchmarkDecision measures decapsulation and the selection of the target row of one
// packet. It excludes the encapsulation for that row, which Decide does afterwards.
func BenchmarkDecision(b *testing.B) {
	configuration := &table.Table{
		Version:  1,
		Services: []table.Service{{ID: 1, Address: "198.51.100.1:443", Protocol: table.ProtocolTCP}},
		Backends: []table.Backend{
			{ID: 1, Service: 1, Agent: "192.0.2.1:6081", Weight: 1},
			{ID: 2, Service: 1, Agent: "192.0.2.2:6081", Weight: 1},
		},
	}
	lookupTable := lookup.Build(configuration, lookup.AllAlive)
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true},
		&layers.IPv4{
			Version: 4, IHL: 5, TTL: 64, Protocol: layers.IPProtocolTCP,
			SrcIP: []byte{192, 0, 2, 10}, DstIP: []byte{198, 51, 100, 1},
		},
		&layers.TCP{SrcPort: 5000, DstPort: 443, ACK: true},
		gopacket.Payload(make([]byte, 1000)))
	if err != nil {
		b.Fatal(err)
	}
	datagram := encap.NewEncoder().AppendPlain(nil, buffer.Bytes())
	decider := NewDecider()
	b.ReportAllocs()
	for b.Loop() {
		content, _ := decider.decapsulate(datagram)
		if _, reason := decider.findTarget(lookupTable, content); reason != Forwarded {
			b.Fatal(reason)
		}
	}
}
