package relay

import "time"

// budget bounds the further offers that are made for silence, as retry budgets
// do, so that they cannot double an overload.
type budget struct{ tokens float64 }

const (
	budgetBurst = 50
	// budgetShare is the number of further offers earned by each new flow.
	budgetShare = 0.2
)

func newBudget() budget { return budget{budgetBurst} }

func (b *budget) earn() { b.tokens = min(b.tokens+budgetShare, budgetBurst) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// searchBudget is a token bucket for the messages that find owners of flows.
type searchBudget struct {
	tokens float64
	earned time.Duration
}

// spend takes tokens and reports whether there were enough.
func (b *searchBudget) spend(now time.Duration, messages int) bool {
	b.tokens = min(b.tokens+(now-b.earned).Seconds()*searchRate, searchBurst)
	b.earned = now
	if b.tokens < float64(messages) {
		return false
	}
	b.tokens -= float64(messages)
	return true
}
