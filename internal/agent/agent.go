// Package agent implements the process beside back ends: it receives the
// packets that balancers send to its rows, lets package admission decide about
// them, terminates the flows it owns, and joins them to the back ends.
package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/netstack"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Backend is a real back end that the agent stands beside.
type Backend struct {
	// Service and Name identify the table row.
	Service string
	Name    string
	// Address is where the back end listens.
	Address netip.AddrPort
}

// Metrics are the agent's counters and gauges.
type Metrics struct {
	// DroppedPackets counts discarded packets by label reason.
	DroppedPackets metrics.Counter
	// ForwardedPackets counts packets passed along to other agents.
	ForwardedPackets metrics.Counter
	// DeliveredPackets counts packets given to the local transport stack.
	DeliveredPackets metrics.Counter
	// MessagesSent counts messages sent to other agents.
	MessagesSent metrics.Counter
	// RefusedFlows counts flows refused before their handshake completed.
	RefusedFlows metrics.Counter
	// OpenFlows is the number of open flows.
	OpenFlows metrics.Gauge
}

// DiscardMetrics returns metrics that are not kept.
func DiscardMetrics() Metrics {
	return Metrics{
		DroppedPackets:   discard.NewCounter(),
		ForwardedPackets: discard.NewCounter(),
		DeliveredPackets: discard.NewCounter(),
		MessagesSent:     discard.NewCounter(),
		RefusedFlows:     discard.NewCounter(),
		OpenFlows:        discard.NewGauge(),
	}
}

// Config holds the checked settings of an agent.
type Config struct {
	// Listen receives Geneve; it equals the agent column of the rows served.
	Listen netip.AddrPort
	// Fabric is where answers to callers are sent.
	Fabric netip.AddrPort
	// Daemons are the control addresses to which heartbeats are sent.
	Daemons  []netip.AddrPort
	Backends []Backend
	// StopTimeout bounds how long a planned stop waits for open flows.
	StopTimeout time.Duration
	// FlowLimit is the largest number of flows in memory for each row.
	FlowLimit int
	// Stateless is the negative control of experiments: see
	// admission.Config.
	Stateless bool
	Logger    *log.Logger
	Metrics   Metrics
}

// Agent runs the rows of one process.
type Agent struct {
	config  Config
	started time.Time
	socket  *net.UDPConn
	control *net.UDPConn
	refuser *netstack.Stack

	// mutex guards everything below.
	mutex    sync.Mutex
	client   *control.Client
	table    *table.Table
	rows     map[rowKey]*row
	peers    map[table.BackendID]peer
	down     []table.BackendID
	left     []table.BackendID
	leaving  bool
	decoder  *packet.Decoder
	envelope *encap.Decoder
	encoder  *encap.Encoder
	output   []byte

	group   *errgroup.Group
	context context.Context
}

// rowKey tells apart successive uses of one row identifier.
type rowKey struct {
	backend     table.BackendID
	incarnation table.Incarnation
}

// peer is where another row of one of the agent's services is reached.
type peer struct {
	agent       netip.AddrPort
	incarnation table.Incarnation
	service     table.ServiceID
}

// New binds the agent's sockets. It fails if an address is in use.
func New(config Config) (*Agent, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Listen)
	}
	enlargeBuffers(socket)
	heartbeats, err := net.ListenUDP("udp4", &net.UDPAddr{IP: config.Listen.Addr().AsSlice()})
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "open heartbeat socket")
	}
	refuser, err := netstack.New(nil)
	if err != nil {
		_ = socket.Close()
		_ = heartbeats.Close()
		return nil, err
	}
	started := time.Now()
	address := table.Endpoint(config.Listen.String())
	return &Agent{
		config:   config,
		started:  started,
		socket:   socket,
		control:  heartbeats,
		refuser:  refuser,
		client:   control.NewClient(address, uint64(started.UnixNano()), config.Daemons),
		rows:     make(map[rowKey]*row),
		peers:    make(map[table.BackendID]peer),
		decoder:  packet.NewDecoder(),
		envelope: encap.NewDecoder(),
		encoder:  encap.NewEncoder(),
	}, nil
}

const socketBufferSize = 4 << 20

func enlargeBuffers(socket *net.UDPConn) {
	// The kernel may grant less; losses are then counted as usual.
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
}

// now is the time since the agent started, on the monotonic clock, which goes
// on while the process is paused.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// Run serves until ctx ends, and then stops as planned: no new flows, open ones
// finish within the stop timeout. It returns nil after a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.group, a.context = errgroup.WithContext(serving)
	a.group.Go(a.receivePackets)
	a.group.Go(a.receiveGrants)
	a.group.Go(a.tick)
	a.group.Go(func() error { return a.transmit(a.refuser) })
	a.group.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop()
		case <-a.context.Done():
		}
		cancel()
		return nil
	})
	a.group.Go(func() error {
		<-a.context.Done()
		_ = a.socket.Close()
		_ = a.control.Close()
		return nil
	})
	err := a.group.Wait()
	a.closeRows()
	return err
}

func (a *Agent) closeRows() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, served := range a.rows {
		served.stack.Close()
	}
	a.refuser.Close()
}

const (
	tickInterval     = 5 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// handoffTime is how long a stopping agent goes on passing packets along
	// after its last flow, until balancers no longer send to it.
	handoffTime = 1500 * time.Millisecond
	// stopLingerTimeout bounds, at a planned stop, the wait for callers to
	// acknowledge the last bytes of ended flows.
	stopLingerTimeout = 3 * time.Second
	// leftRepetitions is how often a stopped agent says that it has left.
	leftRepetitions = 3
)

// stop lets open flows finish.
func (a *Agent) stop() {
	a.mutex.Lock()
	a.leaving = true
	a.client.Leave()
	for _, served := range a.rows {
		served.machine.Leave()
	}
	open := a.openFlows()
	a.mutex.Unlock()
	a.config.Logger.Info("stopping", "open_flows", open)
	a.awaitFlows()
	a.mutex.Lock()
	remaining := a.openFlows()
	a.mutex.Unlock()
	a.sayLeft()
	a.config.Logger.Info("stopped", "cut_flows", remaining)
}

// sayLeft tells the daemons that this agent is gone, so that nobody waits for
// its lease to end. It is said more than once, since a datagram may be lost.
func (a *Agent) sayLeft() {
	for range leftRepetitions {
		a.mutex.Lock()
		a.client.Left()
		a.sendHeartbeats(a.now())
		a.mutex.Unlock()
		time.Sleep(stopPollInterval)
	}
}

// awaitFlows waits until all flows have ended and balancers have had the time to
// send elsewhere, within the stop timeout.
func (a *Agent) awaitFlows() {
	deadline := time.Now().Add(a.config.StopTimeout)
	quiet := time.Now().Add(handoffTime)
	for time.Now().Before(deadline) {
		a.mutex.Lock()
		open := a.undecidedOrOpen()
		lingering := a.lingeringFlows()
		a.mutex.Unlock()
		if open > 0 {
			quiet = time.Now().Add(handoffTime)
		}
		if time.Now().After(quiet) && lingering == 0 {
			return
		}
		if time.Now().After(quiet.Add(stopLingerTimeout)) {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// openFlows returns the flows open at all rows. The mutex must be held.
func (a *Agent) openFlows() uint32 {
	var open uint32
	for _, served := range a.rows {
		open += served.machine.OpenFlows()
	}
	return open
}

// undecidedOrOpen returns the flows that new packets may still belong to. The
// mutex must be held.
func (a *Agent) undecidedOrOpen() int {
	count := int(a.openFlows())
	for _, served := range a.rows {
		count += served.machine.UndecidedFlows()
	}
	return count
}

// lingeringFlows returns the ended flows whose last bytes the caller has not
// acknowledged yet. The mutex must be held.
func (a *Agent) lingeringFlows() int {
	count := 0
	for _, served := range a.rows {
		count += served.active
	}
	return count - int(a.openFlows())
}

func (a *Agent) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.context.Done():
			return nil
		case <-ticker.C:
			a.tickOnce()
		}
	}
}

func (a *Agent) tickOnce() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	a.sendHeartbeats(now)
	for _, served := range a.rows {
		a.execute(served, served.machine.Tick(now))
	}
	a.config.Metrics.OpenFlows.Set(float64(a.openFlows()))
}

// dropped counts a discarded packet.
func (a *Agent) dropped(reason string) {
	a.config.Metrics.DroppedPackets.With("reason", reason).Add(1)
}

func (a *Agent) machineConfig(id table.BackendID) admission.Config {
	config := admission.DefaultConfig(id)
	config.LeaseDuration = control.MaximumLease
	config.FlowLimit = a.config.FlowLimit
	config.Stateless = a.config.Stateless
	return config
}
