package balancer_test

import (
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	sampleService = table.ServiceID(7)
	drainedOnly   = table.ServiceID(8)
	caller        = "192.0.2.10"
	virtual       = "198.51.100.1"
	servicePort   = 443
	drainedPort   = 444
)

// sampleTable has one service with a row for each weight, whose agents listen
// on the given addresses, and one service whose only row drains.
func sampleTable(agents []netip.AddrPort, weights ...uint32) *table.Table {
	sample := &table.Table{Version: 3}
	for index, service := range []table.ServiceID{sampleService, drainedOnly} {
		sample.Services = append(sample.Services, table.Service{
			ID:       service,
			Name:     fmt.Sprint("service-", service),
			Address:  table.Endpoint(fmt.Sprint(virtual, ":", servicePort+index)),
			Protocol: table.ProtocolTCP,
		})
	}
	for index, weight := range weights {
		sample.Backends = append(sample.Backends, table.Backend{
			ID:          table.BackendID(index + 1),
			Service:     sampleService,
			Name:        fmt.Sprint("row-", index),
			Incarnation: table.Incarnation(index + 100),
			Agent:       table.Endpoint(agents[index].String()),
			Weight:      weight,
		})
	}
	sample.Backends = append(sample.Backends, table.Backend{
		ID: 1000, Service: drainedOnly, Name: "row", Agent: "127.0.0.1:9", Weight: 1, Drain: true,
	})
	return sample
}

// unusedAgents returns addresses for tests that send nothing.
func unusedAgents(count int) []netip.AddrPort {
	agents := make([]netip.AddrPort, count)
	for i := range agents {
		agents[i] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
	}
	return agents
}

func header(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: 64, Protocol: protocol,
		SrcIP: netip.MustParseAddr(caller).AsSlice(),
		DstIP: netip.MustParseAddr(virtual).AsSlice(),
	}
}

func serialize(parts ...gopacket.SerializableLayer) []byte {
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, parts...); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

func segment(sourcePort, destinationPort uint16, payload int) []byte {
	return serialize(
		header(layers.IPProtocolTCP),
		&layers.TCP{SrcPort: layers.TCPPort(sourcePort), DstPort: layers.TCPPort(destinationPort), SYN: true, Seq: 1},
		gopacket.Payload(make([]byte, payload)))
}

func plain(content []byte) []byte {
	return encap.NewEncoder().AppendPlain(nil, content)
}

// changed returns a copy of data in which change has edited bytes.
func changed(data []byte, change func([]byte)) []byte {
	edited := append([]byte(nil), data...)
	change(edited)
	return edited
}

func flowOf(content []byte) packet.Flow {
	summary, outcome := packet.NewDecoder().Decode(content)
	if outcome != packet.Decoded {
		panic(outcome.String())
	}
	return summary.Flow
}
