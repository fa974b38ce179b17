package trial

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// instant returns the instant so long after the start of every history here.
func instant(after time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(after)
}

// task returns an interval of a member of job j on a worker of its own.
func task(run, member uint32, from, to time.Duration, cause worker.EndCause) worker.History {
	return worker.History{Tasks: []worker.TaskRun{{
		Job: "j", Run: run, Member: member, Start: instant(from), End: instant(to), Cause: cause,
	}}}
}

func ran(payloads ...string) worker.History {
	var history worker.History
	for _, payload := range payloads {
		history.Requests = append(history.Requests, worker.RequestRun{Checksum: xxhash.Sum64String(payload)})
	}
	return history
}

// TestChecksFindViolations gives each check a history that violates its promise and the nearest one that does not.
func TestChecksFindViolations(t *testing.T) {
	const window = 4 * time.Second
	now := instant(time.Minute)
	ofTwo := func(string) int { return 2 }
	gangs := func(histories ...worker.History) []*Invariant {
		ran := CheckGangs(ofTwo, histories, window, now)
		return []*Invariant{ran.Whole, ran.Overlap, ran.StartedOnce}
	}
	requests := func(outcome Outcome, history worker.History) []*Invariant {
		return CheckAtMostOnce([]Outcome{outcome}, []worker.History{history})
	}
	cancelled := func(history worker.History) []*Invariant {
		jobs := []Cancellation{{ID: "j", At: instant(time.Second)}}
		return []*Invariant{CheckCancelled(jobs, []worker.History{history}, window, now)}
	}
	fencing := func(epochs ...uint64) []*Invariant {
		return []*Invariant{CheckFencing([]worker.History{{Epochs: epochs}})}
	}
	shutdown := func(cutAt time.Duration, own int) []*Invariant {
		outcome := Outcome{Cuts: []Cut{{Address: "a", From: instant(0), To: instant(cutAt)}}}
		ended := Shutdown{Address: "a", From: instant(time.Second), To: instant(4 * time.Second), Cut: own}
		return []*Invariant{CheckShutdowns([]Outcome{outcome}, []Shutdown{ended})}
	}
	tests := map[string]struct {
		checks     []*Invariant
		violations int
	}{
		"one member lapsed long before the other": {gangs(task(1, 0, 0, 3*time.Second, worker.CauseLapsed), task(1, 1, 0, 8*time.Second, worker.CauseLapsed)), 1},
		"both lapsed within the window":           {gangs(task(1, 0, 0, 5*time.Second, worker.CauseLapsed), task(1, 1, 0, 8*time.Second, worker.CauseLapsed)), 0},
		"one member finished long before":         {gangs(task(1, 0, 0, 3*time.Second, worker.CauseFinished), task(1, 1, 0, 9*time.Second, worker.CauseFinished)), 0},
		"one member never started":                {gangs(task(1, 0, 0, 5*time.Second, worker.CauseLapsed)), 1},
		"a task that goes on":                     {gangs(worker.History{Tasks: []worker.TaskRun{{Job: "j", Run: 1, Start: instant(0)}}}), 1},
		"two runs at once":                        {gangs(task(1, 0, 0, 3*time.Second, worker.CauseLapsed), task(2, 0, 2*time.Second, 4*time.Second, worker.CauseLapsed)), 1},
		"two runs one after another":              {gangs(task(1, 0, 0, 2*time.Second, worker.CauseLapsed), task(2, 0, 2*time.Second, 4*time.Second, worker.CauseLapsed)), 0},
		"a member of a run twice":                 {gangs(task(1, 0, 0, time.Second, worker.CauseLapsed), task(1, 0, 2*time.Second, 3*time.Second, worker.CauseLapsed)), 1},
		"non-idempotent twice":                    {requests(Outcome{Payload: "p", Result: Done}, ran("p", "p")), 1},
		"idempotent twice":                        {requests(Outcome{Payload: "p", Result: Done, Idempotent: true}, ran("p", "p")), 0},
		"told not run and ran":                    {requests(Outcome{Payload: "p", Result: NotRun}, ran("p")), 1},
		"told done and not run":                   {requests(Outcome{Payload: "p", Result: Done}, ran("q")), 1},
		"one call of two not run":                 {requests(Outcome{Payload: "p", Result: NotRun, Repeated: true}, ran("p")), 0},
		"cancelled and stopped":                   {cancelled(task(1, 0, 0, 5*time.Second, worker.CauseStopped)), 0},
		"cancelled and goes on":                   {cancelled(task(1, 0, 0, 6*time.Second, worker.CauseLapsed)), 1},
		"an earlier owner after a later":          {fencing(1, 2, 1), 1},
		"a call cut before the shutdown":          {shutdown(time.Millisecond, 0), 0},
		"a call cut by the shutdown":              {shutdown(2*time.Second, 0), 1},
		"a call of the fault itself cut":          {shutdown(time.Millisecond, 1), 1},
		"a worker that forgot the owners":         {fencing(1, 2, 0, 1, 2), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found, checked := 0, 0
			for _, invariant := range test.checks {
				checked += invariant.Checks
				found += len(invariant.Violations)
			}
			if checked == 0 {
				t.Error("nothing was checked")
			}
			if found != test.violations {
				t.Errorf("%d violations, want %d", found, test.violations)
			}
		})
	}
}
