package udpfront

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const benchmarkPayload = 1000

// openDrained returns a socket whose datagrams are read and dropped until the
// benchmark ends.
func openDrained(b *testing.B) netip.AddrPort {
	b.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { connection.Close() })
	go func() {
		buffer := make([]byte, MaxDatagramSize)
		for {
			if _, err := connection.Read(buffer); err != nil {
				return
			}
		}
	}()
	return connection.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkSend is the time for one datagram of a batch that is spread evenly
// over destinations, in messages of one datagram and grouped.
func BenchmarkSend(b *testing.B) {
	for _, destinations := range []int{1, 4, 16, BatchSize} {
		for _, grouped := range []bool{false, true} {
			b.Run(fmt.Sprintf("destinations=%d/grouped=%t", destinations, grouped), func(b *testing.B) {
				benchmarkSend(b, destinations, grouped)
			})
		}
	}
}

func benchmarkSend(b *testing.B, destinations int, grouped bool) {
	addresses := make([]netip.AddrPort, destinations)
	for i := range addresses {
		addresses[i] = openDrained(b)
	}
	sending, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { sending.Close() })
	under := newPump(sending, nil)
	if !grouped {
		under.grouper.stopGrouping()
	}
	payload := make([]byte, benchmarkPayload)
	b.ReportAllocs()
	for b.Loop() {
		for i := range BatchSize {
			under.grouper.add(Datagram{Destination: addresses[i%destinations], Payload: payload})
		}
		if failed := under.send(under.grouper.finish()); failed > 0 {
			b.Fatal("the kernel refused ", failed)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*BatchSize), "ns/datagram")
}

// BenchmarkReceive is the time for one received datagram if the sender groups
// them, with and without UDP_GRO, which hands over a group whole. Sending is
// not counted.
func BenchmarkReceive(b *testing.B) {
	for _, whole := range []bool{false, true} {
		b.Run(fmt.Sprintf("gro=%t", whole), func(b *testing.B) { benchmarkReceive(b, whole) })
	}
}

func benchmarkReceive(b *testing.B, whole bool) {
	receiving, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { receiving.Close() })
	if whole {
		receiveGroups(b, receiving)
	}
	sending, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { sending.Close() })
	sender := newPump(sending, nil)
	payload := make([]byte, benchmarkPayload)
	address := receiving.LocalAddr().(*net.UDPAddr).AddrPort()
	packets := ipv4.NewPacketConn(receiving)
	messages := make([]ipv4.Message, BatchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 1<<16)}
		messages[i].OOB = make([]byte, unix.CmsgSpace(4))
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for range BatchSize {
			sender.grouper.add(Datagram{Destination: address, Payload: payload})
		}
		if failed := sender.send(sender.grouper.finish()); failed > 0 {
			b.Fatal("the kernel refused ", failed)
		}
		b.StartTimer()
		for received := 0; received < BatchSize*benchmarkPayload; {
			count, err := packets.ReadBatch(messages, 0)
			if err != nil {
				b.Fatal(err)
			}
			for i := range count {
				received += messages[i].N
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*BatchSize), "ns/datagram")
}

func receiveGroups(b *testing.B, connection *net.UDPConn) {
	b.Helper()
	raw, err := connection.SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	err = raw.Control(func(descriptor uintptr) {
		if err := unix.SetsockoptInt(int(descriptor), unix.IPPROTO_UDP, unix.UDP_GRO, 1); err != nil {
			b.Error(err)
		}
	})
	if err != nil {
		b.Fatal(err)
	}
}
