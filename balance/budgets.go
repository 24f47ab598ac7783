package balance

// This file defines the retry budgets of a box, one for each service. The invariant: what is taken for one service
// allows no retry at another.

import (
	"maps"
	"slices"
	"time"
)

// Budgets are the retry budgets of a box. They are not safe for several goroutines.
type Budgets struct {
	cfg       BudgetConfig
	started   time.Duration
	first     bool
	byService map[string]*Budget
}

// NewBudgets returns the budgets of a box that starts now; first as for NewBudget.
func NewBudgets(cfg BudgetConfig, now time.Duration, first bool) *Budgets {
	return &Budgets{cfg: cfg, started: now, first: first, byService: make(map[string]*Budget)}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = NewBudget(b.cfg, b.started, b.first)
		b.byService[service] = budget
	}
	return budget
}

// Services lists, in order, the services whose budgets are in use.
func (b *Budgets) Services() []string { return slices.Sorted(maps.Keys(b.byService)) }

// Forget drops budgets that nothing counts in any more, as of services that documents no longer name.
func (b *Budgets) Forget(now time.Duration) {
	maps.DeleteFunc(b.byService, func(_ string, budget *Budget) bool { return budget.idle(now) })
}
