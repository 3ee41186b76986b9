// Package platform simulates the configuration service and the machine list of the hosting
// platform for experiments with real daemons. It serves published tables and machine lists
// as JSON over HTTP, read-only. Faults make it unavailable, stale or slow, or show different
// revisions to different readers.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Paths of the documents.
const (
	PathConfiguration = "/v1/configuration"
	PathMachines      = "/v1/machines"
)

// Revision numbers the versions of one document, starting at 1.
type Revision uint64

// Configuration is the document at PathConfiguration.
type Configuration struct {
	Revision Revision     `json:"revision"`
	Table    *table.Table `json:"table"`
}

// Role is the daemon that a machine runs.
type Role string

// Roles of machines.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// State is the lifecycle state of a machine: in service or about to be removed.
type State string

// States of machines.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Role    Role           `json:"role"`
	State   State          `json:"state"`
}

// Machines is the document at PathMachines.
type Machines struct {
	Revision Revision  `json:"revision"`
	Machines []Machine `json:"machines"`
}

// Faults selects faults of the service. The zero value selects none.
type Faults struct {
	// Down makes every request fail with status 503.
	Down bool
	// Stale freezes the documents at the revisions that were current when it was set.
	Stale bool
	// Delay is added to the duration of every request.
	Delay time.Duration
	// MaxReaderLag is the maximum lag with which a reader sees a revision. Each reader,
	// identified by ReaderParameter, has its own lag from zero to MaxReaderLag.
	MaxReaderLag time.Duration
}

// Platform is the simulated service. It is safe for concurrent use.
type Platform struct {
	listener net.Listener
	server   *http.Server
	now      func() time.Time

	mutex          sync.Mutex
	faults         Faults
	configurations history[Configuration]
	machines       history[Machines]
}

// New opens the listening socket. It returns an error if the address is not available.
func New(listen netip.AddrPort) (*Platform, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "platform: open listening socket")
	}
	platform := &Platform{listener: listener, now: time.Now}
	platform.server = &http.Server{Handler: platform.Handler()}
	return platform, nil
}

// Address returns the TCP address of the service.
func (p *Platform) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the URL of a path.
func (p *Platform) URL(path string) string {
	return "http://" + p.Address().String() + path
}

// Run serves requests until ctx ends and then returns nil.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.server.Close() })
	defer stop()
	err := p.server.Serve(p.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "platform: serve HTTP")
}

// PublishTable publishes a copy of the table as the next revision.
func (p *Platform) PublishTable(current *table.Table) Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision := p.configurations.next()
	p.configurations.add(p.now(), Configuration{Revision: revision, Table: current.Clone()})
	return revision
}

// PublishMachines publishes the machine list as the next revision.
func (p *Platform) PublishMachines(machines []Machine) Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision := p.machines.next()
	p.machines.add(p.now(), Machines{Revision: revision, Machines: machines})
	return revision
}

// SetFaults replaces the faults. A stale period starts with the call that sets Stale and ends
// with the call that clears it.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if faults.Stale != p.faults.Stale {
		p.configurations.freeze(faults.Stale)
		p.machines.freeze(faults.Stale)
	}
	p.faults = faults
}

// readRequest is one request for a document. Its name is the optional ReaderParameter, by
// which a reader keeps its lag when it reconnects.
type readRequest struct {
	name string
	// entityTag is the value of If-None-Match, or empty.
	entityTag string
}

type reply struct {
	entityTag  string
	unmodified bool
	document   any
}

var errDown = errors.New("platform: document is unavailable")

// Handler returns the HTTP handler of both documents.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathConfiguration, newServer(documentEndpoint(p, &p.configurations)))
	mux.Handle("GET "+PathMachines, newServer(documentEndpoint(p, &p.machines)))
	return mux
}

func newServer(serve endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(serve, decodeReader, encodeReply, kithttp.ServerErrorEncoder(encodeError))
}

// documentEndpoint returns the revision of a document that is visible to the reader.
func documentEndpoint[Document any](p *Platform, documents *history[Document]) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		faults := p.currentFaults()
		if err := faults.apply(ctx); err != nil {
			return nil, err
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		visible, found := documents.visible(p.now().Add(-faults.lag(request.(readRequest))))
		if !found {
			return nil, errDown
		}
		tag := strconv.Quote(strconv.FormatUint(uint64(visible.revision), 10))
		return reply{tag, tag == request.(readRequest).entityTag, visible.document}, nil
	}
}

func (p *Platform) currentFaults() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

func decodeReader(_ context.Context, request *http.Request) (any, error) {
	return readRequest{
		name:      request.URL.Query().Get(ReaderParameter),
		entityTag: request.Header.Get("If-None-Match"),
	}, nil
}

func encodeReply(_ context.Context, writer http.ResponseWriter, response any) error {
	answer := response.(reply)
	writer.Header().Set("ETag", answer.entityTag)
	if answer.unmodified {
		writer.WriteHeader(http.StatusNotModified)
		return nil
	}
	writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(writer).Encode(answer.document)
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	http.Error(writer, err.Error(), http.StatusServiceUnavailable)
}
