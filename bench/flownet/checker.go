package flownet

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// The bounds of the promises.
const (
	drainTime        = 3 * time.Second
	configurationLag = 3 * time.Second
	closeTime        = 3 * time.Second
	misrouteTime     = 2 * time.Second
	misroutedPackets = 3
	contactTime      = 4 * time.Second
	baseLoss         = 0.0005
)

// request is what a client wants.
type request struct {
	id       uint64
	class    RequestClass
	sent     time.Duration
	deadline time.Duration
	tries    int
	runs     int
	finished bool
	// probe is set for requests that only test which configuration is in force;
	// the windows leave them out.
	probe bool
}

// openFlow is a flow at its endpoint, as the ledger knows it.
type openFlow struct {
	holder *endpoint
	life   int
	// strays counts packets at other endpoints since the holder got the last,
	// begun is when the first of them came.
	strays int
	begun  time.Duration
	// calm is set while all strays came in a calm time.
	calm bool
}

// lives reports whether the endpoint of the flow still holds it.
func (f *openFlow) lives(w *world) bool {
	return f.holder.life == f.life && !w.net.Stopped(f.holder.id)
}

// ledger sees what clients and endpoints see and counts broken promises.
type ledger struct {
	world    *world
	requests map[uint64]*request
	open     map[segment.FlowKey]*openFlow
	leaving  map[directory.EndpointID]time.Duration
	added    map[segment.Address]time.Duration
	dropped  map[segment.Address]time.Duration
	routed   map[segment.Address]bool
	// closed is since when zones are closed.
	closed map[string]time.Duration
	next   uint64

	resetOpen      int
	misrouted      int
	doubleRuns     int
	lateOpenings   int
	lateRoutes     int
	closedOpenings int
	overrun        int
	forgedPackets  int
	forgedToClient int
	mixed          int
	decisions      map[string]int
	causes         map[string]int
	windows        map[int]*Window
	// calls counts calls of the store by kind, and updates and updateBytes what balancers
	// tell each other.
	calls       map[string]int
	updates     int
	updateBytes int
}

// The kinds of calls of the store.
const (
	callListing = "listing"
	callWatch   = "watch"
	callPoll    = "poll"
)

// called counts a call of the store.
func (l *ledger) called(call directory.Call) {
	kind := callWatch
	switch {
	case call.Listing:
		kind = callListing
	case call.IsPoll():
		kind = callPoll
	}
	l.calls[kind]++
}

// told counts an update that a balancer sends to another.
func (l *ledger) told(bytes int) {
	l.updates++
	l.updateBytes += bytes
}

func newLedger(w *world) *ledger {
	return &ledger{
		world:     w,
		calls:     make(map[string]int),
		requests:  make(map[uint64]*request),
		open:      make(map[segment.FlowKey]*openFlow),
		leaving:   make(map[directory.EndpointID]time.Duration),
		added:     make(map[segment.Address]time.Duration),
		dropped:   make(map[segment.Address]time.Duration),
		routed:    make(map[segment.Address]bool),
		closed:    make(map[string]time.Duration),
		decisions: make(map[string]int),
		causes:    make(map[string]int),
		windows:   make(map[int]*Window),
	}
}

func (l *ledger) now() time.Duration { return l.world.net.Now() }

// ask notes a new request.
func (l *ledger) ask(class RequestClass) *request {
	asked := l.probe(class)
	asked.probe = false
	l.window(asked).Requests++
	return asked
}

// probe notes a request that only tests which configuration is in force.
func (l *ledger) probe(class RequestClass) *request {
	l.next++
	asked := &request{id: l.next, class: class, sent: l.now(), deadline: l.now() + class.Timeout, probe: true}
	l.requests[asked.id] = asked
	return asked
}

func (l *ledger) window(of *request) *Window {
	index := int(of.sent / windowLength)
	if l.windows[index] == nil {
		l.windows[index] = &Window{}
	}
	return l.windows[index]
}

func (l *ledger) class(id uint64) RequestClass {
	if known, exists := l.requests[id]; exists {
		return known.class
	}
	return l.world.options.Shape.Classes[0]
}

func (l *ledger) served(answered *request) {
	if answered.finished {
		return
	}
	answered.finished = true
	if answered.probe {
		return
	}
	window := l.window(answered)
	window.Served++
	if l.now()-answered.sent <= answered.class.TargetLatency {
		window.WithinTarget++
	}
}

func (l *ledger) lost(given *request, reason string) {
	if given.finished {
		return
	}
	given.finished = true
	if given.probe {
		return
	}
	l.causes[reason]++
}

// ran notes that an endpoint began to work on a request.
func (l *ledger) ran(_ *endpoint, flow *heldFlow) {
	known, exists := l.requests[flow.request]
	if !exists {
		l.forgedPackets++
		return
	}
	known.runs++
	if known.runs > 1 && !known.class.Retryable {
		l.doubleRuns++
	}
}

// opened notes that an endpoint has the end of a handshake.
func (l *ledger) opened(at *endpoint, flow *heldFlow) {
	l.open[flow.key] = &openFlow{holder: at, life: at.life}
	if !l.world.calm() {
		return
	}
	if since, leaves := l.leaving[at.side.id]; leaves && l.now()-since > drainTime+openTimeout {
		l.lateOpenings++
	}
	if since, closed := l.closed[at.side.zoneName]; closed && l.now()-since > closeTime+openTimeout {
		l.closedOpenings++
	}
	if since, dropped := l.dropped[flow.key.Service]; dropped && l.now()-since > configurationLag+openTimeout {
		l.lateRoutes++
	}
}

// arrived notes a packet of a flow that was opened before at an endpoint. A flow
// is misrouted if others get several of its packets and its own endpoint none
// for some time.
func (l *ledger) arrived(at *endpoint, key segment.FlowKey, holds bool) {
	known, exists := l.open[key]
	if !exists || !known.lives(l.world) {
		return
	}
	if holds || known.holder == at {
		known.strays = 0
		return
	}
	if known.strays == 0 {
		known.begun = l.now()
		known.calm = true
		begun := known.begun
		l.world.net.At(begun+misrouteTime, func() { l.judge(known, begun) })
	}
	known.strays++
	known.calm = known.calm && l.world.calm()
}

func (l *ledger) judge(known *openFlow, begun time.Duration) {
	same := known.begun == begun
	if same && known.strays >= misroutedPackets && known.calm && known.lives(l.world) {
		l.misrouted++
	}
}

// reset notes a reset that no end of the flow wrote.
func (l *ledger) reset(flow *clientFlow) {
	known, exists := l.open[flow.key]
	if exists && flow.open && known.lives(l.world) {
		l.resetOpen++
	}
}

func (l *ledger) forged(*endpoint) { l.forgedPackets++ }

func (l *ledger) leaves(each *side) {
	if _, known := l.leaving[each.id]; !known {
		l.leaving[each.id] = l.now()
	}
}

// zone notes that a zone was closed or opened again.
func (l *ledger) zone(zone string, closed bool) {
	if closed {
		l.closed[zone] = l.now()
		return
	}
	delete(l.closed, zone)
}

// configured notes the routes of a new version.
func (l *ledger) configured(routes []directory.Route) {
	present := make(map[segment.Address]bool)
	for index := range routes {
		address := routes[index].Address()
		present[address] = true
		if !l.routed[address] {
			l.added[address] = l.now()
			delete(l.dropped, address)
		}
	}
	for address := range l.routed {
		if !present[address] {
			l.dropped[address] = l.now()
		}
	}
	l.routed = present
}

// decided counts a decision of a daemon, and judges whether a flow was reset for
// lack of a route that was there for long.
func (l *ledger) decided(event relay.Event) {
	l.decisions[event.Kind.String()]++
	if event.Kind != relay.EventNoRoute || event.Reason != "reset" || !l.world.calm() {
		return
	}
	address := event.Flow.Service
	if since, added := l.added[address]; added && l.routed[address] && l.now()-since > configurationLag+openTimeout {
		l.lateRoutes++
	}
}
