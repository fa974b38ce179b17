package routing

import (
	"sync"
	"time"
)

// Bounds of the retry budget.
const (
	// budgetBurst is the most dispatches beyond the first that can be saved up.
	budgetBurst = 20
	// budgetTrickle is how many are granted a second without any success, so that recovery is noticed.
	budgetTrickle = 1
)

// budget bounds the dispatches beyond the first of all requests together: over any time they are at most
// budgetBurst + budgetTrickle a second + a share of the successes.
type budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	last   time.Time
}

func newBudget(percent int, now time.Time) *budget {
	return &budget{tokens: budgetBurst, ratio: float64(percent) / 100, last: now}
}

// earn notes a success.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, budgetBurst)
}

// spend takes one dispatch from the budget; false means that there is none.
func (b *budget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetTrickle*now.Sub(b.last).Seconds(), budgetBurst)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
