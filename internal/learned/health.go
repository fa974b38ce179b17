package learned

import "time"

const (
	// initialQuarantine is how long a worker gets no new tasks after a first failure; it doubles with each further one. It
	// is short because a few per cent of tasks fail through no fault of the worker.
	initialQuarantine = 2 * time.Second
	// maxStrikes limits the doubling to a quarantine of 16 s.
	maxStrikes = 4
	// trialService is how long a long-running task must serve on a worker after its last failure to count as a success.
	trialService = 2 * time.Second
)

// Health tracks the consecutive failures of a worker and quarantines it after each.
type Health struct {
	strikes          int
	quarantinedUntil time.Time
	failedAt         time.Time
}

// RecordFailure counts a failure that is attributed to the worker, starts a quarantine and returns the number of consecutive
// failures, at most maxStrikes.
func (h *Health) RecordFailure(now time.Time) int {
	h.strikes, h.failedAt = min(h.strikes+1, maxStrikes), now
	h.quarantinedUntil = now.Add(initialQuarantine << (h.strikes - 1))
	return h.strikes
}

// RecordSuccess resets the count of failures after a task has completed. It doesn't end a quarantine.
func (h *Health) RecordSuccess() { h.strikes = 0 }

// RecordService resets the count of failures if a long-running task, which never completes, has served for long enough since the
// last one, and reports whether it did so.
func (h *Health) RecordService(since, now time.Time) bool {
	if since.Before(h.failedAt) {
		since = h.failedAt
	}
	if h.strikes == 0 || now.Sub(since) < trialService {
		return false
	}
	h.strikes = 0
	return true
}

// Quarantined reports whether the worker gets no new tasks at the time now.
func (h *Health) Quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// OnTrial reports whether the worker has failed since the last task that it completed. It then gets one unit at a time.
func (h *Health) OnTrial() bool { return h.strikes > 0 }
