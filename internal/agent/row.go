package agent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/netstack"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	dialTimeout = 3 * time.Second
	// lingerTimeout bounds how long the transport of an ended flow may take to
	// deliver its last bytes to the caller.
	lingerTimeout = time.Minute
	// udpIdleTimeout is the time without traffic after which a UDP flow ends.
	udpIdleTimeout = time.Minute
)

// row is a table row that the agent serves. It connects the flows that its machine
// has opened to the back end.
type row struct {
	agent          *Agent
	machine        *admission.Machine
	stack          *netstack.Stack
	service        table.Service
	backend        table.Backend
	backendAddress netip.AddrPort
	// activeFlows counts the flows whose goroutine is running. It is guarded by
	// the agent's mutex.
	activeFlows int
}

// OpenTCP implements netstack.Handler. It connects to the back end before it
// completes the caller's handshake, so that no data of a refused flow reaches the
// back end.
func (r *row) OpenTCP(request *netstack.Request) {
	key := admission.FlowKeyOf(request.Caller())
	sequence, owned := r.beginFlow(key)
	if !owned {
		request.Ignore()
		return
	}
	defer r.endFlow()
	backend, err := r.dial("tcp4")
	if err != nil {
		r.recordRefused(key, sequence)
		request.Refuse()
		return
	}
	defer func() { _ = backend.Close() }()
	caller, err := request.Accept()
	if err != nil {
		r.recordClosed(key, sequence)
		return
	}
	stream := backend.(*net.TCPConn)
	complete := spliceStreams(caller, stream, func() {
		caller.Abort()
		_ = stream.SetLinger(0)
		_ = stream.Close()
	})
	_ = caller.Close()
	if complete {
		r.recordLingering(key, sequence)
		caller.WaitClosed(lingerTimeout)
	}
	r.recordClosed(key, sequence)
}

// OpenUDP implements netstack.Handler. The flow ends after udpIdleTimeout without
// traffic.
func (r *row) OpenUDP(address netip.AddrPort, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	key := admission.FlowKeyOf(address)
	if _, owned := r.beginFlow(key); !owned {
		return
	}
	defer r.endFlow()
	defer r.forgetFlow(key)
	backend, err := r.dial("udp4")
	if err != nil {
		return
	}
	defer func() { _ = backend.Close() }()
	spliceDatagrams(caller, backend, udpIdleTimeout)
}

func (r *row) dial(network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(r.agent.context, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, r.backendAddress.String())
}

// beginFlow counts a flow as active if the machine has opened it at this row. It
// returns the flow's initial sequence number.
func (r *row) beginFlow(key admission.FlowKey) (uint32, bool) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	sequence, owned := r.machine.OpenFlowSequence(key)
	if owned {
		r.activeFlows++
	}
	return sequence, owned
}

func (r *row) endFlow() {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.activeFlows--
}

func (r *row) recordRefused(key admission.FlowKey, sequence uint32) {
	r.agent.config.Metrics.RefusedFlows.Add(1)
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowRefused(r.agent.now(), key, sequence)
}

func (r *row) recordLingering(key admission.FlowKey, sequence uint32) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowLingering(r.agent.now(), key, sequence)
}

func (r *row) recordClosed(key admission.FlowKey, sequence uint32) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowClosed(r.agent.now(), key, sequence)
}

func (r *row) forgetFlow(key admission.FlowKey) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.ForgetFlow(key)
}
