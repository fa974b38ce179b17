package ledger

import (
	"context"
	"math"

	"golang.org/x/time/rate"
)

// Appends a second.
const (
	// FleetAppendsPerSecond is what all instances together may append to all streams.
	FleetAppendsPerSecond = 100
	// DefaultAppendsPerSecond is the share of one of eight instances.
	DefaultAppendsPerSecond = FleetAppendsPerSecond / 8.0
	// minAppendsPerSecond keeps an instance with a tiny share alive.
	minAppendsPerSecond = 0.2
	// burstShare is the part of a second's appends that may come at once after a quiet spell.
	burstShare = 4
)

// Budget bounds the appends of an instance so that no second holds more than its share.
type Budget struct {
	limiter *rate.Limiter
}

// NewBudget returns a budget of perSecond appends.
func NewBudget(perSecond float64) *Budget {
	limit, burst := split(perSecond)
	return &Budget{limiter: rate.NewLimiter(limit, burst)}
}

// SetRate changes the appends a second, for example when the fleet grows.
func (b *Budget) SetRate(perSecond float64) {
	limit, burst := split(perSecond)
	b.limiter.SetLimit(limit)
	b.limiter.SetBurst(burst)
}

// split divides a share into a steady rate and a burst whose sum over any second is the share. A share
// of less than two appends a second has a burst of one, and half the share as its rate.
func split(perSecond float64) (rate.Limit, int) {
	perSecond = max(perSecond, minAppendsPerSecond)
	burst := max(1, math.Floor(perSecond/burstShare))
	return rate.Limit(max(perSecond-burst, perSecond/2)), int(burst)
}

// wait takes one append from the budget, waiting for it if need be.
func (b *Budget) wait(ctx context.Context) error {
	return b.limiter.Wait(ctx)
}
