package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// maxKnownBalancers limits the balancers that an agent remembers.
const maxKnownBalancers = 4096

// knownBalancer is a balancer that has sent this agent a message.
type knownBalancer struct {
	receivedAt time.Duration
	// zone is empty until the balancer has offered a flow.
	zone string
}

// knownBalancers returns the balancers that have sent this agent a message, in the order of
// their addresses.
func (a *Agent) knownBalancers() []segment.Address {
	return slices.SortedFunc(maps.Keys(a.balancers), segment.Address.Compare)
}

// originBalancer returns the balancer that a message came from, or on whose behalf another agent
// sent it.
func originBalancer(from segment.Address, message Message) segment.Address {
	if replyTo := message.ReplyTo.Address(); !replyTo.IsZero() {
		return replyTo
	}
	return from
}

// rememberBalancer records a balancer, so that it is notified of changes and of the agent's stop.
func (a *Agent) rememberBalancer(now time.Duration, balancer segment.Address, zone string) {
	record, exists := a.balancers[balancer]
	if !exists && len(a.balancers) >= maxKnownBalancers {
		return
	}
	if zone != "" {
		record.zone = zone
	}
	record.receivedAt = now
	a.balancers[balancer] = record
}
