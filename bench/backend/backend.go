// Package backend stands in for the back ends of the services: HTTP servers on
// kernel sockets that know their service, record every request and stream
// content that belongs to one request only.
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
	// Slots is how many submissions run at a time; more are shed with the
	// status 503. Zero means no limit.
	Slots int
	// WorkTime is how long a submission takes.
	WorkTime time.Duration
	// Recorder records flows and requests.
	Recorder *Recorder
}

// Backend is safe for concurrent use.
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

// Counters are the numbers of a back end since its start.
type Counters struct {
	// Accepted is the number of TCP connections accepted.
	Accepted int64
	// Open is the number of TCP connections open now.
	Open int64
	// ClosedUnused is the number of connections closed without a request.
	ClosedUnused int64
	// Shed is the number of submissions refused for want of a slot.
	Shed int64
}

// New opens the socket of a back end. It fails when the address is taken.
func New(settings Settings) (*Backend, error) {
	listener, err := net.Listen("tcp4", settings.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s", settings.Name)
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

// Run serves until ctx ends and returns nil then.
func (b *Backend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { b.server.Close() })
	defer stop()
	err := b.server.Serve(b.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "back end %s", b.settings.Name)
}

// Counters returns the numbers so far.
func (b *Backend) Counters() Counters {
	return Counters{
		Accepted:     b.accepted.Load(),
		Open:         b.open.Load(),
		ClosedUnused: b.closedUnused.Load(),
		Shed:         b.shed.Load(),
	}
}

// connectionChanged keeps the counters of connections. A connection that goes
// from new to closed without having been active has carried no request.
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

// flush sends what has been written of an answer.
func flush(writer http.ResponseWriter) {
	if err := http.NewResponseController(writer).Flush(); err != nil {
		// A caller that has gone away is noticed by the next write.
		return
	}
}
