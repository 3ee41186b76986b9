package packet_test

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/packet"
)

func serialize(t testing.TB, parts ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, parts...); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func header(protocol layers.IPProtocol, options ...layers.IPv4Option) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: 64, Protocol: protocol,
		SrcIP: []byte{192, 0, 2, 1}, DstIP: []byte{198, 51, 100, 1}, Options: options,
	}
}

func seeds(t testing.TB) [][]byte {
	tcp := &layers.TCP{SrcPort: 5000, DstPort: 443, SYN: true, Seq: 7}
	fin := &layers.TCP{SrcPort: 5000, DstPort: 443, FIN: true, ACK: true}
	tcpWithOptions := &layers.TCP{SrcPort: 5000, DstPort: 443, ACK: true, Options: []layers.TCPOption{
		{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 180}},
		{OptionType: layers.TCPOptionKindNop, OptionLength: 1},
		{OptionType: layers.TCPOptionKindSACK, OptionLength: 10, OptionData: make([]byte, 8)},
	}}
	udp := &layers.UDP{SrcPort: 5000, DstPort: 53}
	ipOption := layers.IPv4Option{OptionType: 7, OptionLength: 3, OptionData: []byte{4}}
	return [][]byte{
		{},
		serialize(t, header(layers.IPProtocolTCP), tcp, gopacket.Payload("hello")),
		serialize(t, header(layers.IPProtocolTCP), tcpWithOptions),
		serialize(t, header(layers.IPProtocolTCP), fin),
		serialize(t, header(layers.IPProtocolTCP, ipOption), tcp),
		serialize(t, header(layers.IPProtocolUDP), udp, gopacket.Payload("hello")),
		serialize(t, header(layers.IPProtocolICMPv4), &layers.ICMPv4{}),
	}
}

// FuzzDecode checks that no input makes the decoder panic, that the summaries of accepted
// packets are consistent, and that state of earlier packets has no effect.
func FuzzDecode(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	opening := seeds(f)[1]
	f.Fuzz(func(t *testing.T, data []byte) {
		summary, outcome := packet.NewDecoder().Decode(data)
		if outcome == packet.Decoded {
			checkSummary(t, summary, len(data))
		} else if summary != (packet.Summary{}) {
			t.Fatalf("outcome %s with a summary: %+v", outcome, summary)
		}
		for _, earlier := range [][]byte{opening, opening[:30]} {
			checkAfter(t, earlier, data, summary, outcome)
		}
	})
}

func checkSummary(t *testing.T, summary packet.Summary, size int) {
	t.Helper()
	if !summary.Flow.Source.Addr().Is4() || !summary.Flow.Destination.Addr().Is4() {
		t.Fatalf("flow is not IPv4: %+v", summary.Flow)
	}
	if summary.PayloadLength < 0 || summary.PayloadLength >= size {
		t.Fatalf("payload of %d bytes in a packet of %d", summary.PayloadLength, size)
	}
}

// checkAfter decodes data with a decoder and a summary that were used for an earlier packet.
func checkAfter(t *testing.T, earlier, data []byte, want packet.Summary, wantOutcome packet.Outcome) {
	t.Helper()
	decoder := packet.NewDecoder()
	var summary packet.Summary
	decoder.DecodeInto(earlier, &summary)
	outcome := decoder.DecodeInto(data, &summary)
	if outcome != wantOutcome {
		t.Fatalf("outcome %s after another packet, %s with a new decoder", outcome, wantOutcome)
	}
	if outcome == packet.Decoded && summary != want {
		t.Fatalf("summary %+v after another packet, %+v with a new decoder", summary, want)
	}
}
