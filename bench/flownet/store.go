package flownet

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
)

// pageSize is the number of items on a page of a listing; it is small so that
// listings take several calls.
const pageSize = 5

// throttledOutOf is how many calls a throttling store answers one of.
const throttledOutOf = 4

// storeCall is a call of a balancer.
type storeCall struct {
	listing bool
	after   string
	since   directory.Revision
	wait    time.Duration
	number  uint64
	// confirming is set in calls of the confirmer, which have no number.
	confirming bool
}

// storeReply answers a call; failure is nil unless it failed.
type storeReply struct {
	number     uint64
	confirming bool
	page       directory.Page
	changes    directory.Changes
	failure    *directory.StoreError
}

type watcher struct {
	node   simnet.NodeID
	call   storeCall
	closed bool
}

// storeState is how the store answers.
type storeState uint8

const (
	storeUp storeState = iota
	storeBusy
	storeThrottling
	storeSilent
)

// store stands in for the platform's store.
type store struct {
	world    *world
	id       simnet.NodeID
	revision directory.Revision
	items    map[string]directory.Item
	history  []directory.Item
	// oldest is the revision before the first change in history.
	oldest   directory.Revision
	watchers []*watcher
	state    storeState
	slow     time.Duration
	version  uint64
	routes   []directory.Route
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
	s.world.net.At(s.world.net.Now()+4*time.Millisecond+s.slow, func() { s.answer(from, call) })
}

// HandleTimer implements simnet.Handler.
func (s *store) HandleTimer(time.Duration, uint32) {}

func (s *store) answer(from simnet.NodeID, call storeCall) {
	if s.world.turnedAway(from) {
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
	waiting := &watcher{node: from, call: call}
	if s.revision > call.since {
		s.notify(waiting)
		return
	}
	s.watchers = append(s.watchers, waiting)
	s.world.net.At(s.world.net.Now()+call.wait, func() { s.notify(waiting) })
}

func (s *store) notify(waiting *watcher) {
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

// put changes an item and tells those who watch.
func (s *store) put(item directory.Item, gone bool) {
	s.revision++
	item.Revision = s.revision
	if gone {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	for _, waiting := range s.watchers {
		s.notify(waiting)
	}
	s.watchers = slices.DeleteFunc(s.watchers, func(w *watcher) bool { return w.closed })
}

// compact forgets history and cuts those who watch.
func (s *store) compact() {
	s.history = nil
	s.oldest = s.revision
	for _, waiting := range s.watchers {
		waiting.closed = true
		s.reply(waiting.node, waiting.call, storeReply{
			failure: &directory.StoreError{Failure: directory.StoreUnreachable},
		})
	}
	s.watchers = nil
}

// hush lets the connections of those who watch go silent: they get no answer.
func (s *store) hush() {
	for _, waiting := range s.watchers {
		waiting.closed = true
	}
	s.watchers = nil
}

// configure accepts a new version of the configuration.
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
	s.refuse()
	s.world.ledger.configured(routes)
}

func (s *store) announce(each *side) {
	id := each.id
	id.Started = int64(each.endpoint.life) + 1
	s.put(directory.Item{Key: entryKey(each), EndpointID: id, Endpoint: entryOf(each)}, false)
}

func (s *store) remove(each *side) {
	s.put(directory.Item{Key: entryKey(each), EndpointID: each.id}, true)
}

// refuse puts an entry of another writer that names no endpoint.
func (s *store) refuse() {
	reasons := directory.RefusalReasons()
	name := fmt.Sprintf("other-%d", s.version)
	s.put(directory.Item{
		Key: "endpoints/" + name, EndpointID: directory.NameOnlyID(name), RefusalReason: reasons[int(s.version)%len(reasons)],
	}, false)
}

// closeZone closes a zone to new flows, or opens it again.
func (s *store) closeZone(zone string, closed bool) {
	s.put(directory.Item{Key: "zones/" + zone, Zone: zone, ZoneClosed: closed}, !closed)
	s.world.ledger.zone(zone, closed)
}

func entryKey(each *side) string { return fmt.Sprintf("endpoints/%s", each.id) }
