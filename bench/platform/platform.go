// Package platform stands in for the configuration service and the machine
// list of the hosting platform: read-only HTTP with JSON, which can be down,
// stale, slow, or show different revisions to different readers.
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

// Paths of the two documents.
const (
	PathConfiguration = "/v1/configuration"
	PathMachines      = "/v1/machines"
)

// Revision numbers the states of one document, starting at 1.
type Revision uint64

// Configuration is the document at PathConfiguration.
type Configuration struct {
	Revision Revision     `json:"revision"`
	Table    *table.Table `json:"table"`
}

// Role says what a machine does.
type Role string

// The roles of machines.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// State says whether a machine stays.
type State string

// The states of machines.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one line of the machine list.
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

// Faults disturbs the service. The zero value disturbs nothing.
type Faults struct {
	// Down makes every request fail with the status 503.
	Down bool
	// Stale makes requests see the revisions that were current when the
	// fault began.
	Stale bool
	// Delay is added to every answer.
	Delay time.Duration
	// MaxReaderLag is the longest time by which a reader sees a revision later than
	// other readers. Each reader, told apart by QueryReader, has its own
	// lag between zero and MaxReaderLag.
	MaxReaderLag time.Duration
}

// Platform is safe for concurrent use.
type Platform struct {
	listener net.Listener
	server   *http.Server
	now      func() time.Time

	mutex          sync.Mutex
	faults         Faults
	configurations history[Configuration]
	machines       history[Machines]
}

// New opens the socket of the service. It fails when the address is taken.
func New(listen netip.AddrPort) (*Platform, error) {
	listener, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	platform := &Platform{listener: listener, now: time.Now}
	platform.server = &http.Server{Handler: platform.Handler()}
	return platform, nil
}

// Address is the TCP address of the service.
func (p *Platform) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the URL of one of the paths.
func (p *Platform) URL(path string) string {
	return "http://" + p.Address().String() + path
}

// Run serves until ctx ends and returns nil then.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.server.Close() })
	defer stop()
	err := p.server.Serve(p.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "platform")
}

// PublishTable makes a copy of the table the next revision.
func (p *Platform) PublishTable(current *table.Table) Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision := p.configurations.next()
	p.configurations.add(p.now(), Configuration{Revision: revision, Table: current.Clone()})
	return revision
}

// PublishMachines makes the machine list the next revision.
func (p *Platform) PublishMachines(machines []Machine) Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision := p.machines.next()
	p.machines.add(p.now(), Machines{Revision: revision, Machines: machines})
	return revision
}

// SetFaults replaces the faults. A stale period starts at the call that sets
// Stale and ends at the call that clears it.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if faults.Stale != p.faults.Stale {
		p.configurations.freeze(faults.Stale)
		p.machines.freeze(faults.Stale)
	}
	p.faults = faults
}

// reader is one request; the bench tells readers apart by an optional query
// member, so that one reader keeps its lag over reconnects.
type reader struct {
	name string
	// known is the entity tag that the reader holds, or empty.
	known string
}

type reply struct {
	tag      string
	known    bool
	document any
}

var errDown = errors.New("platform is down")

// Handler serves both documents.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathConfiguration, newServer(documentEndpoint(p, &p.configurations)))
	mux.Handle("GET "+PathMachines, newServer(documentEndpoint(p, &p.machines)))
	return mux
}

func newServer(serve endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(serve, decodeReader, encodeReply, kithttp.ServerErrorEncoder(encodeError))
}

// documentEndpoint answers with the revision of one document that the reader
// is to see.
func documentEndpoint[Document any](p *Platform, documents *history[Document]) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		faults := p.currentFaults()
		if err := faults.apply(ctx); err != nil {
			return nil, err
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		visible, found := documents.visible(p.now().Add(-faults.lag(request.(reader))))
		if !found {
			return nil, errDown
		}
		tag := strconv.Quote(strconv.FormatUint(uint64(visible.revision), 10))
		return reply{tag, tag == request.(reader).known, visible.document}, nil
	}
}

func (p *Platform) currentFaults() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

func decodeReader(_ context.Context, request *http.Request) (any, error) {
	return reader{
		name:  request.URL.Query().Get(ReaderParameter),
		known: request.Header.Get("If-None-Match"),
	}, nil
}

func encodeReply(_ context.Context, writer http.ResponseWriter, response any) error {
	answer := response.(reply)
	writer.Header().Set("ETag", answer.tag)
	if answer.known {
		writer.WriteHeader(http.StatusNotModified)
		return nil
	}
	writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(writer).Encode(answer.document)
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	http.Error(writer, err.Error(), http.StatusServiceUnavailable)
}
