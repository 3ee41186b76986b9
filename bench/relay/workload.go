package relay

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	maximumServices = 10_000
	maximumRows     = 60_000
	maximumPayload  = 8_000
	servicePort     = 443
	// stampSize is the number of bytes of the time stamp at the end of a datagram.
	stampSize = 16
)

// serviceAddress returns the virtual address of a service in 10.0.0.0/8.
func serviceAddress(index int) netip.Addr {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 10<<24|uint32(index+1))
	return netip.AddrFrom4(address)
}

// sampleTable returns a table that spreads the rows of every service over the sinks.
func sampleTable(options Options, sinks []netip.AddrPort) *table.Table {
	sample := &table.Table{Version: 1}
	for service := range options.Services {
		id := table.ServiceID(service + 1)
		sample.Services = append(sample.Services, table.Service{
			ID:       id,
			Name:     fmt.Sprint("service-", id),
			Address:  table.Endpoint(netip.AddrPortFrom(serviceAddress(service), servicePort).String()),
			Protocol: table.ProtocolTCP,
		})
		for row := range options.RowsPerService {
			number := len(sample.Backends)
			sample.Backends = append(sample.Backends, table.Backend{
				ID:          table.BackendID(number + 1),
				Service:     id,
				Name:        fmt.Sprint("row-", row),
				Incarnation: 1,
				Agent:       table.Endpoint(sinks[number%len(sinks)].String()),
				Weight:      1,
			})
		}
	}
	return sample
}

// sampleDatagrams returns datagrams as the fabric sends them, for random flows to random
// services.
func sampleDatagrams(options Options) ([][]byte, error) {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	encoder := encap.NewEncoder()
	datagrams := make([][]byte, options.Flows)
	for i := range datagrams {
		content, err := segment(random, options)
		if err != nil {
			return nil, err
		}
		datagrams[i] = encoder.AppendPlain(nil, content)
	}
	return datagrams, nil
}

func segment(random *rand.Rand, options Options) ([]byte, error) {
	destination := serviceAddress(random.IntN(options.Services)).As4()
	ip := &layers.IPv4{
		Version:  4,
		IHL:      5,
		TTL:      64,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    []byte{192, 0, 2, byte(random.Uint32())},
		DstIP:    destination[:],
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(1024 + random.IntN(60_000)),
		DstPort: servicePort,
		ACK:     true,
		Seq:     random.Uint32(),
	}
	buffer := gopacket.NewSerializeBuffer()
	payload := gopacket.Payload(make([]byte, options.Payload))
	err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, ip, tcp, payload)
	return buffer.Bytes(), errors.Wrap(err, "relay: serialize sample packet")
}
