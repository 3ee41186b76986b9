package netstack

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// Request is a TCP connection request of a caller whose SYN has not been answered yet.
type Request struct {
	forwarded *tcp.ForwarderRequest
}

// Caller returns the address of the caller.
func (r *Request) Caller() netip.AddrPort {
	id := r.forwarded.ID()
	return addrPort(id.RemoteAddress, id.RemotePort)
}

// Refuse answers with a TCP reset.
func (r *Request) Refuse() { r.forwarded.Complete(true) }

// Ignore sends no answer. The caller may retransmit.
func (r *Request) Ignore() { r.forwarded.Complete(false) }

// Accept completes the handshake. It fails if the caller does not complete its part.
func (r *Request) Accept() (*Connection, error) {
	queue := new(waiter.Queue)
	endpoint, err := r.forwarded.CreateEndpoint(queue)
	if err != nil {
		r.forwarded.Complete(false)
		return nil, errors.Errorf("complete TCP handshake: %s", err)
	}
	r.forwarded.Complete(false)
	setKeepalive(endpoint)
	return &Connection{TCPConn: gonet.NewTCPConn(queue, endpoint), endpoint: endpoint}, nil
}

// setKeepalive enables keepalive probes, which end connections whose caller has disappeared
// without closing them.
func setKeepalive(endpoint tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(keepaliveIdle)
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	// Setting these options cannot fail, since their values are constants in the valid range.
	_ = endpoint.SetSockOpt(&idle)
	_ = endpoint.SetSockOpt(&interval)
	_ = endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveCount)
	endpoint.SocketOptions().SetKeepAlive(true)
}

// Connection is an established TCP connection with a caller.
type Connection struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

// Abort ends the connection with a TCP reset.
func (c *Connection) Abort() { c.endpoint.Abort() }

const closePollInterval = 20 * time.Millisecond

// WaitClosed blocks after Close until TCP has closed the connection. After the timeout it
// aborts the connection.
func (c *Connection) WaitClosed(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		state := tcp.EndpointState(c.endpoint.State())
		if state == tcp.StateClose || state == tcp.StateError {
			return
		}
		time.Sleep(closePollInterval)
	}
	c.endpoint.Abort()
}
