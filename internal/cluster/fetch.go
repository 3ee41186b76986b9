// This file installs newer tables, from the configuration service and from other daemons.

package cluster

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// errNotNewer is the error of a fetch that returned no newer table.
var errNotNewer = errors.New("cluster: the other daemon has no newer table")

// fetchTask is a pending fetch of a table newer than a version from another daemon.
type fetchTask struct {
	from    membership.Address
	version table.Version
}

// UpdateTable installs a table of the configuration service and announces the version to
// the other daemons. It reports whether the table is newer than the one held. It returns an
// error if the table is not valid.
func (n *Node) UpdateTable(newer *table.Table) (bool, error) {
	updated, err := n.store.update(newer)
	if updated {
		n.announceInstalled(n.store.version())
	}
	return updated, err
}

// announceInstalled notifies the other daemons that this process holds a version.
func (n *Node) announceInstalled(version table.Version) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeDissemination(n.disseminator.Installed(n.now(), version))
	n.updateAttachment()
}

// fetchTables carries out the pending fetches one after the other until ctx ends.
func (n *Node) fetchTables(ctx context.Context) error {
	for {
		next, waiting := n.fetches.next(ctx)
		if !waiting {
			return nil
		}
		n.fetch(ctx, next)
	}
}

// fetch carries out one fetch and reports the outcome to the dissemination machine.
func (n *Node) fetch(ctx context.Context, wanted fetchTask) {
	version, err := n.fetchFrom(ctx, wanted)
	if err == nil {
		n.config.Logger.Info("table fetched", "from", wanted.from.String(), "version", uint64(version))
		n.announceInstalled(version)
		return
	}
	n.config.Logger.Debug("cannot fetch the table", "from", wanted.from.String(), "error", err)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disseminator.FetchFailed(n.now(), wanted.from)
}

// fetchFrom fetches a table from a daemon, installs it and returns its version.
func (n *Node) fetchFrom(ctx context.Context, wanted fetchTask) (table.Version, error) {
	request := FetchRequest{Version: wanted.version}
	encoded, err := n.socket.exchange(ctx, wanted.from.AddrPort(), encode(&request))
	if err != nil {
		return 0, err
	}
	var response FetchResponse
	if _, err := response.UnmarshalMsg(encoded); err != nil {
		return 0, errors.Wrap(err, "cluster: decode the fetch response")
	}
	if len(response.State) == 0 {
		return 0, errNotNewer
	}
	if err := n.store.InstallSnapshot(response.State); err != nil {
		return 0, err
	}
	return n.store.version(), nil
}

// serveFetch responds to the fetch request of a connection.
func (n *Node) serveFetch(from netip.AddrPort, encoded []byte) []byte {
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
		n.config.Logger.Warn("cannot encode the table", "for", from, "error", err)
		return nil
	}
	return encode(&FetchResponse{State: state})
}
