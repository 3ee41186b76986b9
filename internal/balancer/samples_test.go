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
	sampleService  = table.ServiceID(7)
	drainedService = table.ServiceID(8)
	caller         = "192.0.2.10"
	serviceAddress = "198.51.100.1"
	servicePort    = 443
	drainedPort    = 444
)

// sampleTable returns a table with two services. The first has a row for each
// weight, with agents at the given addresses. The second has one drained row.
func sampleTable(agents []netip.AddrPort, weights ...uint32) *table.Table {
	sample := &table.Table{Version: 3}
	for index, service := range []table.ServiceID{sampleService, drainedService} {
		sample.Services = append(sample.Services, table.Service{
			ID:       service,
			Name:     fmt.Sprint("service-", service),
			Address:  table.Endpoint(fmt.Sprint(serviceAddress, ":", servicePort+index)),
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
		ID: 1000, Service: drainedService, Name: "row", Agent: "127.0.0.1:9", Weight: 1, Drain: true,
	})
	return sample
}

// unusedAgents returns agent addresses for tests that send no datagrams.
func unusedAgents(count int) []netip.AddrPort {
	agents := make([]netip.AddrPort, count)
	for i := range agents {
		agents[i] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
	}
	return agents
}

// ipv4Header returns a header from the test caller to the test service.
func ipv4Header(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: 64, Protocol: protocol,
		SrcIP: netip.MustParseAddr(caller).AsSlice(),
		DstIP: netip.MustParseAddr(serviceAddress).AsSlice(),
	}
}

func serialize(parts ...gopacket.SerializableLayer) []byte {
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, parts...); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// tcpPacket returns a packet with an opening TCP segment and a payload of the given
// size.
func tcpPacket(sourcePort, destinationPort uint16, payload int) []byte {
	return serialize(
		ipv4Header(layers.IPProtocolTCP),
		&layers.TCP{SrcPort: layers.TCPPort(sourcePort), DstPort: layers.TCPPort(destinationPort), SYN: true, Seq: 1},
		gopacket.Payload(make([]byte, payload)))
}

// encapsulate returns the datagram with which the fabric sends a packet.
func encapsulate(content []byte) []byte {
	return encap.NewEncoder().AppendPlain(nil, content)
}

// modified returns a copy of data to which change has been applied.
func modified(data []byte, change func([]byte)) []byte {
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
