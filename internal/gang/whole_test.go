package gang_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// windows are how long a gang ran with some of its members.
type windows struct {
	// start is the time before all members had started.
	start time.Duration
	// stop is the time after one had ended, other than by finished work.
	stop time.Duration
}

// measure adds up the time in which some members of a run were running and others were missing, from
// the intervals that the workers recorded. A member that has finished its work is not missing.
func (f *fleet) measure(jobID string, run uint32, members int) windows {
	var runs []worker.TaskRun
	var instants []time.Time
	now := time.Now()
	for _, w := range f.workers {
		for _, each := range w.History().Tasks {
			if each.Job != jobID || each.Run != run {
				continue
			}
			if each.End.IsZero() {
				each.End = now
			}
			runs = append(runs, each)
			instants = append(instants, each.Start, each.End)
		}
	}
	slices.SortFunc(instants, time.Time.Compare)
	var result windows
	for i := 1; i < len(instants); i++ {
		from, to := instants[i-1], instants[i]
		started, running, finished := 0, 0, 0
		for _, each := range runs {
			began := !each.Start.After(from)
			ended := !each.End.After(from)
			switch {
			case began && !ended:
				started, running = started+1, running+1
			case began && each.Cause == worker.CauseFinished:
				started, finished = started+1, finished+1
			case began:
				started++
			}
		}
		switch {
		case running == 0 || running+finished == members:
		case started < members:
			result.start += to.Sub(from)
		default:
			result.stop += to.Sub(from)
		}
	}
	return result
}

// wantWhole fails the test if the gang ran with some of its members for longer than stated.
func (f *fleet) wantWhole(t *testing.T, jobID string, run uint32, members int) {
	t.Helper()
	got := f.measure(jobID, run, members)
	if got.start > startWindow {
		t.Errorf("job %s run %d started over %v, want at most %v", jobID, run, got.start, startWindow)
	}
	if got.stop > term {
		t.Errorf("job %s run %d stopped over %v, want at most %v", jobID, run, got.stop, term)
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
