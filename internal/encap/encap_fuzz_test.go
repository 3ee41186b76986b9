package encap_test

import (
	"bytes"
	"testing"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/table"
)

var sampleRouting = encap.Routing{
	Version: 1 << 40, Backend: 0xfffffffe, Incarnation: 3, Hops: 2, HandedOver: true,
}

// manyOptions returns a datagram whose options have the largest total size that the header
// can express.
func manyOptions() []byte {
	const optionsSize = 63 * 4
	datagram := append(encap.NewEncoder().AppendPlain(nil, nil), make([]byte, optionsSize)...)
	datagram[0] = optionsSize / 4
	return append(datagram, 0x45)
}

// FuzzDecode checks that no input makes the decoder panic, and that the packet of an accepted
// datagram is everything after the Geneve header.
func FuzzDecode(f *testing.F) {
	encoder := encap.NewEncoder()
	f.Add([]byte{})
	f.Add(encoder.AppendPlain(nil, []byte("packet")))
	f.Add(encoder.AppendControl(nil, 9, []byte("message")))
	f.Add(encoder.AppendRouted(nil, 9, sampleRouting, []byte("packet")))
	f.Add(manyOptions())
	decoder := encap.NewDecoder()
	f.Fuzz(func(t *testing.T, data []byte) {
		datagram, outcome := decoder.Decode(data)
		if outcome != encap.Decoded {
			return
		}
		headerSize := 8 + int(data[0]&0x3f)*4
		if !bytes.Equal(datagram.Packet, data[headerSize:]) {
			t.Fatalf("the packet does not start after the header of %d bytes", headerSize)
		}
		if !datagram.HasRouting && datagram.Routing != (encap.Routing{}) {
			t.Fatalf("routing without an option: %+v", datagram.Routing)
		}
	})
}

// FuzzRoundTrip checks that decoding returns the encoded values. It reuses one encoder and one
// decoder for all inputs, so that state left over from earlier datagrams would show.
func FuzzRoundTrip(f *testing.F) {
	f.Add(uint32(9), uint64(1)<<40, uint32(7), uint32(3), uint8(1), true, []byte("packet"))
	f.Add(uint32(0), uint64(0), uint32(0), uint32(0), uint8(0), false, []byte{})
	encoder := encap.NewEncoder()
	decoder := encap.NewDecoder()
	f.Fuzz(func(t *testing.T, service uint32, version uint64, row, incarnation uint32, hops uint8, handedOver bool, content []byte) {
		want := encap.Datagram{
			Service:    table.ServiceID(service & table.MaxServiceID),
			HasRouting: true,
			Routing: encap.Routing{
				Version:     table.Version(version),
				Backend:     table.BackendID(row),
				Incarnation: table.Incarnation(incarnation),
				Hops:        hops,
				HandedOver:  handedOver,
			},
			Packet: content,
		}
		routed := encoder.AppendRouted(nil, want.Service, want.Routing, content)
		if len(routed) != encap.Overhead+len(content) {
			t.Fatalf("%d bytes of overhead for a packet of %d bytes, want %d", len(routed)-len(content), len(content), encap.Overhead)
		}
		expectDecoded(t, decoder, routed, want)
		control := encap.Datagram{Service: want.Service, Control: true, Packet: content}
		expectDecoded(t, decoder, encoder.AppendControl(nil, want.Service, content), control)
		expectDecoded(t, decoder, encoder.AppendPlain(nil, content), encap.Datagram{Packet: content})
	})
}

func expectDecoded(t *testing.T, decoder *encap.Decoder, data []byte, want encap.Datagram) {
	t.Helper()
	got, outcome := decoder.Decode(data)
	if outcome != encap.Decoded {
		t.Fatal(outcome)
	}
	if !bytes.Equal(got.Packet, want.Packet) {
		t.Fatalf("packet changed: %x", got.Packet)
	}
	got.Packet, want.Packet = nil, nil
	if got.Service != want.Service || got.Control != want.Control || got.HasRouting != want.HasRouting || got.Routing != want.Routing {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
