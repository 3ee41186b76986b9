//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is HistoryS of the pages: the store keeps at least that much history.
	historyTime = 20 * time.Second
	// pageItems and pageBytes limit a page of a listing, as the pages say.
	pageItems = 500
	pageBytes = 1 << 20
)

// event is an item, or its removal.
type event struct {
	Key      string
	Value    []byte
	Revision uint64
	Made     uint64
	Gone     bool
	at       time.Time
}

// MarshalJSON implements json.Marshaler with the encoding of the store.
func (e event) MarshalJSON() ([]byte, error) {
	if e.Gone {
		return json.Marshal(map[string]any{wire["key"]: e.Key, "Revision": e.Revision, "gone": true})
	}
	return json.Marshal(map[string]any{wire["key"]: e.Key, "Value": e.Value, "Revision": e.Revision, "made": e.Made, "lease": 0})
}

// store is the platform's metadata store. It speaks the three reading calls of the pages.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]event
	history  []event
	dropped  uint64
	changed  chan struct{}
	// refused holds the balancers that the store turns away with the status 503.
	refused map[int]bool
	// held holds for how long answers to listings are held up on their way to a balancer.
	held map[int]time.Duration
	// silent holds the balancers that are partitioned from the store.
	silent map[int]bool
	// cutWatches is how many of the next watches of a balancer are cut.
	cutWatches map[int]int
	// longWatches counts the watches of a balancer that wait for long. confirmed is called when one
	// of them is answered without changes.
	longWatches map[int]int
	confirmed   func(balancer int)
	// listed is called when the answer to a listing of a balancer is settled.
	listed func(balancer int)
}

func newStore() *store {
	return &store{
		items: make(map[string]event), changed: make(chan struct{}), refused: make(map[int]bool), held: make(map[int]time.Duration),
		silent: make(map[int]bool), cutWatches: make(map[int]int), longWatches: make(map[int]int),
		listed: func(int) {}, confirmed: func(int) {},
	}
}

// put writes an item. Its return is the acknowledgment.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	made := s.revision
	if old, exists := s.items[key]; exists {
		made = old.Made
	}
	written := event{Key: key, Value: value, Revision: s.revision, Made: made, at: time.Now()}
	s.items[key] = written
	s.record(written)
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(event{Key: key, Revision: s.revision, Gone: true, at: time.Now()})
}

func (s *store) record(written event) {
	s.history = append(s.history, written)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuse sets whether the store turns balancers away.
func (s *store) refuse(refused bool, balancers ...int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, balancer := range balancers {
		s.refused[balancer] = refused
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) turnsAway(balancer int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused[balancer]
}

// serve answers a call of a balancer.
func (s *store) serve(balancer int, w http.ResponseWriter, request *http.Request) {
	if s.turnsAway(balancer) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.isSilent(balancer) {
		<-request.Context().Done()
		return
	}
	query := request.URL.Query()
	switch request.URL.Path {
	case wire["range"]:
		s.serveRange(balancer, w, query.Get(wire["prefix"]), query.Get("after"))
	case wire["watch"]:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.serveWatch(balancer, w, request, query.Get(wire["prefix"]), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		http.NotFound(w, request)
	}
}

func (s *store) serveRange(balancer int, w http.ResponseWriter, prefix, after string) {
	s.mutex.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []event{}, 0, false
	for _, key := range keys {
		size += len(s.items[key].Value)
		if len(page) > 0 && (len(page) == pageItems || size > pageBytes) {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	at, held := s.revision, s.held[balancer]
	s.mutex.Unlock()
	s.listed(balancer)
	time.Sleep(held)
	writeJSON(w, map[string]any{"items": page, "more": more, "at": at})
}

func (s *store) serveWatch(balancer int, w http.ResponseWriter, request *http.Request, prefix string, after uint64, wait time.Duration) {
	if s.cuts(balancer) {
		if connection, _, err := w.(http.Hijacker).Hijack(); err == nil {
			connection.Close()
		}
		return
	}
	s.countWatch(balancer, wait)
	end := time.NewTimer(wait)
	defer end.Stop()
	for last := false; ; {
		s.mutex.Lock()
		events := []event{}
		for _, written := range s.history {
			if written.Revision > after && strings.HasPrefix(written.Key, prefix) {
				events = append(events, written)
			}
		}
		at, changed, gone := s.revision, s.changed, after < s.dropped
		s.mutex.Unlock()
		switch {
		case s.isSilent(balancer):
			<-request.Context().Done()
			return
		case s.turnsAway(balancer):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || last:
			writeJSON(w, map[string]any{"events": events, "at": at})
			if len(events) == 0 && wait >= longWatch {
				s.confirmed(balancer)
			}
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-request.Context().Done():
			return
		}
	}
}

// longWatch is the wait from which a watch is one of a balancer that watches the store all the time.
const longWatch = 300 * time.Millisecond

func (s *store) countWatch(balancer int, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if wait >= longWatch {
		s.longWatches[balancer]++
	}
}

// watchers returns the balancers that watch the store all the time, from a number of watches on.
func (s *store) watchers(atLeast int) []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []int
	for balancer, count := range s.longWatches {
		if count >= atLeast {
			found = append(found, balancer)
		}
	}
	sort.Ints(found)
	return found
}

// partition sets whether balancers are partitioned from the store.
func (s *store) partition(silent bool, balancers ...int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, balancer := range balancers {
		s.silent[balancer] = silent
	}
}

func (s *store) isSilent(balancer int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent[balancer]
}

// cutNextWatch cuts the next watch of a balancer, and its repetition on a new connection, which an
// HTTP client makes by itself.
func (s *store) cutNextWatch(balancer int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutWatches[balancer] = 2
}

func (s *store) cuts(balancer int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cutWatches[balancer] == 0 {
		return false
	}
	s.cutWatches[balancer]--
	return true
}

// hold sets for how long answers to listings are held up on their way to a balancer.
func (s *store) hold(balancer int, held time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held[balancer] = held
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
