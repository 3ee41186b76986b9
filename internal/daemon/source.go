// This file implements where the table of a balancer comes from: the platform
// alone, the platform and other balancers, or the platform and changes that this
// process holds.

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

// platformAuthor is the author of imported revisions in the history.
const platformAuthor = "platform"

// tableSource holds the table that balancers or operators share, if they do.
type tableSource struct {
	logger *log.Logger
	// store is nil if the platform's tables are put in force as they are.
	store adminapi.Store
	// node is nil for a balancer on its own; changes then end with it. A fleet
	// takes none.
	node *cluster.Node
	// inForce is told which version this process forwards by.
	inForce func(table.Version)
}

// newTableSource returns the source that the settings ask for. Served receives
// each new table that changes lead to.
func newTableSource(shared parts, served *control.Server) (*tableSource, error) {
	created := &tableSource{logger: shared.logger, inForce: func(table.Version) {}}
	switch {
	case shared.settings.Cluster != nil:
		node, err := newNode(shared, served)
		if err != nil {
			return nil, err
		}
		created.node = node
		created.store = node.Store()
		created.inForce = node.Applied
	case shared.settings.API != nil:
		member := adminapi.NewSingleMember(shared.settings.Name, shared.settings.Zone)
		created.store = adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), member, served.Publish)
		created.inForce = member.SetActiveVersion
		shared.logger.Warn("table changes are held by this process alone and end with it")
	}
	return created, nil
}

// followRevision hands the platform's table to the fleet.
func (s *tableSource) followRevision(configuration platform.Configuration) {
	revision := uint64(configuration.Revision)
	newer, err := s.node.UpdateTable(configuration.Table)
	switch {
	case err != nil:
		s.logger.Warn("platform revision refused", "revision", revision, "reason", err)
	case newer:
		s.logger.Info("platform revision followed", "revision", revision, "version", uint64(configuration.Table.Version))
	}
}

// importRevision makes the platform's revision a change of the table. Cells that
// the platform has not altered since the revision before keep what operators have
// set.
func (s *tableSource) importRevision(ctx context.Context, configuration platform.Configuration) {
	revision := uint64(configuration.Revision)
	submitted := s.store.Submit(ctx, &changelog.Change{
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
	case !submitted.Decided:
		s.logger.Warn("platform revision not imported", "revision", revision, "reason", submitted.Reason)
	case submitted.Outcome.Accepted:
		s.logger.Info("platform revision imported", "revision", revision, "version", uint64(submitted.Outcome.Version))
	default:
		s.logger.Warn("platform revision refused", "revision", revision, "reason", submitted.Outcome.Refusal.CellError())
	}
}
