package worker

import (
	"slices"
	"time"
)

// Windows are how long a run of a gang had some of its members running and others missing. A member
// that has finished its work is not missing.
type Windows struct {
	// Start is the time before all members had started.
	Start time.Duration
	// Stop is the time after one had ended otherwise than by finishing.
	Stop time.Duration
}

// Measure adds up the windows of one run of a gang of so many members from the intervals that the workers
// recorded. Intervals without an end last until now.
func Measure(runs []TaskRun, members int, now time.Time) Windows {
	runs = slices.Clone(runs)
	var instants []time.Time
	for i := range runs {
		if runs[i].End.IsZero() {
			runs[i].End = now
		}
		instants = append(instants, runs[i].Start, runs[i].End)
	}
	slices.SortFunc(instants, time.Time.Compare)
	var windows Windows
	for i := 1; i < len(instants); i++ {
		span := instants[i].Sub(instants[i-1])
		started, running, finished := count(runs, instants[i-1])
		switch {
		case running == 0 || running+finished == members:
		case started < members:
			windows.Start += span
		default:
			windows.Stop += span
		}
	}
	return windows
}

// count returns how many members had started, were running and had finished just after an instant.
func count(runs []TaskRun, instant time.Time) (started, running, finished int) {
	for _, run := range runs {
		if run.Start.After(instant) {
			continue
		}
		started++
		if run.End.After(instant) {
			running++
		} else if run.Cause == CauseFinished {
			finished++
		}
	}
	return started, running, finished
}
