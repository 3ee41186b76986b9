// This file implements the TLS server of the API.

package adminapi

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Connection limits that protect the server from slow or faulty clients.
// writeTimeout must exceed DefaultSubmitTimeout, since a response may wait that
// long.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	writeTimeout    = 60 * time.Second
	idleTimeout     = time.Minute
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 2 * time.Second
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// Listen is the TCP address; port 0 selects a free port.
	Listen  netip.AddrPort
	TLS     *tls.Config
	Handler http.Handler
}

// Server accepts TLS connections and passes their requests to a handler.
type Server struct {
	listener net.Listener
	tls      *tls.Config
	http     *http.Server
}

// NewServer opens the listener. It fails if the address cannot be bound.
// Requests are served once Run is called.
func NewServer(config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "administration API: cannot listen")
	}
	return &Server{
		listener: listener,
		tls:      config.TLS,
		http: &http.Server{
			Handler:           config.Handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			// Failed TLS handshakes are not logged here; the client reports them.
			ErrorLog: log.New(io.Discard, "", 0),
		},
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves requests until ctx ends, then waits up to shutdownTimeout for
// requests in progress and returns nil. It returns an error only if the listener
// fails before ctx ends. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.http.Serve(tls.NewListener(s.listener, s.tls)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "administration API: cannot serve")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(shutdown); err != nil {
		_ = s.http.Close()
	}
	<-stopped
	return nil
}
