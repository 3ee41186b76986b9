//go:build review2

// Command rig-2 plays the cases of a review: it starts the project's programs as processes on
// loopback addresses, with a store, endpoints and clients of its own.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The ports of every machine, as offsets from a base that is free.
const (
	portDatagram = iota
	portReady
	portControl
	portApp
	portOutbound
	portInternalFirst
	portInternalLast
	portStore
	portCount
)

// The third byte of an address, by the kind of machine.
const (
	kindBalancer = iota + 1
	kindMachine
	kindClient
	kindStore
)

type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// rig holds what a case has started.
type rig struct {
	trouble   bool
	network   byte
	base      int
	directory string
	record    *os.File
	began     time.Time
	store     *store
	codec     platformtest.Codec
	zones     []string
	balancers int
	// serving holds the balancers that have an address of the store.
	serving map[int]bool

	mutex     sync.Mutex
	processes []*process
	openings  map[segment.FlowKey][]*endpoint
	// onOpening, if set, is called with the endpoint for each flow that an endpoint is given.
	onOpening func(*endpoint)
	// onPacket, if set, is called for each packet of a client in an open flow that comes to an endpoint.
	onPacket func(*endpoint, segment.FlowKey)
	runs     map[string][]*endpoint
}

// cases are the cases by their names. Each reports whether the rule held.
var cases = map[string]func(*rig) bool{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, exists := cases[os.Args[1]]
	if !exists {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*rig) bool, record string) (status int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(directory)
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", directory: directory, record: file, began: time.Now(), store: newStore(),
		codec: platformtest.Codec{Key: 7}, zones: []string{"zone-a"},
		serving:  make(map[int]bool),
		openings: make(map[segment.FlowKey][]*endpoint), runs: make(map[string][]*endpoint),
	}
	defer r.stopAll()
	defer func() {
		if failure := recover(); failure != nil {
			r.log("the case could not run: %v", failure)
			status = exitNotRun
		}
	}()
	watchdog := time.AfterFunc(115*time.Second, func() {
		r.log("the case took too long")
		r.stopAll()
		os.RemoveAll(directory)
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	r.choosePorts()
	if play(r) {
		r.log("the rule held")
		return exitHeld
	}
	r.log("the rule was broken")
	return exitBroken
}

func (r *rig) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (r *rig) log(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// choosePorts finds a network of loopback addresses and a range of ports that are free.
func (r *rig) choosePorts() {
	r.network = byte(64 + os.Getpid()%128)
	for base := 21000; base < 31000; base += 100 {
		r.base = base
		if r.portsFree() {
			return
		}
	}
	panic("no free ports")
}

func (r *rig) portsFree() bool {
	for port := range portCount {
		for _, kind := range []int{kindBalancer, kindMachine, kindClient, kindStore} {
			at := r.at(r.ip(kind, 0), port)
			listener, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			listener.Close()
			socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
			if err != nil {
				return false
			}
			socket.Close()
		}
	}
	return true
}

func (r *rig) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.network, byte(kind), byte(number + 1)})
}
func (r *rig) balancerIP(number int) netip.Addr { return r.ip(kindBalancer, number) }
func (r *rig) machineIP(number int) netip.Addr  { return r.ip(kindMachine, number) }
func (r *rig) zone(number int) string           { return r.zones[number%len(r.zones)] }

func (r *rig) at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(r.base+port))
}

// serveStore gives each balancer an address of the store of its own, by which the store tells
// them apart.
func (r *rig) serveStore(balancer int) {
	listener, err := net.Listen("tcp4", r.at(r.ip(kindStore, balancer), portStore).String())
	r.must(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.store.serve(balancer, w, request) })
	go func() { _ = http.Serve(listener, handler) }()
}

// seeds returns the Control addresses of the first balancers.
func (r *rig) seeds() string {
	var seeds []string
	for number := range min(r.balancers, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", r.at(r.balancerIP(number), portControl)))
	}
	return strings.Join(seeds, ",")
}

// startBalancer starts a balancer with the settings that deploy/balancer.toml.tmpl yields.
func (r *rig) startBalancer(number int, first bool) *process {
	ip := r.balancerIP(number)
	if !r.serving[number] {
		r.serving[number] = true
		r.serveStore(number)
	}
	return r.start(fmt.Sprintf("balancer-%d", number), fmt.Sprintf(`name = "edge-%d"
zone = %q

[observability]
listen = %q

[relay]
peers = %q
flow_lifetime = "60s"
stop_timeout = "6s"

[relay.balancer]
listen = %q
store = %q
store_rate = 2000
apply_timeout = "3000ms"
drain_timeout = "3000ms"

contact_timeout = "4000ms"
first_start = %t
exchange = %q
updates = %q
seeds = [%s]
zones = ["zone-a"]
`, number, r.zone(number), r.at(ip, portReady), r.at(ip, portInternalFirst), r.at(ip, portDatagram),
		r.at(r.ip(kindStore, number), portStore), first, r.at(ip, portControl), r.at(ip, portInternalLast), r.seeds()))
}

// startAgent starts an agent with the settings that deploy/agent.toml.tmpl yields.
func (r *rig) startAgent(number int, service string, first bool) *process {
	ip := r.machineIP(number)
	return r.start(fmt.Sprintf("agent-%d", number), fmt.Sprintf(`name = "side-%d"
zone = %q

[observability]
listen = %q

[relay]
peers = %q
flow_lifetime = "60s"
stop_timeout = "6s"

[relay.agent]
service = %q
endpoint = %q
emitted = %q
first_start = %t
seeds = [%s]
balancer_port = %d
queue_discipline = "earliest_due"
`, number, r.zone(number), r.at(ip, portReady), r.at(ip, portDatagram), service, r.at(ip, portApp), r.at(ip, portOutbound),
		first, r.seeds(), r.base+portInternalFirst))
}

func (r *rig) start(name, settings string) *process {
	path := filepath.Join(r.directory, name+".toml")
	r.must(os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(r.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	command := exec.Command("target/vanetiller-relay", "-settings", path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.must(command.Start())
	started := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		log.Close()
		close(started.done)
	}()
	r.mutex.Lock()
	r.processes = append(r.processes, started)
	r.mutex.Unlock()
	r.log("%s started", name)
	return started
}

// running reports whether a process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (r *rig) signal(p *process, signal syscall.Signal) {
	r.log("%s gets %s", p.name, signal)
	_ = p.command.Process.Signal(signal)
}

func (r *rig) kill(p *process) {
	r.signal(p, syscall.SIGKILL)
	<-p.done
}

func (r *rig) stopAll() {
	r.mutex.Lock()
	processes := r.processes
	r.mutex.Unlock()
	for _, each := range processes {
		if each.running() {
			_ = each.command.Process.Kill()
			<-each.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.directory))
	}
}

// awaitReady waits until a balancer is ready.
func (r *rig) awaitReady(number int) {
	target := "http://" + r.at(r.balancerIP(number), portReady).String() + "/healthz"
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if r.ready(target) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(fmt.Sprintf("balancer-%d is not ready", number))
}

func (r *rig) ready(target string) bool {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	response, err := client.Get(target)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *rig) opened(e *endpoint, key segment.FlowKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.openings[key] = append(r.openings[key], e)
	if r.onOpening != nil {
		r.onOpening(e)
	}
}

// arrived records a packet of a client that came to an endpoint, whether it holds the flow or not.
func (r *rig) arrived(e *endpoint, key segment.FlowKey) {
	if r.onPacket != nil {
		r.onPacket(e, key)
	}
}

func (r *rig) ran(e *endpoint, id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = append(r.runs[id], e)
}
