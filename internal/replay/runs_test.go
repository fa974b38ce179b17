package replay_test

import (
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

func (b *builder) cancel(at int64, id string) *builder {
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Cancelled{Cancelled: &apiv1.TraceCancel{Id: id}}})
}

func (b *builder) worker(at int64, name string, condition apiv1.TraceCondition) *builder {
	change := &apiv1.TraceWorker{Worker: name, Condition: condition}
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Worker{Worker: change}})
}

func (b *builder) rack(at int64, name string, condition apiv1.TraceCondition) *builder {
	change := &apiv1.TraceRack{DataCentre: dataCentre, Rack: name, Condition: condition}
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Rack{Rack: change}})
}

func checkpoints(every, takes int64) func(*apiv1.TraceJob) {
	return func(job *apiv1.TraceJob) { job.CheckpointEveryMs, job.CheckpointMs = every, takes }
}

func fails(job *apiv1.TraceJob) { job.Fails = true }

const (
	lost    = apiv1.TraceCondition_TRACE_CONDITION_LOST
	failing = apiv1.TraceCondition_TRACE_CONDITION_FAILING
	healthy = apiv1.TraceCondition_TRACE_CONDITION_HEALTHY
	leaving = apiv1.TraceCondition_TRACE_CONDITION_LEAVING
)

// stopper is FIFO that stops a job once another one waits.
type stopper struct {
	policy.Policy
	victim  string
	reason  policy.StopReason
	stopped bool
}

func (s *stopper) Decide(nowMillis int64) []policy.Decision {
	decisions := s.Policy.Decide(nowMillis)
	if !s.stopped && nowMillis >= start+15*minute {
		s.stopped = true
		stop := &policy.Stop{JobID: s.victim, Reason: s.reason, WithinMillis: 1500}
		decisions = append(decisions, policy.Decision{Stop: stop})
	}
	return decisions
}

func TestStopKeepsWorkWithinBound(t *testing.T) {
	const accelerators = 8
	cases := []struct {
		name   string
		takes  int64
		reason policy.StopReason
		// wantLost is in milliseconds of the gang.
		wantLost int64
	}{
		{"checkpoint in time", 500, policy.Preempted, 500},
		{"checkpoint too slow", 5 * second, policy.Preempted, 5*minute - 100 + 1500},
		{"moved", 500, policy.Moved, 500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			candidate := replay.Candidate{Name: "stopper", New: func() policy.Policy {
				return &stopper{Policy: baseline.NewFIFO(), victim: "a", reason: tc.reason}
			}}
			run := newBuilder(1).
				job(0, "a", 1, accelerators, 60*minute, checkpoints(10*minute, tc.takes)).
				job(15*minute, "b", 1, accelerators, minute).
				run(t, candidate).Runs[0]
			got := run.LostToPreemptionHours + run.LostToMovesHours
			if want := float64(tc.wantLost*accelerators) / float64(60*minute); got != want {
				t.Errorf("lost %v accelerator hours, want %v", got, want)
			}
			if run.Preemptions+run.Moves != 1 || (run.Moves == 1) != (tc.reason == policy.Moved) {
				t.Errorf("%d preemptions and %d moves", run.Preemptions, run.Moves)
			}
			// FIFO starts the victim again at once; its whole run time is the work and what was lost.
			wantEnd := start + 60*minute + tc.wantLost + 2*100 + 100 + minute
			if run.LastEndMillis != wantEnd {
				t.Errorf("last end %d, want %d", run.LastEndMillis-start, wantEnd-start)
			}
		})
	}
}

func TestLostRackEndsGangsWhole(t *testing.T) {
	run := newBuilder(4).
		job(0, "a", 2, 8, 30*minute, checkpoints(10*minute, 500)).
		rack(25*minute, "r0", lost).
		rack(60*minute, "r0", healthy).
		run(t).Runs[0]
	// 20 minutes were kept; the gang starts again on the other rack for the rest.
	if want := start + 35*minute + 100; run.LastEndMillis != want {
		t.Errorf("last end %d, want %d", run.LastEndMillis-start, want-start)
	}
	if run.Finished != 1 || run.PartialGangs != 0 || run.OtherViolations != 0 {
		t.Errorf("%+v", run)
	}
	wantLost := float64((5*minute-100)*16) / float64(60*minute)
	if run.LostToFailuresHours != wantLost {
		t.Errorf("lost %v accelerator hours, want %v", run.LostToFailuresHours, wantLost)
	}
}

func TestFailuresOfWorkersAndJobs(t *testing.T) {
	cases := []struct {
		name                         string
		build                        func(*builder)
		finished, failed, unfinished int
	}{
		{"failing worker is passed over", func(b *builder) {
			b.worker(0, "w0", failing).job(1, "a", 1, 8, minute)
		}, 1, 0, 0},
		{"all workers fail", func(b *builder) {
			for _, name := range []string{"w0", "w1", "w2", "w3", "w4", "w5"} {
				b.worker(0, name, failing)
			}
			b.job(1, "a", 1, 8, minute)
		}, 0, 1, 0},
		{"job at fault is given up", func(b *builder) {
			b.job(1, "a", 1, 8, minute, fails).job(2, "b", 1, 8, minute)
		}, 1, 1, 0},
		{"leaving workers take nothing", func(b *builder) {
			for _, name := range []string{"w0", "w1", "w2", "w3", "w4"} {
				b.worker(0, name, leaving)
			}
			b.job(1, "a", 2, 8, minute).job(1, "b", 1, 8, minute)
		}, 0, 0, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBuilder(6)
			tc.build(b)
			run := b.run(t).Runs[0]
			if run.Finished != tc.finished || run.Failed != tc.failed || run.Unfinished != tc.unfinished {
				t.Errorf("finished %d, failed %d, unfinished %d", run.Finished, run.Failed, run.Unfinished)
			}
			if run.OtherViolations != 0 {
				t.Errorf("violations %v", run.Violations)
			}
		})
	}
}

func TestCancelledJobsLeave(t *testing.T) {
	run := newBuilder(1).
		job(0, "running", 1, 8, 60*minute).
		job(1, "waiting", 1, 8, 60*minute).
		job(2, "last", 1, 8, minute).
		cancel(10*minute, "running").
		cancel(10*minute, "waiting").
		job(20*minute, "starting", 1, 8, minute).
		cancel(20*minute+50, "starting").
		cancel(30*minute, "last").
		run(t).Runs[0]
	if run.Cancelled != 3 || run.Finished != 1 || run.Unfinished != 0 {
		t.Errorf("cancelled %d, finished %d, unfinished %d, want 3, 1 and 0", run.Cancelled, run.Finished, run.Unfinished)
	}
	if want := start + 20*minute + 50; run.LastEndMillis != want {
		t.Errorf("last end %d, want %d", run.LastEndMillis-start, want-start)
	}
}
