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

// These timeouts protect the listener from slow or faulty clients.
const (
	readTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = time.Second
)

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	// Listen is the TCP address. With port 0 the system chooses a free port.
	Listen netip.AddrPort
	// Health provides the response of /healthz.
	Health *Health
	// Metrics serves /metrics. If it is nil, the path does not exist.
	Metrics http.Handler
}

// Server serves health and metrics over HTTP.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer opens the listener. It fails if the address cannot be bound. The
// server handles no requests before Run is called.
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

// Run serves requests until ctx ends, and then returns nil. It returns an error
// only if the listener fails before ctx ends. It must be called exactly once.
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

// shutdown waits for responses in progress, for at most shutdownTimeout. The
// timeout is short because a planned stop does not protect these requests.
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

// StatusCode implements kithttp.StatusCoder. It is 200 if the process is ready,
// and 503 otherwise.
func (s Status) StatusCode() int {
	if s.Ready {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
