package relay

// retryBudget limits the repeated offers after unanswered ones, so that they cannot double an
// overload.
type retryBudget struct{ tokens float64 }

const (
	retryBudgetBurst = 50
	// retriesPerFlow is the number of repeated offers that each new flow adds to the budget.
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
