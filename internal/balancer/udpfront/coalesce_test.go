package udpfront

import (
	"encoding/binary"
	"net"
	"net/netip"
	"testing"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// drawDatagrams returns datagrams whose sizes and destinations repeat often.
func drawDatagrams(t *rapid.T) []Datagram {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Datagram {
		port := rapid.Uint16Range(1, 4).Draw(t, "port")
		size := rapid.SampledFrom([]int{0, 1, 40, 1000, 1000, 1000, MaxDatagramSize}).Draw(t, "size")
		return Datagram{
			Destination: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port),
			Payload:     make([]byte, size),
		}
	}), 0, BatchSize).Draw(t, "datagrams")
}

// writeIndexes writes the index of each datagram into its first byte, if it has one.
func writeIndexes(datagrams []Datagram) {
	for i, datagram := range datagrams {
		if len(datagram.Payload) > 0 {
			datagram.Payload[0] = byte(i)
		}
	}
}

func groupByPort(datagrams []Datagram) map[uint16][][]byte {
	sorted := map[uint16][][]byte{}
	for _, datagram := range datagrams {
		port := datagram.Destination.Port()
		sorted[port] = append(sorted[port], datagram.Payload)
	}
	return sorted
}

func TestCoalescerKeepsEveryDatagramInOrder(t *testing.T) {
	coalescer := newCoalescer(BatchSize)
	rapid.Check(t, func(t *rapid.T) {
		datagrams := drawDatagrams(t)
		writeIndexes(datagrams)
		for _, datagram := range datagrams {
			coalescer.add(datagram)
		}
		got := map[uint16][][]byte{}
		for _, message := range coalescer.takeMessages() {
			checkMessage(t, message)
			port := uint16(message.Addr.(*net.UDPAddr).Port)
			got[port] = append(got[port], message.Buffers...)
		}
		want := groupByPort(datagrams)
		if len(got) != len(want) {
			t.Fatalf("messages for %d destinations, want %d", len(got), len(want))
		}
		for port, payloads := range want {
			checkPayloads(t, got[port], payloads)
		}
	})
}

func checkPayloads(t *rapid.T, got, want [][]byte) {
	if len(got) != len(want) {
		t.Fatalf("%d datagrams, want %d", len(got), len(want))
	}
	for i := range want {
		same := len(got[i]) == len(want[i]) && (len(want[i]) == 0 || got[i][0] == want[i][0])
		if !same {
			t.Fatalf("datagram %d has another size or content than the one added", i)
		}
	}
}

// checkMessage checks that a message follows the rules of UDP_SEGMENT.
func checkMessage(t *rapid.T, message ipv4.Message) {
	last := len(message.Buffers) - 1
	if last == 0 {
		if message.OOB != nil {
			t.Fatal("a single datagram has a control message")
		}
		return
	}
	total := 0
	for i, buffer := range message.Buffers {
		total += len(buffer)
		if i < last && len(buffer) != len(message.Buffers[0]) {
			t.Fatalf("segment %d has %d bytes, but the first has %d", i, len(buffer), len(message.Buffers[0]))
		}
	}
	size := len(message.Buffers[last])
	if size == 0 || size > len(message.Buffers[0]) || last >= maxSegmentsPerMessage || total > maxMessageSize {
		t.Fatalf("invalid message: %d segments, %d bytes, last segment %d bytes", last+1, total, size)
	}
	parsed, err := unix.ParseSocketControlMessage(message.OOB)
	if err != nil || len(parsed) != 1 || parsed[0].Header.Level != unix.SOL_UDP || parsed[0].Header.Type != unix.UDP_SEGMENT {
		t.Fatalf("control message %x is not one UDP_SEGMENT option: %v", message.OOB, err)
	}
	if got := int(binary.NativeEndian.Uint16(parsed[0].Data)); got != len(message.Buffers[0]) {
		t.Fatalf("segment size %d, want %d", got, len(message.Buffers[0]))
	}
}

func TestCoalescerUsesOneMessageForEqualDatagrams(t *testing.T) {
	coalescer := newCoalescer(BatchSize)
	destination := netip.MustParseAddrPort("192.0.2.1:6081")
	for range BatchSize {
		coalescer.add(Datagram{Destination: destination, Payload: make([]byte, 1000)})
	}
	if got := len(coalescer.takeMessages()); got != 1 {
		t.Fatalf("%d messages, want 1", got)
	}
	coalescer.disableCoalescing()
	for range BatchSize {
		coalescer.add(Datagram{Destination: destination, Payload: make([]byte, 1000)})
	}
	if got := len(coalescer.takeMessages()); got != BatchSize {
		t.Fatalf("%d messages after coalescing was disabled, want %d", got, BatchSize)
	}
}

// TestCoalescerFillsMessages checks that a new message starts exactly where the
// kernel would refuse a larger one.
func TestCoalescerFillsMessages(t *testing.T) {
	const size = 9000
	const perMessage = maxMessageSize / size
	coalescer := newCoalescer(BatchSize)
	for range BatchSize {
		coalescer.add(Datagram{Destination: netip.MustParseAddrPort("192.0.2.1:6081"), Payload: make([]byte, size)})
	}
	for i, message := range coalescer.takeMessages() {
		want := min(perMessage, BatchSize-i*perMessage)
		if got := len(message.Buffers); got != want {
			t.Fatalf("message %d has %d datagrams, want %d", i, got, want)
		}
	}
}
