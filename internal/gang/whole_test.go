package gang_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// measure returns how long one run of a gang had only some of its members.
func (f *fleet) measure(jobID string, run uint32, members int) worker.Windows {
	var runs []worker.TaskRun
	for _, w := range f.workers {
		for _, each := range w.History().Tasks {
			if each.Job == jobID && each.Run == run {
				runs = append(runs, each)
			}
		}
	}
	return worker.Measure(runs, members, time.Now())
}

// wantWhole fails the test if the gang ran with some of its members for longer than stated.
func (f *fleet) wantWhole(t *testing.T, jobID string, run uint32, members int) {
	t.Helper()
	got := f.measure(jobID, run, members)
	if got.Start > startWindow {
		t.Errorf("job %s run %d started over %v, want at most %v", jobID, run, got.Start, startWindow)
	}
	if got.Stop > term {
		t.Errorf("job %s run %d stopped over %v, want at most %v", jobID, run, got.Stop, term)
	}
}

// intervals counts the recorded intervals of a job and those that ended for the cause.
func (f *fleet) intervals(jobID string, cause worker.EndCause) (all, ended int) {
	for _, w := range f.workers {
		for _, each := range w.History().Tasks {
			if each.Job != jobID {
				continue
			}
			all++
			if each.Cause == cause {
				ended++
			}
		}
	}
	return all, ended
}

// wantIntervals fails the test unless the job has exactly so many intervals and all ended for the cause.
func (f *fleet) wantIntervals(t *testing.T, jobID string, want int, cause worker.EndCause) {
	t.Helper()
	if all, ended := f.intervals(jobID, cause); all != want || ended != want {
		t.Errorf("job %s has %d intervals, %d of them %s; want %d", jobID, all, ended, cause, want)
	}
}
