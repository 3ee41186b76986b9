// Package agent implements the process that runs beside one or more back ends and
// serves their table rows. It receives the callers' packets that balancers and
// other agents send to these rows. Package admission decides for each packet
// whether the row owns its flow. The agent terminates the flows that its rows own
// in a user-space network stack, connects them to the back ends, and sends the
// responses directly to the fabric. It forwards the packets of other flows to the
// agents of their rows.
//
// The agent sends heartbeats to the daemons. Their replies carry the table, the
// state of the other agents, and the lease without which it opens no flows.
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

// Backend is a back end beside the agent.
type Backend struct {
	// Service and Name identify the table row.
	Service string
	Name    string
	// Address is the address on which the back end listens.
	Address netip.AddrPort
}

// Metrics holds the counters and gauges of an agent.
type Metrics struct {
	// DroppedPackets counts discarded packets. The label reason names the
	// cause.
	DroppedPackets metrics.Counter
	// ForwardedPackets counts packets forwarded to other agents.
	ForwardedPackets metrics.Counter
	// DeliveredPackets counts packets delivered to the local network stack.
	DeliveredPackets metrics.Counter
	// MessagesSent counts queries and replies sent to other agents.
	MessagesSent metrics.Counter
	// RefusedFlows counts the resets sent for flows refused before their
	// handshake completed. It also counts resets sent for packets of unknown
	// flows.
	RefusedFlows metrics.Counter
	// OpenFlows is the number of open flows.
	OpenFlows metrics.Gauge
}

// DiscardMetrics returns metrics that discard all values.
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

// Config holds the validated settings of an agent.
type Config struct {
	// Listen is the address that receives Geneve datagrams. The agent serves
	// the rows whose agent column equals it.
	Listen netip.AddrPort
	// Fabric is the address to which responses to callers are sent.
	Fabric netip.AddrPort
	// Daemons lists the control addresses to which heartbeats are sent.
	Daemons  []netip.AddrPort
	Backends []Backend
	// StopTimeout bounds how long a planned stop waits for open flows.
	StopTimeout time.Duration
	// FlowLimit is the largest number of remembered flows for each row.
	FlowLimit int
	// Stateless disables queries between rows, as the negative control of
	// experiments. See admission.Config.
	Stateless bool
	Logger    *log.Logger
	Metrics   Metrics
}

// Agent serves the rows of one process.
type Agent struct {
	config          Config
	started         time.Time
	packetSocket    *net.UDPConn
	heartbeatSocket *net.UDPConn
	// resetStack refuses every flow with a TCP reset.
	resetStack *netstack.Stack

	// mutex guards everything below.
	mutex         sync.Mutex
	controlClient *control.Client
	table         *table.Table
	rows          map[rowKey]*row
	peers         map[table.BackendID]peerRow
	downRows      []table.BackendID
	leavingRows   []table.BackendID
	stopping      bool
	packetDecoder *packet.Decoder
	encapDecoder  *encap.Decoder
	encoder       *encap.Encoder
	sendBuffer    []byte

	group   *errgroup.Group
	context context.Context
}

// rowKey identifies a row. The incarnation distinguishes successive uses of the
// same row identifier.
type rowKey struct {
	backend     table.BackendID
	incarnation table.Incarnation
}

// peerRow is the address and identity of a row in the table, used to send to it.
type peerRow struct {
	agentAddress netip.AddrPort
	incarnation  table.Incarnation
	service      table.ServiceID
}

// New opens the sockets of an agent. It fails if an address is in use.
func New(config Config) (*Agent, error) {
	packetSocket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Listen)
	}
	enlargeSocketBuffers(packetSocket)
	heartbeatSocket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: config.Listen.Addr().AsSlice()})
	if err != nil {
		_ = packetSocket.Close()
		return nil, errors.Wrap(err, "open heartbeat socket")
	}
	resetStack, err := netstack.New(nil)
	if err != nil {
		_ = packetSocket.Close()
		_ = heartbeatSocket.Close()
		return nil, err
	}
	started := time.Now()
	address := table.Endpoint(config.Listen.String())
	return &Agent{
		config:          config,
		started:         started,
		packetSocket:    packetSocket,
		heartbeatSocket: heartbeatSocket,
		resetStack:      resetStack,
		controlClient:   control.NewClient(address, uint64(started.UnixNano()), config.Daemons),
		rows:            make(map[rowKey]*row),
		peers:           make(map[table.BackendID]peerRow),
		packetDecoder:   packet.NewDecoder(),
		encapDecoder:    encap.NewDecoder(),
		encoder:         encap.NewEncoder(),
	}, nil
}

const socketBufferSize = 4 << 20

func enlargeSocketBuffers(socket *net.UDPConn) {
	// The kernel may grant smaller buffers. Resulting losses are counted like
	// any others.
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
}

// now returns the time since the agent started. It is read from the monotonic
// clock, which continues while the process is paused.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// Run serves until ctx ends. It then performs a planned stop: it opens no new
// flows, and open flows may finish within the stop timeout. Run returns nil after
// a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.group, a.context = errgroup.WithContext(serving)
	a.group.Go(a.receivePackets)
	a.group.Go(a.receiveGrants)
	a.group.Go(a.tick)
	a.group.Go(func() error { return a.sendResponses(a.resetStack) })
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
		_ = a.packetSocket.Close()
		_ = a.heartbeatSocket.Close()
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
	a.resetStack.Close()
}

const (
	tickInterval     = 5 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// forwardingGracePeriod is how long a stopping agent continues to forward
	// packets after its last flow has ended. Balancers may send to it until
	// they have a newer table.
	forwardingGracePeriod = 1500 * time.Millisecond
	// stopLingerTimeout bounds the wait of a planned stop for callers to
	// acknowledge the last bytes of ended flows.
	stopLingerTimeout = 3 * time.Second
	// leftAnnouncements is the number of times that an agent that has left
	// announces its stop to the daemons.
	leftAnnouncements = 3
)

// stop performs a planned stop: it waits until open flows have ended, or for the stop
// timeout, and notifies the daemons that the agent has left.
func (a *Agent) stop() {
	a.mutex.Lock()
	a.stopping = true
	a.controlClient.Leave()
	for _, served := range a.rows {
		served.machine.Leave()
	}
	open := a.openFlows()
	a.mutex.Unlock()
	a.config.Logger.Info("stopping", "open_flows", open)
	a.awaitFlowsEnded()
	a.mutex.Lock()
	remaining := a.openFlows()
	a.mutex.Unlock()
	a.announceLeft()
	a.config.Logger.Info("stopped", "cut_flows", remaining)
}

// announceLeft notifies the daemons that this agent has left, so that no other
// row waits for its lease to end. It repeats the heartbeat because a datagram may
// be lost.
func (a *Agent) announceLeft() {
	for range leftAnnouncements {
		a.mutex.Lock()
		a.controlClient.Left()
		a.sendHeartbeats(a.now())
		a.mutex.Unlock()
		time.Sleep(stopPollInterval)
	}
}

// awaitFlowsEnded waits until all flows have ended and balancers have had
// forwardingGracePeriod to send elsewhere. It waits no longer than the stop
// timeout, and for lingering flows no longer than stopLingerTimeout.
func (a *Agent) awaitFlowsEnded() {
	deadline := time.Now().Add(a.config.StopTimeout)
	graceEnd := time.Now().Add(forwardingGracePeriod)
	for time.Now().Before(deadline) {
		a.mutex.Lock()
		open := a.undecidedOrOpenFlows()
		lingering := a.lingeringFlows()
		a.mutex.Unlock()
		if open > 0 {
			graceEnd = time.Now().Add(forwardingGracePeriod)
		}
		if time.Now().After(graceEnd) && lingering == 0 {
			return
		}
		if time.Now().After(graceEnd.Add(stopLingerTimeout)) {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// openFlows returns the number of open flows of all rows. The mutex must be held.
func (a *Agent) openFlows() uint32 {
	var open uint32
	for _, served := range a.rows {
		open += served.machine.OpenFlows()
	}
	return open
}

// undecidedOrOpenFlows returns the number of flows that are open at this agent or
// whose owner is not decided yet. The mutex must be held.
func (a *Agent) undecidedOrOpenFlows() int {
	count := int(a.openFlows())
	for _, served := range a.rows {
		count += served.machine.UndecidedFlows()
	}
	return count
}

// lingeringFlows returns the number of ended flows whose last bytes the caller has
// not acknowledged yet. The mutex must be held.
func (a *Agent) lingeringFlows() int {
	count := 0
	for _, served := range a.rows {
		count += served.activeFlows
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

// countDrop counts a packet that is discarded for the given reason.
func (a *Agent) countDrop(reason string) {
	a.config.Metrics.DroppedPackets.With("reason", reason).Add(1)
}

func (a *Agent) machineConfig(id table.BackendID) admission.Config {
	config := admission.DefaultConfig(id)
	config.LeaseDuration = control.MaxLease
	config.FlowLimit = a.config.FlowLimit
	config.Stateless = a.config.Stateless
	return config
}
