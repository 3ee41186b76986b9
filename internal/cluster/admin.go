// This file shows the daemons and the table of a Node to the administration
// API.

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

// surveyTimeout is longer than any survey takes.
const surveyTimeout = 10 * time.Second

// memberLive is the state in which the API shows a member that runs.
const memberLive = "live"

// MachineName is the name of a machine of the platform's list, by its address.
type MachineName struct {
	Address netip.Addr
	Name    string
}

// nameList holds names sorted by address.
type nameList []MachineName

func (l nameList) of(address membership.Address) string {
	endpoint := address.AddrPort()
	position, exists := slices.BinarySearchFunc(l, endpoint.Addr(), func(named MachineName, wanted netip.Addr) int {
		return named.Address.Compare(wanted)
	})
	if !exists {
		return endpoint.String()
	}
	return l[position].Name
}

// SetMachines takes in the platform's list of machines. They are shown by
// their names, and asked like seeds where no member is known; the list decides
// nothing else. A member without a name is shown by address.
func (n *Node) SetMachines(listed []MachineName) {
	sorted := slices.Clone(listed)
	slices.SortFunc(sorted, func(a, b MachineName) int { return a.Address.Compare(b.Address) })
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.names = sorted
	n.members.SetSeeds(n.seedsWith(listed))
}

// seedsWith returns the seeds of the settings and those machines that are
// none.
func (n *Node) seedsWith(listed []MachineName) []membership.Address {
	seeds := slices.Clone(n.seeds)
	for _, machine := range listed {
		address, isIPv4 := membership.AddressOf(netip.AddrPortFrom(machine.Address, n.config.Listen.Port()))
		if isIPv4 && !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// statusList holds the last status heard of each daemon.
type statusList struct {
	byAddress map[membership.Address]dissemination.Status
}

func (l *statusList) hear(from membership.Address, status dissemination.Status) {
	if l.byAddress == nil {
		l.byAddress = make(map[membership.Address]dissemination.Status)
	}
	l.byAddress[from] = status
}

// keep forgets the daemons that are no members.
func (l *statusList) keep(members []membership.Member) {
	kept := make(map[membership.Address]dissemination.Status, len(members))
	for _, member := range members {
		if status, known := l.byAddress[member.Identity.Address]; known {
			kept[member.Identity.Address] = status
		}
	}
	l.byAddress = kept
}

// inquiry is a survey that someone waits for.
type inquiry struct {
	version table.Version
	result  chan dissemination.Survey
}

// survey finds out where a version is in force. It returns false if it could
// not be found out.
func (n *Node) survey(version table.Version) (dissemination.Survey, bool) {
	result := make(chan dissemination.Survey, 1)
	if !n.beginInquiry(inquiry{version: version, result: result}) {
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

func (n *Node) beginInquiry(begun inquiry) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	// Registered first: a survey of a single process ends at once.
	n.inquiries = append(n.inquiries, begun)
	effects, err := n.spread.Survey(n.now(), begun.version)
	if err != nil {
		n.inquiries = n.inquiries[:len(n.inquiries)-1]
		return false
	}
	n.executeSpread(effects)
	return true
}

// concludeInquiry hands on a result to the first that waits for it. The mutex
// must be held.
func (n *Node) concludeInquiry(surveyed dissemination.Survey) {
	position := slices.IndexFunc(n.inquiries, func(waiting inquiry) bool { return waiting.version == surveyed.Version })
	if position < 0 {
		return
	}
	n.inquiries[position].result <- surveyed
	n.inquiries = slices.Delete(n.inquiries, position, position+1)
}

// Members implements adminapi.Fleet. The version of a member is the last one
// that this process has heard of from it.
func (n *Node) Members() []adminapi.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var shown []adminapi.Member
	for _, member := range n.members.Members() {
		shown = append(shown, n.show(member))
	}
	slices.SortFunc(shown, func(a, b adminapi.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return shown
}

// surveyedMembers returns the members with the versions that a survey finds.
func (n *Node) surveyedMembers() []adminapi.Member {
	n.mutex.Lock()
	version := n.spread.Status().Applied
	n.mutex.Unlock()
	surveyed, done := n.survey(version)
	if done {
		n.noteSurvey(surveyed)
	}
	return n.Members()
}

// noteSurvey takes in which members have a version in force. Of a zone that
// names not all members without it, nothing is known of the others.
func (n *Node) noteSurvey(surveyed dissemination.Survey) {
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
		status := n.heard.byAddress[address]
		status.Applied = max(status.Applied, surveyed.Version)
		n.heard.hear(address, status)
	}
}

// show returns a member in the form of the API. The mutex must be held.
func (n *Node) show(member membership.Member) adminapi.Member {
	address := member.Identity.Address
	state := stateText(member)
	if member.State == membership.StateAlive && member.Reachable {
		state = memberLive
	}
	shown := adminapi.Member{
		Name:    n.names.of(address),
		Zone:    n.zones.name(member.Identity.Zone),
		State:   state,
		Version: n.heard.byAddress[address].Applied,
	}
	if address == n.address {
		shown.Name = n.config.Name
		shown.Version = n.spread.Status().Applied
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
	return n.names.of(address)
}
