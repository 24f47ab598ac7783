package balance

// This file defines the retry budgets of a box, one per service. The invariant: requests for one
// service never allow a retry for another.

import (
	"maps"
	"slices"
	"time"
)

// Budgets holds the retry budgets of a box. It is not safe for concurrent use.
type Budgets struct {
	cfg       BudgetConfig
	started   time.Duration
	byService map[string]*Budget
}

// NewBudgets returns the budgets of a box that starts now.
func NewBudgets(cfg BudgetConfig, now time.Duration) *Budgets {
	return &Budgets{cfg: cfg, started: now, byService: make(map[string]*Budget)}
}

// ForService returns the budget of a service and creates it if needed.
func (b *Budgets) ForService(service string) *Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = NewBudget(b.cfg, b.started)
		b.byService[service] = budget
	}
	return budget
}

// Services returns the sorted names of the services that have a budget.
func (b *Budgets) Services() []string { return slices.Sorted(maps.Keys(b.byService)) }

// Forget drops the budgets whose counts have all expired, such as those of services that no
// settings document names any more.
func (b *Budgets) Forget(now time.Duration) {
	maps.DeleteFunc(b.byService, func(_ string, budget *Budget) bool { return budget.idle(now) })
}
