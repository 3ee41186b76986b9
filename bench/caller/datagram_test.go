package caller_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/exchange"
)

// directDialer connects to a back end over kernel sockets.
type directDialer struct{ target netip.AddrPort }

func (d directDialer) DialTCP(context.Context, netip.AddrPort) (net.Conn, error) {
	return net.Dial("tcp4", d.target.String())
}

func (d directDialer) DialUDP(netip.AddrPort) (net.Conn, error) {
	return net.Dial("udp4", d.target.String())
}

func runDatagrams(target netip.AddrPort, timeout time.Duration) caller.Result {
	client := &caller.Client{Dialer: directDialer{target}, ProgressTimeout: timeout}
	return client.Run(context.Background(), plan(caller.KindDatagrams))
}

// answerDatagrams starts a server that answers each request with the datagram that answer returns.
// Requests are numbered from 0. The server sends no answer if the back end is empty.
func answerDatagrams(answer func(number int, request exchange.Datagram) exchange.Datagram) netip.AddrPort {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(socket.Close)
	go func() {
		buffer := make([]byte, 2048)
		for number := 0; ; number++ {
			size, peer, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			request, err := exchange.DecodeDatagram(buffer[:size])
			if err != nil {
				continue
			}
			if reply := answer(number, request); reply.Backend != "" {
				_, _ = socket.WriteToUDPAddrPort(reply.Encode(), peer)
			}
		}
	}()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func startDatagramBackend(settings backend.Settings) *backend.DatagramBackend {
	settings.Listen = loopback
	created, err := backend.NewDatagram(settings)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- created.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, "30s").Should(Receive(BeNil()))
	})
	return created
}

var _ = Describe("Client with datagrams", func() {
	answerFrom := func(request exchange.Datagram, name string) exchange.Datagram {
		return exchange.Datagram{Flow: request.Flow, Request: request.Request, Service: "audio", Backend: name}
	}

	It("completes when a single back end answers", func() {
		recorder := backend.NewRecorder()
		server := startDatagramBackend(backend.Settings{Service: "audio", Name: "audio-1", Recorder: recorder})
		result := runDatagrams(server.Address(), 30*time.Second)
		Expect(result.Outcome).To(Equal(caller.OutcomeCompleted), result.Detail)
		Expect(result.Backend).To(Equal("audio-1"))
		Expect(result.AnswerTimes).To(HaveLen(4))
		Expect(recorder.BackendsOf("flow-1")).To(Equal([]string{"audio-1"}))
		Expect(server.Counters().Accepted).To(BeEquivalentTo(1))
	})

	It("reports a wrong service when a request reaches a back end of another service", func() {
		recorder := backend.NewRecorder()
		server := startDatagramBackend(backend.Settings{Service: "transcription", Name: "transcription-1", Recorder: recorder})
		Expect(runDatagrams(server.Address(), 30*time.Second).Cause).To(Equal(caller.CauseWrongService))
		Expect(recorder.Totals().Misdelivered).To(Equal(1))
	})

	It("retransmits a request without an answer and skips a late answer to an earlier request", func() {
		target := answerDatagrams(func(number int, request exchange.Datagram) exchange.Datagram {
			switch number {
			case 0:
				return exchange.Datagram{}
			case 2:
				request.Request = "flow-1-0"
			}
			return answerFrom(request, "audio-1")
		})
		Expect(runDatagrams(target, 30*time.Second).Outcome).To(Equal(caller.OutcomeCompleted))
	})

	It("reports a changed back end when another one answers", func() {
		target := answerDatagrams(func(number int, request exchange.Datagram) exchange.Datagram {
			if request.Request == "flow-1-2" {
				return answerFrom(request, "audio-2")
			}
			return answerFrom(request, "audio-1")
		})
		Expect(runDatagrams(target, 30*time.Second).Cause).To(Equal(caller.CauseBackendChanged))
	})

	It("reports a stall when there is no answer within the progress timeout", func() {
		target := answerDatagrams(func(int, exchange.Datagram) exchange.Datagram { return exchange.Datagram{} })
		Expect(runDatagrams(target, time.Millisecond).Cause).To(Equal(caller.CauseStalled))
	})
})
