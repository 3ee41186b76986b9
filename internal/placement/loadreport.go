package placement

import (
	"math"
	"time"
)

const (
	// shortestNews bounds from below how long news of an endpoint counts.
	shortestNews = 10 * time.Millisecond
	// defaultNews is how long it counts where the pace of the endpoint is not known.
	defaultNews = 50 * time.Millisecond
	// levelWeight is the least weight of news in the mean of a group, and levelMemory the
	// time in which a mean loses most of its weight for news and for choices.
	levelWeight = 0.05
	levelMemory = 2 * time.Second
	// mostShare bounds what the word of one agent can do to the mean of its group.
	mostShare = 4.0
	// levelLifetime is how long a mean without news is kept; nothing is left of it then.
	levelLifetime = 30 * time.Second
)

// LoadReport is what an agent has told last of its endpoint.
type LoadReport struct {
	// UsedByOthers is the number of slots that others than the chooser take, told at the time At.
	UsedByOthers float64
	ReceivedAt   time.Duration
	// Known is set once anything was told.
	Known bool
}

// Estimate is how many slots others take now. News counts less as it ages: within the time
// of an answer most of what it counted has been answered, and the endpoint is used as those
// like it are.
func (n LoadReport) Estimate(now, pace time.Duration, usual float64) float64 {
	if !n.Known {
		return usual
	}
	lasts := defaultNews
	if pace > 0 {
		lasts = max(pace, shortestNews)
	}
	return usual + (n.UsedByOthers-usual)*math.Exp(-float64(now-n.ReceivedAt)/float64(lasts))
}

// GroupUtilization is how far the endpoints of a group are used on average: their slots that others
// than the chooser take, as a share of all slots.
type GroupUtilization struct {
	mean float64
	at   time.Duration
}

// Observe takes account of what was told of one endpoint of the group.
func (l *GroupUtilization) Observe(now time.Duration, share float64) {
	aged := 1 - math.Exp(-float64(now-l.at)/float64(levelMemory))
	l.mean += max(levelWeight, aged) * (min(share, mostShare) - l.mean)
	l.at = now
}

// Expired reports whether the group has had no news for so long that it can be forgotten.
func (l *GroupUtilization) Expired(now time.Duration) bool { return now-l.at > levelLifetime }

// At returns the mean. Without news it falls, so that a group that was found full is tried
// again.
func (l *GroupUtilization) At(now time.Duration) float64 {
	return l.mean * math.Exp(-float64(now-l.at)/float64(levelMemory))
}
