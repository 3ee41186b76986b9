// This file puts versions in force, in order, and fetches what is missing.

package cluster

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// repairInterval is the time between two attempts to fetch a whole table.
const repairInterval = time.Second

// errNothing is the error of a fetch that brought nothing newer.
var errNothing = errors.New("cluster: the fetched state is not newer")

// putInForce carries out tasks until ctx ends.
func (n *Node) putInForce(ctx context.Context) error {
	for {
		next, waiting := n.tasks.next(ctx)
		if !waiting {
			return nil
		}
		switch {
		case next.delta != nil:
			n.applyDelta(ctx, *next.delta)
		case next.install != nil:
			n.install(ctx, *next.install)
		case next.fetch != nil:
			n.fetch(ctx, *next.fetch)
		}
	}
}

// applyDelta applies one change to the table. A change that does not lead to
// its version shows that this process has remembered or forgotten another
// outcome than the voters, and only the whole state helps.
func (n *Node) applyDelta(ctx context.Context, delta dissemination.Delta) {
	if n.store.version() >= delta.Version {
		return
	}
	err := n.store.LogStore.Apply(delta.Payload)
	if err != nil || n.store.version() != delta.Version {
		n.config.Logger.Warn("change does not fit the table", "version", uint64(delta.Version), "error", err)
		n.repair(ctx, delta.Version)
	}
}

func (n *Node) install(ctx context.Context, taken installTask) {
	if n.store.version() >= taken.version {
		return
	}
	if err := n.store.LogStore.Install(taken.state); err != nil {
		n.config.Logger.Warn("state of the log not installed", "error", err)
		n.repair(ctx, taken.version)
	}
}

// fetch asks another daemon for what this one misses.
func (n *Node) fetch(ctx context.Context, wanted fetchTask) {
	version, err := n.fetchFrom(ctx, wanted.from, FetchRequest{Version: wanted.version})
	if err != nil {
		n.config.Logger.Debug("table not fetched", "from", wanted.from.String(), "error", err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.spread.FetchFailed(n.now(), wanted.from)
		return
	}
	n.executeSpread(n.spread.Installed(n.now(), version))
	n.attach()
}

// repair fetches the whole state from one daemon after another until it has
// the version.
func (n *Node) repair(ctx context.Context, version table.Version) {
	for ctx.Err() == nil && n.store.version() < version {
		if from, exists := n.anyPeer(); exists {
			_, err := n.fetchFrom(ctx, from, FetchRequest{Whole: true})
			n.config.Logger.Info("table repaired", "from", from.String(), "error", err)
		}
		pause(ctx, repairInterval)
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// anyPeer returns a reachable daemon, each in turn.
func (n *Node) anyPeer() (membership.Address, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	others := make([]membership.Address, 0, len(n.running))
	for _, member := range n.running {
		if address := addressOf(member.ID, portOf(n.address)); address != n.address {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return 0, false
	}
	turn := int(n.now()/repairInterval) % len(others)
	return others[turn], true
}

// fetchFrom fetches from a daemon, puts it in force and returns the version.
func (n *Node) fetchFrom(ctx context.Context, from membership.Address, request FetchRequest) (table.Version, error) {
	encoded, err := n.socket.exchange(ctx, from.AddrPort(), encode(&Request{Fetch: &request}))
	if err != nil {
		return 0, err
	}
	var answer FetchAnswer
	if _, err := answer.UnmarshalMsg(encoded); err != nil {
		return 0, errors.Wrap(err, "cluster: fetched state")
	}
	before := n.store.version()
	if len(answer.State) > 0 {
		if err := n.store.LogStore.Install(answer.State); err != nil {
			return 0, err
		}
	}
	for _, delta := range answer.Deltas {
		n.applyDelta(ctx, dissemination.Delta(delta))
	}
	if version := n.store.version(); version > before || version > request.Version {
		return version, nil
	}
	return 0, errNothing
}

// answer serves the request of a connection.
func (n *Node) answer(from netip.AddrPort, encoded []byte) []byte {
	address, isIPv4 := membership.AddressOf(from)
	var request Request
	if _, err := request.UnmarshalMsg(encoded); err != nil || !isIPv4 {
		n.config.Metrics.Malformed.Add(1)
		return nil
	}
	switch {
	case request.Directed != nil:
		n.acceptDirected(address, *request.Directed)
	case request.Fetch != nil:
		return n.answerFetch(*request.Fetch)
	}
	return nil
}

func (n *Node) answerFetch(request FetchRequest) []byte {
	n.mutex.Lock()
	deltas, kept := n.spread.DeltasAfter(request.Version)
	n.mutex.Unlock()
	if kept && !request.Whole {
		return encode(&FetchAnswer{Deltas: fetched(deltas)})
	}
	state, err := n.store.Snapshot()
	if err != nil {
		n.config.Logger.Warn("table not encoded", "error", err)
		return nil
	}
	return encode(&FetchAnswer{State: state})
}

func fetched(deltas []dissemination.Delta) []FetchedDelta {
	converted := make([]FetchedDelta, len(deltas))
	for index, delta := range deltas {
		converted[index] = FetchedDelta(delta)
	}
	return converted
}
