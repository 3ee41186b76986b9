// Package backend simulates the back ends of the services for the bench. They are HTTP and UDP
// servers on kernel sockets. They answer the requests of the simulated callers and record which
// back end received which flow and executed which submission, and which requests were meant for
// another service. Downloads stream content that differs for each request, so that callers detect
// the answer to another request.
package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Settings configures a Backend.
type Settings struct {
	// Service is the name of the service that the back end belongs to.
	Service string
	// Name is the name of the row in the table.
	Name string
	// Listen is the TCP address; port 0 picks a free one.
	Listen netip.AddrPort
	// Slots is the number of submissions that run at a time. More are refused with the status
	// 503. Zero means no limit.
	Slots int
	// WorkTime is the processing time of a submission.
	WorkTime time.Duration
	// Recorder records flows and requests.
	Recorder *Recorder
}

// Backend is an HTTP server of one service. It is safe for concurrent use.
type Backend struct {
	settings Settings
	listener net.Listener
	server   *http.Server

	accepted        atomic.Int64
	open            atomic.Int64
	closedUnused    atomic.Int64
	running         atomic.Int64
	shed            atomic.Int64
	usedConnections sync.Map
}

// Counters counts the connections and refusals of a back end since its start.
type Counters struct {
	// Accepted is the number of TCP connections accepted.
	Accepted int64
	// Open is the number of TCP connections open now.
	Open int64
	// ClosedUnused is the number of connections closed without a request.
	ClosedUnused int64
	// Shed is the number of submissions that were refused because no slot was free.
	Shed int64
}

// New opens the socket of a back end. It fails if the address cannot be bound.
func New(settings Settings) (*Backend, error) {
	listener, err := net.Listen("tcp4", settings.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "open the listener of back end %s", settings.Name)
	}
	backend := &Backend{settings: settings, listener: listener}
	backend.server = &http.Server{
		Handler:   backend.handler(),
		ConnState: backend.connStateChanged,
	}
	return backend, nil
}

// Address is the TCP address of the back end.
func (b *Backend) Address() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Name is the name of the row in the table.
func (b *Backend) Name() string { return b.settings.Name }

// Service is the name of the service.
func (b *Backend) Service() string { return b.settings.Service }

// Run serves requests until ctx ends, then returns nil.
func (b *Backend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.server.Close() })
	defer stop()
	err := b.server.Serve(b.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve back end %s", b.settings.Name)
}

// Counters returns the current counters.
func (b *Backend) Counters() Counters {
	return Counters{
		Accepted:     b.accepted.Load(),
		Open:         b.open.Load(),
		ClosedUnused: b.closedUnused.Load(),
		Shed:         b.shed.Load(),
	}
}

// connStateChanged updates the counters of connections. A connection that closes without having
// been active has carried no request.
func (b *Backend) connStateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.accepted.Add(1)
		b.open.Add(1)
	case http.StateActive:
		b.usedConnections.Store(connection, true)
	case http.StateClosed, http.StateHijacked:
		b.open.Add(-1)
		if _, used := b.usedConnections.LoadAndDelete(connection); !used {
			b.closedUnused.Add(1)
		}
	}
}

// flush sends the buffered part of an answer.
func flush(writer http.ResponseWriter) {
	if err := http.NewResponseController(writer).Flush(); err != nil {
		// If the caller is gone, the next write fails.
		return
	}
}
