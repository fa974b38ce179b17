package assign

import "time"

// History is what a plan needs to know of the earlier runs of a unit. The zero value is that of a unit that was never placed.
type History struct {
	// Preemptions is how often the unit was preempted.
	Preemptions   int
	firstPlacedAt time.Time
	preempted     bool
}

// Place records that the unit is placed.
func (h *History) Place(now time.Time) {
	if h.firstPlacedAt.IsZero() {
		h.firstPlacedAt = now
	}
	h.preempted = false
}

// Preempt records that the unit is preempted.
func (h *History) Preempt() {
	h.Preemptions++
	h.preempted = !h.firstPlacedAt.IsZero()
}

// WaitingSince returns Unit.WaitingSince of a unit that waits since a time if preemptions don't count.
func (h *History) WaitingSince(since time.Time) time.Time {
	if h.preempted {
		return h.firstPlacedAt
	}
	return since
}
