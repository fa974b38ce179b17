package learned

import "time"

const (
	// quarantineTime is how long a worker gets nothing new after a strike; it doubles with each further one. Tasks fail by
	// themselves in some of a hundred, so a first strike costs little.
	quarantineTime = 2 * time.Second
	maxStrikes     = 4
)

// Health tells whether a worker may be trusted with tasks.
type Health struct {
	strikes int
	until   time.Time
}

// RecordFailure notes that a task failed by the worker's fault, as far as is known, and returns the strikes on end.
func (h *Health) RecordFailure(now time.Time) int {
	h.strikes = min(h.strikes+1, maxStrikes)
	h.until = now.Add(quarantineTime << (h.strikes - 1))
	return h.strikes
}

// RecordSuccess notes that a task was done.
func (h *Health) RecordSuccess() { h.strikes = 0 }

// Quarantined tells that the worker gets nothing at present.
func (h *Health) Quarantined(now time.Time) bool { return now.Before(h.until) }

// OnTrial tells that the last task that ended on the worker failed: it gets one at a time.
func (h *Health) OnTrial() bool { return h.strikes > 0 }
