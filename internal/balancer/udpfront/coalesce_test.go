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

// number writes the index of each datagram that has room for it.
func number(datagrams []Datagram) {
	for i, datagram := range datagrams {
		if len(datagram.Payload) > 0 {
			datagram.Payload[0] = byte(i)
		}
	}
}

func byPort(datagrams []Datagram) map[uint16][][]byte {
	sorted := map[uint16][][]byte{}
	for _, datagram := range datagrams {
		port := datagram.Destination.Port()
		sorted[port] = append(sorted[port], datagram.Payload)
	}
	return sorted
}

func TestGrouperKeepsEveryDatagramInOrder(t *testing.T) {
	used := newGrouper(BatchSize)
	rapid.Check(t, func(t *rapid.T) {
		datagrams := drawDatagrams(t)
		number(datagrams)
		for _, datagram := range datagrams {
			used.add(datagram)
		}
		got := map[uint16][][]byte{}
		for _, message := range used.finish() {
			checkMessage(t, message)
			port := uint16(message.Addr.(*net.UDPAddr).Port)
			got[port] = append(got[port], message.Buffers...)
		}
		want := byPort(datagrams)
		if len(got) != len(want) {
			t.Fatalf("%d destinations, want %d", len(got), len(want))
		}
		for port, payloads := range want {
			checkSame(t, got[port], payloads)
		}
	})
}

func checkSame(t *rapid.T, got, want [][]byte) {
	if len(got) != len(want) {
		t.Fatalf("%d datagrams, want %d", len(got), len(want))
	}
	for i := range want {
		same := len(got[i]) == len(want[i]) && (len(want[i]) == 0 || got[i][0] == want[i][0])
		if !same {
			t.Fatalf("datagram %d is another one", i)
		}
	}
}

// checkMessage checks the rules of UDP_SEGMENT.
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
			t.Fatalf("segment %d has %d bytes, the first %d", i, len(buffer), len(message.Buffers[0]))
		}
	}
	size := len(message.Buffers[last])
	if size == 0 || size > len(message.Buffers[0]) || last >= maximumSegments || total > maximumMessage {
		t.Fatalf("%d segments, %d bytes, the last %d", last+1, total, size)
	}
	parsed, err := unix.ParseSocketControlMessage(message.OOB)
	if err != nil || len(parsed) != 1 || parsed[0].Header.Level != unix.SOL_UDP || parsed[0].Header.Type != unix.UDP_SEGMENT {
		t.Fatalf("control message %x: %v", message.OOB, err)
	}
	if got := int(binary.NativeEndian.Uint16(parsed[0].Data)); got != len(message.Buffers[0]) {
		t.Fatalf("segment size %d, want %d", got, len(message.Buffers[0]))
	}
}

func TestGrouperUsesOneMessageForEqualDatagrams(t *testing.T) {
	used := newGrouper(BatchSize)
	destination := netip.MustParseAddrPort("192.0.2.1:6081")
	for range BatchSize {
		used.add(Datagram{Destination: destination, Payload: make([]byte, 1000)})
	}
	if got := len(used.finish()); got != 1 {
		t.Fatalf("%d messages, want 1", got)
	}
	used.stopGrouping()
	for range BatchSize {
		used.add(Datagram{Destination: destination, Payload: make([]byte, 1000)})
	}
	if got := len(used.finish()); got != BatchSize {
		t.Fatalf("%d messages after grouping was stopped, want %d", got, BatchSize)
	}
}

// TestGrouperFillsMessages checks that groups are cut where the kernel would
// refuse them, and no earlier.
func TestGrouperFillsMessages(t *testing.T) {
	const size = 9000
	const perMessage = maximumMessage / size
	used := newGrouper(BatchSize)
	for range BatchSize {
		used.add(Datagram{Destination: netip.MustParseAddrPort("192.0.2.1:6081"), Payload: make([]byte, size)})
	}
	for i, message := range used.finish() {
		want := min(perMessage, BatchSize-i*perMessage)
		if got := len(message.Buffers); got != want {
			t.Fatalf("message %d has %d datagrams, want %d", i, got, want)
		}
	}
}
