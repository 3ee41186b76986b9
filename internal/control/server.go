package control

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	serverTickInterval = 100 * time.Millisecond
	datagramSize       = 64 << 10
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// Listen is the UDP address that receives heartbeats.
	Listen netip.AddrPort
	// OnUnavailable is called, never concurrently, with the rows that must not be given new
	// flows whenever they or the table have changed.
	OnUnavailable func(configuration *table.Table, rows []table.BackendID)
	// OnObservations is called, never concurrently, with the agents that report to this
	// daemon whenever one of them or its condition has changed. It must not call the
	// Server. If it is nil, agents report to no other daemon.
	OnObservations func([]Observation)
}

// Server replies to the heartbeats of agents over UDP.
type Server struct {
	config  ServerConfig
	socket  *net.UDPConn
	started time.Time

	mutex         sync.Mutex
	registry      *Registry
	configuration *table.Table
	reported      []table.BackendID
	changed       bool
	warmedUp      bool
	observed      []Observation
}

// NewServer binds the UDP socket. It returns an error if the address cannot be used.
func NewServer(config ServerConfig) (*Server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for heartbeats on %s", config.Listen)
	}
	created := &Server{
		config:   config,
		socket:   socket,
		started:  time.Now(),
		registry: NewRegistry(),
	}
	if config.OnObservations != nil {
		created.registry.AwaitRemote()
	}
	return created, nil
}

// Publish installs a table unless it is older than the current one.
func (s *Server) Publish(configuration *table.Table) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.registry.ConfirmTable()
	if s.configuration != nil && configuration.Version < s.configuration.Version {
		return
	}
	s.configuration = configuration
	s.changed = true
	s.registry.Publish(s.now(), configuration)
	s.reportUnavailable()
}

// ConfirmTable records that the server's table is the newest available.
func (s *Server) ConfirmTable() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.registry.ConfirmTable()
}

// Run replies to heartbeats until ctx ends. It then returns nil.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.socket.Close()
	})
	group.Go(s.receive)
	group.Go(func() error { return s.tick(ctx) })
	return group.Wait()
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) tick(ctx context.Context) error {
	ticker := time.NewTicker(serverTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.mutex.Lock()
			s.registry.Tick(s.now())
			s.reportUnavailable()
			s.reportObservations()
			s.mutex.Unlock()
		}
	}
}

// reportUnavailable calls OnUnavailable if the rows or the table have changed. It does not
// do so before the first warm-up has ended: until then, agents that are down would be given
// flows. The mutex must be held.
func (s *Server) reportUnavailable() {
	if s.configuration == nil {
		return
	}
	s.warmedUp = s.warmedUp || s.registry.WarmedUp(s.now())
	if !s.warmedUp {
		return
	}
	unavailable := s.registry.Unavailable(s.now())
	if !s.changed && slices.Equal(unavailable, s.reported) {
		return
	}
	s.reported = unavailable
	s.changed = false
	s.config.OnUnavailable(s.configuration, unavailable)
}

func (s *Server) receive() error {
	buffer := make([]byte, datagramSize)
	for {
		count, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		var datagram Datagram
		if _, err := datagram.UnmarshalMsg(buffer[:count]); err != nil || datagram.Heartbeat == nil {
			continue
		}
		s.reply(from, *datagram.Heartbeat)
	}
}

func (s *Server) reply(to netip.AddrPort, heartbeat Heartbeat) {
	s.mutex.Lock()
	now := s.now()
	s.registry.Tick(now)
	grant, granted := s.registry.Receive(now, heartbeat)
	s.reportUnavailable()
	s.mutex.Unlock()
	if !granted {
		return
	}
	encoded, err := (&Datagram{Grant: &grant}).MarshalMsg(nil)
	if err != nil {
		panic("control: cannot encode a grant for an agent: " + err.Error())
	}
	// A lost grant needs no retry: the next heartbeat is granted again.
	_, _ = s.socket.WriteToUDPAddrPort(encoded, to)
}
