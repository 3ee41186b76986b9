// This file implements the store of the table of a Node.

package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// serviceAuthor is the author in the history of tables from the configuration service.
const serviceAuthor = "platform"

// readOnly is the reason given when a change is refused: daemons keep nothing beyond their
// own lifetime, so a change made here would be lost.
const readOnly = "the configuration service holds the table, and changes are made there; use a dry run to see what one would do"

// Store holds the newest table of the configuration service that this daemon has received,
// from the service or from another daemon. It implements adminapi.Store and refuses all
// changes.
type Store struct {
	*adminapi.LogStore
	node *Node
}

// update installs a table of the configuration service. It reports whether the table is
// newer than the one held.
func (s *Store) update(newer *table.Table) (bool, error) {
	if newer.Version <= s.version() {
		return false, nil
	}
	record := changelog.Record{
		ID:        changelog.ChangeID(fmt.Sprintf("platform-version-%d", newer.Version)),
		Author:    serviceAuthor,
		Timestamp: time.Now().UnixNano(),
		Reason:    fmt.Sprintf("version %d of the configuration service", newer.Version),
	}
	if err := s.ReplaceTable(record, newer); err != nil {
		return false, err
	}
	return true, nil
}

// version returns the version of the table.
func (s *Store) version() table.Version { return s.Table().Table.Version }

// Submit implements adminapi.Store: it refuses every change.
func (s *Store) Submit(_ context.Context, change *changelog.Change) adminapi.SubmitResult {
	refusal := changelog.Refusal{Row: "table", Column: "change", Rule: readOnly}
	return adminapi.SubmitResult{
		Decided: true,
		Outcome: changelog.Outcome{ID: change.ID, Version: s.version(), Refusal: &refusal},
	}
}

// Members implements adminapi.Store. It runs a survey, since this process may not have
// received a status from every daemon recently.
func (s *Store) Members() []adminapi.Member { return s.node.surveyedMembers() }

// VersionStatus implements adminapi.Store by a survey of the running daemons. If many members of
// a zone are behind, only some of them are named.
func (s *Store) VersionStatus(version table.Version) adminapi.VersionStatusResponse {
	answer := adminapi.VersionStatusResponse{Version: version, NotReached: []string{}}
	answer.Accepted = version != 0 && version <= s.version()
	surveyed, done := s.node.survey(version)
	if !done {
		answer.NotReached = append(answer.NotReached, "unknown: the survey had no result")
		return answer
	}
	for _, zone := range surveyed.Zones {
		answer.Reached += zone.AppliedCount
		for _, missing := range zone.BehindMembers {
			answer.NotReached = append(answer.NotReached, s.node.nameOf(missing))
		}
		if unnamed := zone.BehindCount - len(zone.BehindMembers); unnamed > 0 {
			answer.NotReached = append(answer.NotReached,
				fmt.Sprintf("%d more in zone %s", unnamed, s.node.zones.name(zone.Zone)))
		}
	}
	return answer
}
