package relay

// retryBudget bounds the further offers that are made for silence, as retry budgets
// do, so that they cannot double an overload.
type retryBudget struct{ tokens float64 }

const (
	retryBudgetBurst = 50
	// retriesPerFlow is the number of further offers earned by each new flow.
	retriesPerFlow = 0.2
)

func newRetryBudget() retryBudget { return retryBudget{retryBudgetBurst} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retriesPerFlow, retryBudgetBurst) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
