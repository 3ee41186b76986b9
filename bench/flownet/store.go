package flownet

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
)

// pageSize is the number of items on a page of a listing. It is small so that listings take
// several calls.
const pageSize = 5

// throttledOutOf is the number of calls of which a throttling store serves one on
// average.
const throttledOutOf = 4

// storeCall is a call of a balancer to the store.
type storeCall struct {
	listing bool
	after   string
	since   directory.Revision
	wait    time.Duration
	number  uint64
	// confirming is set for calls of the confirmer, which have no number.
	confirming bool
}

// storeReply is the reply to a call. failure is nil if the call succeeded.
type storeReply struct {
	number     uint64
	confirming bool
	page       directory.Page
	changes    directory.Changes
	failure    *directory.StoreError
}

type pendingWatch struct {
	node   simnet.NodeID
	call   storeCall
	closed bool
}

// storeState selects how the store replies.
type storeState uint8

const (
	storeUp storeState = iota
	storeBusy
	storeThrottling
	storeSilent
)

// store simulates the store of the hosting platform.
type store struct {
	world    *world
	id       simnet.NodeID
	revision directory.Revision
	items    map[string]directory.Item
	history  []directory.Item
	// oldest is the revision that precedes the first change in history. Watches from an
	// earlier revision fail.
	oldest     directory.Revision
	watches    []*pendingWatch
	state      storeState
	extraDelay time.Duration
	version    uint64
	routes     []directory.Route
}

func newStore(w *world) *store {
	created := &store{world: w, items: make(map[string]directory.Item)}
	created.id = w.net.AddNode(0, created)
	return created
}

// Receive implements simnet.Handler.
func (s *store) Receive(_ time.Duration, from simnet.NodeID, received datagram) {
	if received.call == nil {
		return
	}
	call := *received.call
	s.world.net.At(s.world.net.Now()+4*time.Millisecond+s.extraDelay, func() { s.answer(from, call) })
}

// HandleTimer implements simnet.Handler.
func (s *store) HandleTimer(time.Duration, uint32) {}

func (s *store) answer(from simnet.NodeID, call storeCall) {
	if s.world.rejectedByStore(from) {
		s.reply(from, call, storeReply{failure: &directory.StoreError{Failure: directory.StoreUnavailable}})
		return
	}
	switch s.state {
	case storeSilent:
		return
	case storeBusy:
		s.reply(from, call, storeReply{failure: &directory.StoreError{Failure: directory.StoreUnavailable}})
		return
	case storeThrottling:
		if s.world.random.IntN(throttledOutOf) > 0 {
			s.reply(from, call, storeReply{failure: &directory.StoreError{Failure: directory.StoreThrottled}})
			return
		}
	}
	if call.listing {
		s.reply(from, call, storeReply{page: s.page(call.after)})
		return
	}
	if call.since < s.oldest {
		s.reply(from, call, storeReply{failure: &directory.StoreError{Failure: directory.StoreCompacted}})
		return
	}
	s.watch(from, call)
}

func (s *store) reply(to simnet.NodeID, call storeCall, reply storeReply) {
	reply.number, reply.confirming = call.number, call.confirming
	s.world.net.Send(s.id, to, simnet.Control, 200, datagram{port: peerPort, reply: &reply})
}

func (s *store) page(after string) directory.Page {
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := directory.Page{Revision: s.revision, More: len(keys) > pageSize}
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, s.items[key])
		page.LastKey = key
	}
	return page
}

func (s *store) watch(from simnet.NodeID, call storeCall) {
	waiting := &pendingWatch{node: from, call: call}
	if s.revision > call.since {
		s.notify(waiting)
		return
	}
	s.watches = append(s.watches, waiting)
	s.world.net.At(s.world.net.Now()+call.wait, func() { s.notify(waiting) })
}

func (s *store) notify(waiting *pendingWatch) {
	if waiting.closed || s.state != storeUp {
		return
	}
	waiting.closed = true
	changes := directory.Changes{Through: s.revision}
	for _, item := range s.history {
		if item.Revision > waiting.call.since {
			changes.Items = append(changes.Items, item)
		}
	}
	s.reply(waiting.node, waiting.call, storeReply{changes: changes})
}

// put changes or deletes an item and notifies all watches.
func (s *store) put(item directory.Item, deleted bool) {
	s.revision++
	item.Revision = s.revision
	if deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	for _, waiting := range s.watches {
		s.notify(waiting)
	}
	s.watches = slices.DeleteFunc(s.watches, func(w *pendingWatch) bool { return w.closed })
}

// compact deletes the history and fails all watches.
func (s *store) compact() {
	s.history = nil
	s.oldest = s.revision
	for _, waiting := range s.watches {
		waiting.closed = true
		s.reply(waiting.node, waiting.call, storeReply{
			failure: &directory.StoreError{Failure: directory.StoreUnreachable},
		})
	}
	s.watches = nil
}

// silenceWatches ends all watches without a reply, as connections do that fail
// silently.
func (s *store) silenceWatches() {
	for _, waiting := range s.watches {
		waiting.closed = true
	}
	s.watches = nil
}

// configure stores a new version of the configuration.
func (s *store) configure(routes []directory.Route) {
	s.version += 1 + uint64(s.world.random.IntN(3))
	s.routes = routes
	configuration := &directory.Configuration{Version: s.version, Routes: routes}
	if options := s.world.options; options.ColdRate > 0 && !options.ColdRateHidden {
		for _, service := range options.Shape.Services {
			configuration.ColdStarts = append(configuration.ColdStarts, directory.ColdStart{
				Service: service.Name, Duration: coldTime, RequestsPerSecond: options.ColdRate,
			})
		}
	}
	s.put(directory.Item{Key: "configuration", Configuration: configuration}, false)
	s.putRefusedEntry()
	s.world.checker.recordRoutes(routes)
}

func (s *store) register(each *endpointHost) {
	id := each.id
	id.Started = int64(each.endpoint.incarnation) + 1
	s.put(directory.Item{Key: entryKey(each), EndpointID: id, Endpoint: directoryEntry(each)}, false)
}

func (s *store) deregister(each *endpointHost) {
	s.put(directory.Item{Key: entryKey(each), EndpointID: each.id}, true)
}

// putRefusedEntry adds an entry of another writer, which balancers refuse because it does
// not describe an endpoint.
func (s *store) putRefusedEntry() {
	reasons := directory.RefusalReasons()
	name := fmt.Sprintf("other-%d", s.version)
	s.put(directory.Item{
		Key: "endpoints/" + name, EndpointID: directory.NameOnlyID(name), RefusalReason: reasons[int(s.version)%len(reasons)],
	}, false)
}

// closeZone closes a zone to new flows or opens it again.
func (s *store) closeZone(zone string, closed bool) {
	s.put(directory.Item{Key: "zones/" + zone, Zone: zone, ZoneClosed: closed}, !closed)
	s.world.checker.recordZone(zone, closed)
}

func entryKey(each *endpointHost) string { return fmt.Sprintf("endpoints/%s", each.id) }
