package packet_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// TestHashOfFiveTuple fails if the hashed encoding changes. Such a change would move
// every flow to another back end while balancers are replaced one by one.
func TestHashOfFiveTuple(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := drawEndpoint(t, "source")
		destination := drawEndpoint(t, "destination")
		protocol := rapid.Uint8().Draw(t, "protocol")
		var encoded []byte
		for _, endpoint := range []netip.AddrPort{source, destination} {
			encoded = append(encoded, endpoint.Addr().AsSlice()...)
			encoded = binary.BigEndian.AppendUint16(encoded, endpoint.Port())
		}
		encoded = append(encoded, protocol)
		flow := packet.Flow{Source: source, Destination: destination, Protocol: table.Protocol(protocol)}
		if got, want := flow.Hash(), xxhash.Sum64(encoded); got != want {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func drawEndpoint(t *rapid.T, label string) netip.AddrPort {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], rapid.Uint32().Draw(t, label))
	return netip.AddrPortFrom(netip.AddrFrom4(address), rapid.Uint16().Draw(t, label+" port"))
}
