// This file presents the members and the table of a Node to the administration API.

package cluster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// surveyTimeout is how long a caller waits for the result of a survey. A survey takes at most
// ReportAttempts times ReportTimeout of the dissemination, 6.6 s by default.
const surveyTimeout = 10 * time.Second

// memberLive is the state that the API shows for a live member.
const memberLive = "live"

// MachineName is the name of a machine on the platform's list, with its address.
type MachineName struct {
	Address netip.Addr
	Name    string
}

// nameList holds names sorted by address.
type nameList []MachineName

// lookup returns the name of a machine, or its address and port if it is not listed.
func (l nameList) lookup(address membership.Address) string {
	endpoint := address.AddrPort()
	position, exists := slices.BinarySearchFunc(l, endpoint.Addr(), func(named MachineName, wanted netip.Addr) int {
		return named.Address.Compare(wanted)
	})
	if !exists {
		return endpoint.String()
	}
	return l[position].Name
}

// SetMachines replaces the platform's list of machines. The list gives members the names that
// the API shows, and its machines become seeds in addition to the configured ones. It does not
// change the membership. A member that is not listed is shown by its address.
func (n *Node) SetMachines(listed []MachineName) {
	sorted := slices.Clone(listed)
	slices.SortFunc(sorted, func(a, b MachineName) int { return a.Address.Compare(b.Address) })
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.names = sorted
	n.members.SetSeeds(n.mergeSeeds(listed))
}

// mergeSeeds returns the configured seeds, followed by the listed machines that are not
// configured as seeds.
func (n *Node) mergeSeeds(listed []MachineName) []membership.Address {
	seeds := slices.Clone(n.seeds)
	for _, machine := range listed {
		address, isIPv4 := membership.AddressOf(netip.AddrPortFrom(machine.Address, n.config.Listen.Port()))
		if isIPv4 && !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// statusByMember holds the last status received from each daemon.
type statusByMember struct {
	byAddress map[membership.Address]dissemination.Status
}

func (l *statusByMember) set(from membership.Address, status dissemination.Status) {
	if l.byAddress == nil {
		l.byAddress = make(map[membership.Address]dissemination.Status)
	}
	l.byAddress[from] = status
}

// retain removes the status of daemons that are not members.
func (l *statusByMember) retain(members []membership.Member) {
	kept := make(map[membership.Address]dissemination.Status, len(members))
	for _, member := range members {
		if status, known := l.byAddress[member.Identity.Address]; known {
			kept[member.Identity.Address] = status
		}
	}
	l.byAddress = kept
}

// pendingSurvey is a survey whose result a caller waits for.
type pendingSurvey struct {
	version table.Version
	result  chan dissemination.Survey
}

// survey finds out which members have applied a version. It returns false if the survey does
// not start or has no result within surveyTimeout.
func (n *Node) survey(version table.Version) (dissemination.Survey, bool) {
	result := make(chan dissemination.Survey, 1)
	if !n.startSurvey(pendingSurvey{version: version, result: result}) {
		return dissemination.Survey{}, false
	}
	timeout := time.NewTimer(surveyTimeout)
	defer timeout.Stop()
	select {
	case surveyed := <-result:
		return surveyed, true
	case <-timeout.C:
		return dissemination.Survey{}, false
	}
}

func (n *Node) startSurvey(pending pendingSurvey) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	// The survey is registered before it starts, because in a cluster
	// of one process it ends before executeDissemination returns.
	n.pendingSurveys = append(n.pendingSurveys, pending)
	effects, err := n.disseminator.Survey(n.now(), pending.version)
	if err != nil {
		n.pendingSurveys = n.pendingSurveys[:len(n.pendingSurveys)-1]
		return false
	}
	n.executeDissemination(effects)
	return true
}

// completeSurvey passes a result to the first caller that waits for it. The mutex must be
// held.
func (n *Node) completeSurvey(surveyed dissemination.Survey) {
	position := slices.IndexFunc(n.pendingSurveys, func(waiting pendingSurvey) bool { return waiting.version == surveyed.Version })
	if position < 0 {
		return
	}
	n.pendingSurveys[position].result <- surveyed
	n.pendingSurveys = slices.Delete(n.pendingSurveys, position, position+1)
}

// Members implements adminapi.Fleet. The version of a member is the last one that this
// process received from it.
func (n *Node) Members() []adminapi.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var shown []adminapi.Member
	for _, member := range n.members.Members() {
		shown = append(shown, n.describe(member))
	}
	slices.SortFunc(shown, func(a, b adminapi.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return shown
}

// surveyedMembers returns the members with the versions found by a survey.
func (n *Node) surveyedMembers() []adminapi.Member {
	n.mutex.Lock()
	version := n.disseminator.Status().Applied
	n.mutex.Unlock()
	surveyed, done := n.survey(version)
	if done {
		n.recordSurvey(surveyed)
	}
	return n.Members()
}

// recordSurvey records which members have applied a version. If a zone does not list all
// members that are behind, nothing is recorded for its members.
func (n *Node) recordSurvey(surveyed dissemination.Survey) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, member := range n.members.Members() {
		position := slices.IndexFunc(surveyed.Zones, func(zone dissemination.ZoneSurvey) bool {
			return zone.Zone == member.Identity.Zone
		})
		if position < 0 || !isLive(member) {
			continue
		}
		zone := surveyed.Zones[position]
		address := member.Identity.Address
		if zone.BehindCount > len(zone.BehindMembers) || slices.Contains(zone.BehindMembers, address) {
			continue
		}
		status := n.statuses.byAddress[address]
		status.Applied = max(status.Applied, surveyed.Version)
		n.statuses.set(address, status)
	}
}

// describe converts a member to the form of the API. The mutex must be held.
func (n *Node) describe(member membership.Member) adminapi.Member {
	address := member.Identity.Address
	state := stateLabel(member)
	if member.State == membership.StateAlive && member.Reachable {
		state = memberLive
	}
	shown := adminapi.Member{
		Name:    n.names.lookup(address),
		Zone:    n.zones.name(member.Identity.Zone),
		State:   state,
		Version: n.statuses.byAddress[address].Applied,
	}
	if address == n.address {
		shown.Name = n.config.Name
		shown.Version = n.disseminator.Status().Applied
	}
	return shown
}

// nameOf returns the name under which a member is shown.
func (n *Node) nameOf(address membership.Address) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if address == n.address {
		return n.config.Name
	}
	return n.names.lookup(address)
}
