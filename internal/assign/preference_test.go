package assign_test

import (
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// waited lets a unit have waited for a time.
func waited(duration time.Duration) func(*assign.Unit) {
	return func(unit *assign.Unit) { unit.WaitingSince = snapshotTime.Add(-duration) }
}

// Guards against a job that stands still for its whole estimate beside idle workers, as a run on each rack leaves too little room there.
func TestUnitWaitsForItsRackOnlyBrieflyInIdlePool(t *testing.T) {
	gang := step(3, 8)
	gang.Gang, gang.SameRack, gang.EstimateMs = true, true, 16000
	cases := []struct {
		name   string
		waited time.Duration
		other  string
		used   uint32
		want   int
	}{
		{"idle pool, briefly", time.Second, "b", 1, 0},
		{"idle pool", 2 * time.Second, "b", 1, 1},
		{"idle pool, other task of the job runs", 2 * time.Second, "a", 1, 0},
		{"pool in use", 2 * time.Second, "b", 8, 0},
		{"pool in use, longer than the estimate", 17 * time.Second, "b", 8, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(12, 4).waiting("a", 2, gang, waited(test.waited))
			for i, worker := range build.snapshot.Workers {
				if i%4 > 0 {
					build.running(test.other, 2, step(1, test.used), 50, worker.ID)
				}
			}
			if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != test.want {
				t.Errorf("%d gangs start, want %d", len(plan.Starts), test.want)
			}
		})
	}
}

// Guards against a gang that stands still in a mostly idle service because all workers with room are on trial.
func TestUnitWaitsForEndOfTrialsOnlyBrieflyInIdlePool(t *testing.T) {
	gang := step(2, 4)
	gang.Gang = true
	for wait, want := range map[time.Duration]int{time.Second: 0, 2 * time.Second: 1} {
		build := newScene().workers(2, 2).waiting("a", 2, gang, waited(wait))
		for i := range build.snapshot.Workers {
			build.snapshot.Workers[i].OnTrial = true
		}
		if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != want {
			t.Errorf("%d gangs start after %v, want %d", len(plan.Starts), wait, want)
		}
	}
}

// Guards against a gang that stands still in a mostly idle service because each worker on trial runs a long task, however much room it has.
func TestUnitUsesBusyWorkersOnTrialInIdlePool(t *testing.T) {
	gang := step(4, 4)
	gang.Gang = true
	cases := []struct {
		name        string
		waited      time.Duration
		lastAttempt bool
		quarantined bool
		want        int
	}{
		{"briefly", time.Second, false, false, 0},
		{"for long", 2 * time.Second, false, false, 1},
		{"on its last attempt", 2 * time.Second, true, false, 0},
		{"in quarantine", 2 * time.Second, false, true, 0},
		{"in quarantine, for longer", 3 * time.Second, false, true, 1},
		{"in quarantine, for longer, on its last attempt", 3 * time.Second, true, true, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			attempt := func(unit *assign.Unit) { unit.LastAttempt = test.lastAttempt }
			build := newScene().workers(4, 4).waiting("a", 2, gang, waited(test.waited), attempt)
			for i := range build.snapshot.Workers {
				worker := &build.snapshot.Workers[i]
				worker.Usable, worker.OnTrial, worker.Unhealthy, worker.Quarantined = false, true, true, test.quarantined
				build.running("b", 2, step(1, 1), 50, worker.ID)
			}
			if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != test.want {
				t.Errorf("%d gangs start, want %d", len(plan.Starts), test.want)
			}
		})
	}
}

// avoid lets a unit avoid workers on which it failed.
func avoid(ids ...string) func(*assign.Unit) {
	return func(unit *assign.Unit) {
		unit.Avoid = map[string]bool{}
		for _, id := range ids {
			unit.Avoid[id] = true
		}
	}
}

// lasting returns a step of one long-running task.
func lasting(accelerators uint32) *storev1.Step {
	spec := step(1, accelerators)
	spec.LongRunning = true
	return spec
}

// Guards against a long-running task that never runs again after one failure, as no other worker has room for it.
func TestLongRunningTaskReturnsToWorkerOnWhichItFailed(t *testing.T) {
	cases := []struct {
		name   string
		spec   *storev1.Step
		waited time.Duration
		busy   []string
		want   string
	}{
		{"briefly", lasting(8), 3 * time.Second, []string{"w01", "w02"}, ""},
		{"for long", lasting(8), 5 * time.Second, []string{"w01", "w02"}, "w00"},
		{"for long, with room elsewhere", lasting(8), 5 * time.Second, []string{"w02"}, "w01"},
		{"other task", step(1, 8), 5 * time.Second, []string{"w01", "w02"}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(3, 3).waiting("a", 1, test.spec, avoid("w00"), waited(test.waited))
			for _, id := range test.busy {
				build.running("b", 1, step(1, 8), 50, id)
			}
			got := ""
			if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) > 0 {
				got = plan.Starts[0].Workers[0]
			}
			if got != test.want {
				t.Errorf("the task starts on %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against jobs that are given up because their last attempt goes to a worker on which they failed, or on trial.
func TestLastAttemptDoesNotGiveUpItsPreferences(t *testing.T) {
	gang := step(2, 4)
	gang.Gang = true
	lastAttempt := func(last bool) func(*assign.Unit) { return func(unit *assign.Unit) { unit.LastAttempt = last } }
	for last, want := range map[bool]int{false: 1, true: 0} {
		build := newScene().workers(4, 4).waiting("a", 1, step(1, 8), avoid("w00"), waited(2*time.Second), lastAttempt(last))
		for _, id := range []string{"w01", "w02", "w03"} {
			build.running("b", 1, step(1, 1), 50, id)
		}
		if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != want {
			t.Errorf("last attempt %v: %d tasks start on the worker on which they failed, want %d", last, len(plan.Starts), want)
		}
		build = newScene().workers(1, 1).waiting("a", 1, gang, waited(2*time.Second), lastAttempt(last))
		build.snapshot.Workers[0].OnTrial = true
		if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != want {
			t.Errorf("last attempt %v: %d gangs start on a worker on trial, want %d", last, len(plan.Starts), want)
		}
	}
}

// Guards against a task that waits beside free workers because another one of its step may not use them yet.
func TestTaskDoesNotWaitForOthersOfItsStep(t *testing.T) {
	lastAttempt := func(unit *assign.Unit) { unit.LastAttempt = true }
	cases := []struct {
		name          string
		first, second func(*assign.Unit)
	}{
		{"the other one failed there", avoid("w00"), avoid()},
		{"the other one failed there, and has waited briefly", avoid("w00"), func(unit *assign.Unit) {
			avoid("w00")(unit)
			waited(5 * time.Second)(unit)
		}},
		{"the other one has one attempt left", lastAttempt, avoid()},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			spec := lasting(4)
			spec.Count = 2
			build := newScene().workers(2, 2).running("b", 1, step(1, 8), 50, "w01").waiting("a", 1, spec, func(unit *assign.Unit) {
				if unit.Task.Index == 0 {
					test.first(unit)
				} else {
					test.second(unit)
				}
			})
			build.snapshot.Workers[0].OnTrial = true
			if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 1 || plan.Starts[0].Task.Index != 1 {
				t.Errorf("starts are %v, want the second task", plan.Starts)
			}
		})
	}
}
