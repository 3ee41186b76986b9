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
	// lingerTimeout bounds how long an ended flow's transport may take to
	// deliver its last bytes to the caller.
	lingerTimeout = time.Minute
	// datagramIdle is when a UDP flow without traffic ends.
	datagramIdle = time.Minute
)

// row is one table row that the agent serves.
type row struct {
	agent   *Agent
	machine *admission.Machine
	stack   *netstack.Stack
	service table.Service
	backend table.Backend
	address netip.AddrPort
	// active counts flows whose goroutine still runs. Guarded by the agent's
	// mutex.
	active int
}

// OpenTCP implements netstack.Handler: it connects to the back end before it
// completes the caller's handshake, so that a refused flow has not run.
func (r *row) OpenTCP(request *netstack.Request) {
	key := admission.FlowKeyOf(request.Caller())
	sequence, owned := r.enter(key)
	if !owned {
		request.Ignore()
		return
	}
	defer r.leave()
	backend, err := r.dial("tcp4")
	if err != nil {
		r.refuse(key, sequence)
		request.Refuse()
		return
	}
	defer func() { _ = backend.Close() }()
	caller, err := request.Accept()
	if err != nil {
		r.closed(key, sequence)
		return
	}
	stream := backend.(*net.TCPConn)
	whole := spliceStreams(caller, stream, func() {
		caller.Abort()
		_ = stream.SetLinger(0)
		_ = stream.Close()
	})
	_ = caller.Close()
	if whole {
		r.released(key, sequence)
		caller.WaitClosed(lingerTimeout)
	}
	r.closed(key, sequence)
}

// OpenUDP implements netstack.Handler.
func (r *row) OpenUDP(address netip.AddrPort, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	key := admission.FlowKeyOf(address)
	if _, owned := r.enter(key); !owned {
		return
	}
	defer r.leave()
	defer r.forget(key)
	backend, err := r.dial("udp4")
	if err != nil {
		return
	}
	defer func() { _ = backend.Close() }()
	spliceDatagrams(caller, backend, datagramIdle)
}

func (r *row) dial(network string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(r.agent.context, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, r.address.String())
}

// enter begins the work on a flow if the machine has opened it here.
func (r *row) enter(key admission.FlowKey) (uint32, bool) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	sequence, owned := r.machine.OpenFlowSequence(key)
	if owned {
		r.active++
	}
	return sequence, owned
}

func (r *row) leave() {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.active--
}

func (r *row) refuse(key admission.FlowKey, sequence uint32) {
	r.agent.config.Metrics.RefusedFlows.Add(1)
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowRefused(r.agent.now(), key, sequence)
}

func (r *row) released(key admission.FlowKey, sequence uint32) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowLingering(r.agent.now(), key, sequence)
}

func (r *row) closed(key admission.FlowKey, sequence uint32) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.FlowClosed(r.agent.now(), key, sequence)
}

func (r *row) forget(key admission.FlowKey) {
	r.agent.mutex.Lock()
	defer r.agent.mutex.Unlock()
	r.machine.ForgetFlow(key)
}
