package observability

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
)

// Bounds for callers of the listener, which may be slow or broken.
const (
	readTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = time.Second
)

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	// Listen is the TCP address; port 0 takes a free one.
	Listen netip.AddrPort
	// Health is what /healthz reports.
	Health *Health
	// Metrics answers /metrics. Without it there is no such path.
	Metrics http.Handler
}

// Server answers requests for health and metrics.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer opens the listener. It fails if the address cannot be bound.
// Requests are answered once Run is called.
func NewServer(config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "observability")
	}
	server := &http.Server{
		Handler:      newHandler(config),
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
	}
	return &Server{listener, server}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run answers requests until ctx ends, and then returns nil. It fails only if
// the listener fails while ctx is live. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.http.Serve(s.listener) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "observability")
	case <-ctx.Done():
	}
	s.shutdown()
	<-stopped
	return nil
}

// shutdown lets answers that are being written finish, but not for long: the
// listener is no part of what a planned stop protects.
func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

func newHandler(config ServerConfig) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /healthz", kithttp.NewServer(
		healthEndpoint(config.Health), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse))
	if config.Metrics != nil {
		mux.Handle("GET /metrics", config.Metrics)
	}
	return mux
}

func healthEndpoint(health *Health) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		return health.Status(), nil
	}
}

// StatusCode implements kithttp.StatusCoder: 200 if ready, 503 if not.
func (s Status) StatusCode() int {
	if s.Ready {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
