package assign

import (
	"math"
	"time"
)

const (
	// idlePreferenceWait limits how long a unit waits for preferred workers while its service is mostly idle and its job has no run.
	idlePreferenceWait = 1500 * time.Millisecond
	// idleRiskWait is the same limit where a start is likely to fail: in quarantine, and on trial for a unit on its last attempt.
	idleRiskWait = 2500 * time.Millisecond
	// longRunningPreferenceWait is the same limit for a long-running task, however full its service is.
	longRunningPreferenceWait = 4 * time.Second
	// unlimitedWait is the longest wait of a unit that would wait until a preferred worker has room.
	unlimitedWait = time.Duration(math.MaxInt64)
)

// preferenceWait returns how long a unit waits for preferred workers while others have room for it: longest, unless a shorter limit
// applies.
func (s *planState) preferenceWait(unit *Unit, longest time.Duration) time.Duration {
	if s.standsIdle(unit) {
		longest = min(longest, idlePreferenceWait)
	}
	if unit.Step.GetLongRunning() {
		longest = min(longest, longRunningPreferenceWait)
	}
	return longest
}

// standsIdle reports whether a unit's job has nothing running in a mostly idle service.
func (s *planState) standsIdle(unit *Unit) bool {
	return s.poolOf(unit).idle && !s.runningJobs[unit.Task.Job]
}

// hasWaitedLong reports whether a unit has waited for long enough to get workers other than those that it prefers.
func (s *planState) hasWaitedLong(unit *Unit) bool {
	return s.Now.Sub(unit.WaitingSince) >= s.preferenceWait(unit, unlimitedWait)
}

// mayUseAnyWorker reports whether a unit may use workers that it would avoid. One on its last attempt doesn't: if it fails again, its
// job is lost.
func (s *planState) mayUseAnyWorker(unit *Unit) bool {
	return (unit.Step.GetLongRunning() || !unit.LastAttempt) && s.hasWaitedLong(unit)
}
