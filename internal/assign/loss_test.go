package assign_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Guards against waits for runs that don't end when expected, and stops of runs that are about to end.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	report := func(percent float64, ago time.Duration) assign.Report {
		return assign.Report{Percent: percent, Ago: ago}
	}
	cases := []struct {
		name          string
		first, latest assign.Report
		want          time.Duration
	}{
		{"no progress yet: the estimate", report(0, 200*time.Millisecond), report(5, 0), 3800 * time.Millisecond},
		{"pace", report(0, 2*time.Second), report(20, 0), 8 * time.Second},
		{"pace until the latest report", report(0, 3*time.Second), report(20, time.Second), 7 * time.Second},
		{"resumed from a checkpoint", report(60, 2*time.Second), report(80, 0), 2 * time.Second},
		{"overdue", report(0, 20*time.Second), report(99, time.Second), time.Second},
		{"done", report(0, 0), report(100, 0), time.Millisecond},
	}
	for _, test := range cases {
		progress := assign.Progress{First: test.first, Latest: test.latest, Estimate: 4 * time.Second, Speed: 1}
		if got := progress.Remaining(); (got - test.want).Abs() > time.Microsecond {
			t.Errorf("%s: %v remain, want %v", test.name, got, test.want)
		}
	}
}

// Guards against losses that leave out members of a gang or the restore, or that count what a checkpoint saves.
func TestLostWork(t *testing.T) {
	plain, saves := step(3, 1), step(3, 1)
	saves.Checkpointing = true
	const stop, restore, cores = time.Second, 600 * time.Millisecond, 9.0
	if got := assign.LostWork(plain, 3, 10*time.Second, stop, restore); got != 3*10*cores {
		t.Errorf("a gang of 3 without checkpoints loses %v core-seconds", got)
	}
	if got := assign.LostWork(saves, 3, 10*time.Second, stop, restore); got != 3*1.6*cores {
		t.Errorf("a gang of 3 with checkpoints loses %v core-seconds", got)
	}
	if got := assign.LostWork(saves, 3, time.Second, stop, restore); got != 3*cores {
		t.Errorf("a gang of 3 that ran for a second loses %v core-seconds", got)
	}
}

// Guards against preempted units that start at the end of the line again, and against lost or failed ones that count as preempted.
func TestWaitOfPreemptedUnitCountsFromFirstPlacement(t *testing.T) {
	at := func(seconds int) time.Time { return snapshotTime.Add(time.Duration(seconds) * time.Second) }
	var history assign.History
	if got := history.WaitingSince(at(1)); got != at(1) {
		t.Errorf("a unit that was never placed has waited since %v", got)
	}
	history.Place(at(2))
	history.Preempt()
	if got := history.WaitingSince(at(3)); got != at(2) || history.Preemptions != 1 {
		t.Errorf("a preempted unit has waited since %v, want %v", got, at(2))
	}
	history.Place(at(4))
	if got := history.WaitingSince(at(5)); got != at(5) {
		t.Errorf("a unit whose second run failed has waited since %v, want %v", got, at(5))
	}
}
