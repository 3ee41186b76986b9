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

// openDiscardingSocket returns the address of a socket that reads and discards
// datagrams until the benchmark ends.
func openDiscardingSocket(b *testing.B) netip.AddrPort {
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

// BenchmarkSend measures the time for one datagram of a batch that is distributed
// evenly over destinations, with and without coalescing.
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
		addresses[i] = openDiscardingSocket(b)
	}
	sending, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { sending.Close() })
	worker := newSocketWorker(sending, nil)
	if !grouped {
		worker.coalescer.disableCoalescing()
	}
	payload := make([]byte, benchmarkPayload)
	b.ReportAllocs()
	for b.Loop() {
		for i := range BatchSize {
			worker.coalescer.add(Datagram{Destination: addresses[i%destinations], Payload: payload})
		}
		if failed := worker.send(worker.coalescer.takeMessages()); failed > 0 {
			b.Fatal("the kernel refused ", failed)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*BatchSize), "ns/datagram")
}

// BenchmarkReceive measures the time for one received datagram if the sender
// coalesces them, with and without UDP_GRO, which delivers coalesced datagrams in
// one buffer. The time for sending is excluded.
func BenchmarkReceive(b *testing.B) {
	for _, gro := range []bool{false, true} {
		b.Run(fmt.Sprintf("gro=%t", gro), func(b *testing.B) { benchmarkReceive(b, gro) })
	}
}

func benchmarkReceive(b *testing.B, gro bool) {
	receiving, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { receiving.Close() })
	if gro {
		enableGRO(b, receiving)
	}
	sending, err := listenShared(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { sending.Close() })
	sender := newSocketWorker(sending, nil)
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
			sender.coalescer.add(Datagram{Destination: address, Payload: payload})
		}
		if failed := sender.send(sender.coalescer.takeMessages()); failed > 0 {
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

// enableGRO sets UDP_GRO on the socket.
func enableGRO(b *testing.B, connection *net.UDPConn) {
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
