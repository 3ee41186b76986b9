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

// ProxyMode is how a proxy treats the bytes of its connections.
type ProxyMode uint8

// The modes of a proxy.
const (
	// ProxyForwarding forwards bytes at once.
	ProxyForwarding ProxyMode = iota
	// ProxyDelayed forwards bytes after proxyDelay.
	ProxyDelayed
	// ProxyResponsesBlocked holds bytes from the server and forwards those to it.
	ProxyResponsesBlocked
	// ProxyRequestsBlocked holds bytes to the server and forwards those from it.
	ProxyRequestsBlocked
	// ProxyBlocked holds all bytes and connects new clients only after the mode changes.
	ProxyBlocked
)

// proxyDelay is the delay of ProxyDelayed.
const proxyDelay = 150 * time.Millisecond

// Proxy is a TCP proxy in front of one server that injects network faults. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	server   netip.AddrPort

	mutex       sync.Mutex
	mode        ProxyMode
	changed     chan struct{}
	connections map[net.Conn]bool
	// stallCount is the number of calls of StallOpen.
	stallCount int
}

// NewProxy listens on an address. It fails if the address cannot be bound.
func NewProxy(listen, server netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "open the listener of a store proxy")
	}
	created := &Proxy{
		listener: listener, server: server, changed: make(chan struct{}), connections: make(map[net.Conn]bool),
	}
	return created, nil
}

// Run accepts connections until ctx ends, then closes all of them.
func (p *Proxy) Run(ctx context.Context) {
	stopped := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.Reset()
	})
	defer stopped()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() { p.serve(ctx, connection) })
	}
}

// SetMode changes the mode of all existing and future connections.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// StallOpen makes all open connections stop forwarding for good, without closing them. New
// connections are not affected.
func (p *Proxy) StallOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stallCount++
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	defer p.closeAndForget(client)
	stallsBefore := p.track(client)
	if !p.awaitForwarding(ctx, stallsBefore, func(mode ProxyMode) bool { return mode != ProxyBlocked }) {
		return
	}
	server, err := net.DialTimeout("tcp4", p.server.String(), time.Second)
	if err != nil {
		return
	}
	defer p.closeAndForget(server)
	p.track(server)
	var copying sync.WaitGroup
	copying.Go(func() {
		p.copy(ctx, stallsBefore, server, client, func(mode ProxyMode) bool { return mode != ProxyRequestsBlocked && mode != ProxyBlocked })
	})
	copying.Go(func() {
		p.copy(ctx, stallsBefore, client, server, func(mode ProxyMode) bool { return mode != ProxyResponsesBlocked && mode != ProxyBlocked })
	})
	copying.Wait()
}

// track adds a connection to those that Reset closes. It returns the number of calls of
// StallOpen so far.
func (p *Proxy) track(connection net.Conn) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[connection] = true
	return p.stallCount
}

func (p *Proxy) closeAndForget(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
	_ = connection.Close()
}

// copy forwards bytes in one direction until either connection closes, then closes both.
func (p *Proxy) copy(ctx context.Context, stallsBefore int, to io.WriteCloser, from io.ReadCloser, forwards func(ProxyMode) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && p.awaitForwarding(ctx, stallsBefore, forwards) {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil || ctx.Err() != nil {
			return
		}
	}
}

// awaitForwarding waits until the mode lets bytes of a connection through, and for the delay of
// ProxyDelayed. It returns false if StallOpen was called since the connection opened, or when
// ctx ends.
func (p *Proxy) awaitForwarding(ctx context.Context, stallsBefore int, forwards func(ProxyMode) bool) bool {
	for {
		p.mutex.Lock()
		mode, changed, stalled := p.mode, p.changed, p.stallCount > stallsBefore
		p.mutex.Unlock()
		if stalled {
			return false
		}
		if forwards(mode) {
			return mode != ProxyDelayed || sleep(ctx, proxyDelay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits for the duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
