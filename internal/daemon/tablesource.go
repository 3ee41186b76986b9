// This file implements the source of the configuration table of a balancer. The
// table comes from the platform alone, from the platform and other balancers, or
// from the platform and the changes of operators that this process keeps.

package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// platformAuthor is the author of imported platform revisions in the history.
const platformAuthor = "platform"

// tableSource holds the configuration table of a balancer that is in a cluster or
// has the administration API. For any other balancer, store and node are nil.
type tableSource struct {
	logger *log.Logger
	// store is nil if the platform's tables are used unchanged.
	store adminapi.Store
	// node is nil for a balancer that is not in a cluster. Such a balancer
	// accepts changes of operators and loses them when it stops. A balancer in a
	// cluster accepts no changes.
	node *cluster.Node
	// onApplied is called with the version of each table that this process applies.
	onApplied func(table.Version)
}

// newTableSource returns the source that the settings select. The control server
// receives each new table of the source.
func newTableSource(deps dependencies, server *control.Server) (*tableSource, error) {
	created := &tableSource{logger: deps.logger, onApplied: func(table.Version) {}}
	switch {
	case deps.settings.Cluster != nil:
		node, err := newClusterNode(deps, server)
		if err != nil {
			return nil, err
		}
		created.node = node
		created.store = node.Store()
		created.onApplied = node.Applied
	case deps.settings.API != nil:
		member := adminapi.NewSingleMember(deps.settings.Name, deps.settings.Zone)
		created.store = adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), member, server.Publish)
		created.onApplied = member.SetActiveVersion
		deps.logger.Warn("table changes are kept only in this process and are lost when it stops")
	}
	return created, nil
}

// shareRevision installs the platform's table if it is newer than the current one,
// and announces it to the other balancers.
func (s *tableSource) shareRevision(configuration platform.Configuration) {
	revision := uint64(configuration.Revision)
	newer, err := s.node.UpdateTable(configuration.Table)
	switch {
	case err != nil:
		s.logger.Warn("platform revision refused", "revision", revision, "reason", err)
	case newer:
		s.logger.Info("platform revision installed", "revision", revision, "version", uint64(configuration.Table.Version))
	}
}

// importRevision submits the platform's revision as a change of the table. Cells
// that the platform has not changed since its previous revision keep the values
// that operators have set.
func (s *tableSource) importRevision(ctx context.Context, configuration platform.Configuration) {
	revision := uint64(configuration.Revision)
	result := s.store.Submit(ctx, &changelog.Change{
		ID:          changelog.ChangeID(fmt.Sprintf("platform-revision-%d", revision)),
		BaseVersion: s.store.Table().Table.Version,
		Author:      platformAuthor,
		Timestamp:   time.Now().UnixNano(),
		Reason:      fmt.Sprintf("revision %d of the configuration service", revision),
		Import: &changelog.Import{
			Revision: changelog.Revision(revision),
			Services: configuration.Table.Services,
			Backends: configuration.Table.Backends,

			ClosedZones: configuration.Table.ClosedZones,
		},
	})
	switch {
	case !result.Decided:
		s.logger.Warn("platform revision not imported", "revision", revision, "reason", result.Reason)
	case result.Outcome.Accepted:
		s.logger.Info("platform revision imported", "revision", revision, "version", uint64(result.Outcome.Version))
	default:
		s.logger.Warn("platform revision refused", "revision", revision, "reason", result.Outcome.Refusal.CellError())
	}
}
