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

// Request is a caller's wish to open a TCP connection. Its handshake has not
// been answered yet.
type Request struct {
	forwarded *tcp.ForwarderRequest
}

// Caller returns the caller's address.
func (r *Request) Caller() netip.AddrPort {
	id := r.forwarded.ID()
	return addrPort(id.RemoteAddress, id.RemotePort)
}

// Refuse answers with a TCP reset.
func (r *Request) Refuse() { r.forwarded.Complete(true) }

// Ignore sends no answer; the caller may retransmit.
func (r *Request) Ignore() { r.forwarded.Complete(false) }

// Accept completes the handshake. It fails if the caller does not.
func (r *Request) Accept() (*Connection, error) {
	queue := new(waiter.Queue)
	endpoint, err := r.forwarded.CreateEndpoint(queue)
	if err != nil {
		r.forwarded.Complete(false)
		return nil, errors.Errorf("complete handshake: %s", err)
	}
	r.forwarded.Complete(false)
	setKeepalive(endpoint)
	return &Connection{TCPConn: gonet.NewTCPConn(queue, endpoint), endpoint: endpoint}, nil
}

// setKeepalive lets a connection end whose caller has silently gone away.
func setKeepalive(endpoint tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(keepaliveIdle)
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	// The options are valid by construction, so their errors cannot occur.
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

// WaitClosed blocks until the transport has finished with the connection after
// Close, or until the limit has passed; it then aborts it.
func (c *Connection) WaitClosed(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		state := tcp.EndpointState(c.endpoint.State())
		if state == tcp.StateClose || state == tcp.StateError {
			return
		}
		time.Sleep(closePollInterval)
	}
	c.endpoint.Abort()
}
