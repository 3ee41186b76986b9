//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

// The bounds of the deployment, those of kit/more/system/sites/sawt-vm.toml.
const (
	contactBound = 4 * time.Second
	drainBound   = 3 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
)

// The cold start of kit/more/system/shifted/sawt-vm-now-grown.toml.
const (
	coldStart   = 8 * time.Second
	coldOverrun = 1.5
	coldSlack   = 5.0
)

// The kinds of machines, the third byte of their loopback addresses.
const (
	kindBalancer = 1
	kindSide     = 2
	kindClient   = 3
	kindStore    = 4
	kindRoute    = 9
)

// The ports, alike on all machines. They are chosen when the case starts.
type ports struct{ datagram, ready, control, outbound, app, store, internal int }

// deployment is a small deployment: its store, processes, endpoints and client machine.
type deployment struct {
	binary    string
	directory string
	network   byte
	ports     ports
	record    *record
	codec     platformtest.Codec
	store     *platformtest.Store
	// watchedAt is when each balancer last called a watch that waits.
	watchMutex sync.Mutex
	watchedAt  map[int]time.Time

	balancers []*process
	sides     []*side
	router    *router
	client    *client
	version   uint64
	// coldPerS is the rate of a cold endpoint, 0 for no limit.
	coldPerS float64
}

func newDeployment(binary, directory string, log *record) (*deployment, error) {
	for range 50 {
		d := &deployment{
			binary: binary, directory: directory, record: log, network: byte(64 + rand.IntN(150)),
			codec: platformtest.Codec{Key: rand.Uint64()}, store: platformtest.NewStore(), watchedAt: make(map[int]time.Time),
		}
		base := 15000 + rand.IntN(10000)
		d.ports = ports{datagram: base, ready: base + 1, control: base + 2, outbound: base + 3, app: base + 4, store: base + 5, internal: base + 6}
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free network of loopback addresses")
}

func (d *deployment) portsFree() bool {
	for offset := range 8 {
		address := fmt.Sprintf("127.%d.%d.1:%d", d.network, kindBalancer, d.ports.datagram+offset)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = listener.Close()
		socket, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}

func (d *deployment) ip(kind, number int) [4]byte {
	return [4]byte{127, d.network, byte(kind), byte(number + 1)}
}

func (d *deployment) at(kind, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(d.ip(kind, number)), uint16(port))
}

// routeAddress is the platform address of a route.
func (d *deployment) routeAddress(number int) segment.Address {
	return segment.Address{IP: d.ip(kindRoute, number), Port: 443}
}

// serveStore opens the platform's store to one balancer, at an address of its own, so that the calls
// of each balancer can be told apart.
func (d *deployment) serveStore(ctx context.Context, balancer int) error {
	listener, err := net.Listen("tcp4", d.at(kindStore, balancer, d.ports.store).String())
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
		if wait >= 100 {
			d.watchMutex.Lock()
			d.watchedAt[balancer] = time.Now()
			d.watchMutex.Unlock()
		}
		d.store.ServeHTTP(w, request)
	})}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// process is a process of vanetiller-relay on one machine, which is started again when it ends.
type process struct {
	d              *deployment
	name           string
	first, restart string
	mutex          sync.Mutex
	command        *exec.Cmd
	done           chan struct{}
}

func (p *process) start(settings string) error {
	path := filepath.Join(p.d.directory, p.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.d.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.d.binary, "-settings", path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	_ = output.Close()
	done := make(chan struct{})
	p.mutex.Lock()
	p.command, p.done = command, done
	p.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	p.d.record.write("%s starts (process %d)", p.name, command.Process.Pid)
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
	p.d.record.write("%s gets %s", p.name, signal)
}

func (p *process) wait() {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done != nil {
		<-done
	}
}

// startAgain starts the process with the settings of a later start once it has ended.
func (p *process) startAgain() error {
	p.wait()
	time.Sleep(restartDelay)
	return p.start(p.restart)
}

func (p *process) end() {
	p.mutex.Lock()
	command, done := p.command, p.done
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-done
}

// side is a machine with an endpoint and the agent beside it.
type side struct {
	agent    *process
	endpoint *endpoint
}

// addBalancer starts a balancer. Its settings are those of deploy/balancer.toml.tmpl.
func (d *deployment) addBalancer(number, seeds int) error {
	var addresses []string
	for seed := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", d.at(kindBalancer, seed, d.ports.control)))
	}
	settings := func(first bool) string {
		return fmt.Sprintf(`name = "edge-%d"
zone = "zone-1"
[observability]
listen = "%s"
[relay]
peers = "%s"
flow_lifetime = "60s"
stop_timeout = "6s"
[relay.balancer]
listen = "%s"
store = "%s"
store_rate = 2000
apply_timeout = "3000ms"
drain_timeout = "3000ms"
contact_timeout = "4000ms"
first_start = %t
exchange = "%s"
updates = "%s"
seeds = [%s]
zones = ["zone-1"]
`, number, d.at(kindBalancer, number, d.ports.ready), d.at(kindBalancer, number, d.ports.internal), d.at(kindBalancer, number, d.ports.datagram),
			d.at(kindStore, number, d.ports.store), first, d.at(kindBalancer, number, d.ports.control), d.at(kindBalancer, number, d.ports.internal+1), strings.Join(addresses, ", "))
	}
	created := &process{d: d, name: fmt.Sprintf("edge-%d", number), first: settings(true), restart: settings(false)}
	d.balancers = append(d.balancers, created)
	return created.start(created.first)
}

// addSide starts an agent, with the settings of deploy/agent.toml.tmpl, and the endpoint beside it.
func (d *deployment) addSide(ctx context.Context, number int, service string) error {
	settings := func(first bool) string {
		return fmt.Sprintf(`name = "side-%d"
zone = "zone-1"
[observability]
listen = "%s"
[relay]
peers = "%s"
flow_lifetime = "60s"
stop_timeout = "6s"
[relay.agent]
service = %q
endpoint = "%s"
emitted = "%s"
first_start = %t
queue_discipline = "earliest_due"
cold_overrun = %v
cold_slack = %v
`, number, d.at(kindSide, number, d.ports.ready), d.at(kindSide, number, d.ports.datagram), service,
			d.at(kindSide, number, d.ports.app), d.at(kindSide, number, d.ports.outbound), first, coldOverrun, coldSlack)
	}
	created := &side{agent: &process{d: d, name: fmt.Sprintf("side-%d", number), first: settings(true), restart: settings(false)}}
	var err error
	created.endpoint, err = newEndpoint(ctx, d, fmt.Sprintf("i-%08x", rand.Uint32()), service, d.ip(kindSide, number))
	if err != nil {
		return err
	}
	d.record.write("endpoint %s of %s starts beside side-%d", created.endpoint.id, service, number)
	d.sides = append(d.sides, created)
	if d.router != nil {
		return created.agent.start(created.agent.restart)
	}
	return created.agent.start(created.agent.first)
}

func (d *deployment) processes() []*process {
	all := append([]*process(nil), d.balancers...)
	for _, each := range d.sides {
		all = append(all, each.agent)
	}
	return all
}

func (d *deployment) endProcesses() {
	for _, each := range d.processes() {
		each.end()
	}
}

// awaitReady waits until the given number of balancers answer 200 to the readiness call.
func (d *deployment) awaitReady(count int, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if d.router.readyCount() >= count {
			return nil
		}
	}
	return fmt.Errorf("fewer than %d balancers are ready after %s", count, limit)
}
