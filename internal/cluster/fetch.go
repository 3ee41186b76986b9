// This file takes in newer tables, from the configuration service and from
// other daemons.

package cluster

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// errNothing is the error of a fetch that brought nothing newer.
var errNothing = errors.New("cluster: the fetched state is not newer")

// fetchTask asks another daemon for a table newer than a version.
type fetchTask struct {
	from    membership.Address
	version table.Version
}

// UpdateTable takes in a table of the configuration service, and tells the other
// daemons that this one has it. It reports whether the table is newer than the
// one held; a table that is not valid is an error.
func (n *Node) UpdateTable(newer *table.Table) (bool, error) {
	followed, err := n.store.follow(newer)
	if followed {
		n.installed(n.store.version())
	}
	return followed, err
}

// installed tells others of a version that this process holds now.
func (n *Node) installed(version table.Version) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeSpread(n.spread.Installed(n.now(), version))
	n.attach()
}

// fetchTables carries out fetches, one after the other, until ctx ends.
func (n *Node) fetchTables(ctx context.Context) error {
	for {
		next, waiting := n.fetches.next(ctx)
		if !waiting {
			return nil
		}
		n.fetch(ctx, next)
	}
}

// fetch asks another daemon for what this one misses.
func (n *Node) fetch(ctx context.Context, wanted fetchTask) {
	version, err := n.fetchFrom(ctx, wanted)
	if err == nil {
		n.config.Logger.Info("table fetched", "from", wanted.from.String(), "version", uint64(version))
		n.installed(version)
		return
	}
	n.config.Logger.Debug("table not fetched", "from", wanted.from.String(), "error", err)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spread.FetchFailed(n.now(), wanted.from)
}

// fetchFrom fetches from a daemon, puts it in force and returns the version.
func (n *Node) fetchFrom(ctx context.Context, wanted fetchTask) (table.Version, error) {
	request := FetchRequest{Version: wanted.version}
	encoded, err := n.socket.exchange(ctx, wanted.from.AddrPort(), encode(&request))
	if err != nil {
		return 0, err
	}
	var answer FetchResponse
	if _, err := answer.UnmarshalMsg(encoded); err != nil {
		return 0, errors.Wrap(err, "cluster: fetched state")
	}
	if len(answer.State) == 0 {
		return 0, errNothing
	}
	if err := n.store.InstallSnapshot(answer.State); err != nil {
		return 0, err
	}
	return n.store.version(), nil
}

// answer serves the request of a connection.
func (n *Node) answer(from netip.AddrPort, encoded []byte) []byte {
	var request FetchRequest
	if _, err := request.UnmarshalMsg(encoded); err != nil {
		n.config.Metrics.Malformed.Add(1)
		return nil
	}
	if n.store.version() <= request.Version {
		return encode(&FetchResponse{})
	}
	state, err := n.store.Snapshot()
	if err != nil {
		n.config.Logger.Warn("table not encoded", "for", from, "error", err)
		return nil
	}
	return encode(&FetchResponse{State: state})
}
