package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ProxyMode is how a link treats the bytes of its connections.
type ProxyMode uint8

// The modes of a link.
const (
	// ProxyForwarding: bytes pass.
	ProxyForwarding ProxyMode = iota
	// ProxyDelayed: bytes pass late.
	ProxyDelayed
	// ProxyResponsesBlocked: bytes from the server do not pass; those to it do.
	ProxyResponsesBlocked
	// ProxyRequestsBlocked: bytes to the server do not pass; those from it do.
	ProxyRequestsBlocked
	// ProxyBlocked: no bytes pass, and new connections get no answer.
	ProxyBlocked
)

// linkDelay is how late the bytes of a delayed link are.
const linkDelay = 150 * time.Millisecond

// Proxy is a TCP proxy before one server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	server   netip.AddrPort

	mutex       sync.Mutex
	mode        ProxyMode
	changed     chan struct{}
	connections map[net.Conn]bool
	// hushed counts how often the connections that were open went silent for good.
	hushed int
}

// NewProxy listens at an address. It fails if the address cannot be bound.
func NewProxy(listen, server netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	created := &Proxy{
		listener: listener, server: server, changed: make(chan struct{}), connections: make(map[net.Conn]bool),
	}
	return created, nil
}

// Run accepts connections until ctx ends, and closes all then.
func (l *Proxy) Run(ctx context.Context) {
	stopped := context.AfterFunc(ctx, func() {
		_ = l.listener.Close()
		l.Reset()
	})
	defer stopped()
	var carrying sync.WaitGroup
	defer carrying.Wait()
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		carrying.Go(func() { l.carry(ctx, connection) })
	}
}

// SetMode changes how all connections are treated from now on.
func (l *Proxy) SetMode(mode ProxyMode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *Proxy) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// StallOpen makes all connections that are open carry nothing more, for good and without a
// word; new ones work.
func (l *Proxy) StallOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hushed++
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Proxy) carry(ctx context.Context, client net.Conn) {
	defer l.drop(client)
	begun := l.keep(client)
	if !l.pass(ctx, begun, func(mode ProxyMode) bool { return mode != ProxyBlocked }) {
		return
	}
	server, err := net.DialTimeout("tcp4", l.server.String(), time.Second)
	if err != nil {
		return
	}
	defer l.drop(server)
	l.keep(server)
	var copying sync.WaitGroup
	copying.Go(func() {
		l.copy(ctx, begun, server, client, func(mode ProxyMode) bool { return mode != ProxyRequestsBlocked && mode != ProxyBlocked })
	})
	copying.Go(func() {
		l.copy(ctx, begun, client, server, func(mode ProxyMode) bool { return mode != ProxyResponsesBlocked && mode != ProxyBlocked })
	})
	copying.Wait()
}

// keep notes a connection. It returns how often connections had gone silent before it.
func (l *Proxy) keep(connection net.Conn) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connections[connection] = true
	return l.hushed
}

func (l *Proxy) drop(connection net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, connection)
	_ = connection.Close()
}

// copy carries bytes in one direction until an end closes, and then closes both.
func (l *Proxy) copy(ctx context.Context, begun int, to io.WriteCloser, from io.ReadCloser, passes func(ProxyMode) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && l.pass(ctx, begun, passes) {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil || ctx.Err() != nil {
			return
		}
	}
}

// pass waits until bytes of a connection may pass, and for the delay of the link. It returns
// false for one that has gone silent, and when ctx ends.
func (l *Proxy) pass(ctx context.Context, begun int, passes func(ProxyMode) bool) bool {
	for {
		l.mutex.Lock()
		mode, changed, silent := l.mode, l.changed, l.hushed > begun
		l.mutex.Unlock()
		if silent {
			return false
		}
		if passes(mode) {
			return mode != ProxyDelayed || pause(ctx, linkDelay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// pause waits and reports whether ctx is still live.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
