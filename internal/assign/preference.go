package assign

import "time"

// idlePreferenceWait limits how long a unit waits for workers that it prefers while its service is mostly idle and its job has
// nothing running: the job must run within 3 s then, and planning and starting take a part of that.
const idlePreferenceWait = 1500 * time.Millisecond

// preferenceWait returns how long a unit waits for workers that it prefers while others have room for it, if it would wait for
// longest without a limit.
func (s *planState) preferenceWait(unit *Unit, longest time.Duration) time.Duration {
	if s.poolOf(unit).idle && !s.runningJobs[unit.Task.Job] {
		return min(longest, idlePreferenceWait)
	}
	return longest
}
