// This file implements the listener of the API.

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

// Bounds for callers, which may be slow or broken. An answer may wait for
// DefaultSubmitTimeout.
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
	// Listen is the TCP address; port 0 takes a free one.
	Listen  netip.AddrPort
	TLS     *tls.Config
	Handler http.Handler
}

// Server accepts connections for a Handler.
type Server struct {
	listener net.Listener
	tls      *tls.Config
	http     *http.Server
}

// NewServer opens the listener. It fails if the address cannot be bound.
// Requests are answered once Run is called.
func NewServer(config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "administration API")
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
			// Failed handshakes are the caller's to report.
			ErrorLog: log.New(io.Discard, "", 0),
		},
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run answers requests until ctx ends, lets those under way finish for a short
// time, and then returns nil. It fails only if the listener fails while ctx is
// live. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.http.Serve(tls.NewListener(s.listener, s.tls)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "administration API")
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
