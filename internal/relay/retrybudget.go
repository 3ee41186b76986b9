package relay

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
