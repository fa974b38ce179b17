package assign_test

import (
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// startsPerWorker returns how many tasks a plan starts on each worker.
func startsPerWorker(plan assign.Plan) map[string]int {
	counts := map[string]int{}
	for _, start := range plan.Starts {
		for _, id := range start.Workers {
			counts[id]++
		}
	}
	return counts
}

func TestMaxPerWorkerHoldsWithinOnePlan(t *testing.T) {
	spec := step(8, 1)
	spec.MaxPerWorker = 2
	plan := assign.MakePlan(&newScene().workers(3, 6).waiting("a", 2, spec).snapshot)
	if len(plan.Starts) != 6 {
		t.Errorf("%d tasks start, want 2 on each of 3 workers", len(plan.Starts))
	}
	for id, count := range startsPerWorker(plan) {
		if count > 2 {
			t.Errorf("%d tasks start on %s, want at most 2", count, id)
		}
	}
}

func TestStartsNeverExceedFreeResources(t *testing.T) {
	build := newScene().workers(4, 2).waiting("a", 2, step(40, 3)).waiting("b", 1, step(9, 5))
	gang := step(3, 8)
	gang.Gang = true
	build.waiting("c", 0, gang)
	needs := map[string]*storev1.Step{"a": step(40, 3), "b": step(9, 5), "c": gang}
	used := map[string]assign.Resources{}
	for _, start := range assign.MakePlan(&build.snapshot).Starts {
		for _, id := range start.Workers {
			used[id] = used[id].Add(assign.ResourcesOf(needs[start.Task.Job]))
		}
	}
	for id, resources := range used {
		if !(assign.Resources{CPU: 32000, Memory: 65536, Accelerators: 8}).Contains(resources) {
			t.Errorf("the tasks that start on %s need %+v, more than it has", id, resources)
		}
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := step(5, 8)
	gang.Gang = true
	plan := assign.MakePlan(&newScene().workers(4, 4).waiting("a", 1, gang).snapshot)
	if len(plan.Starts) != 0 {
		t.Errorf("a gang of 5 starts on 4 workers: %v", plan.Starts)
	}
	plan = assign.MakePlan(&newScene().workers(5, 5).waiting("a", 1, gang).snapshot)
	if len(plan.Starts) != 1 || len(plan.Starts[0].Workers) != 5 {
		t.Errorf("a gang of 5 doesn't start on 5 workers: %v", plan.Starts)
	}
}

func TestClaimPreemptsTheCheapestRun(t *testing.T) {
	build := newScene().workers(3, 3).
		running("expensive", 2, step(1, 8), 90, "w00").running("cheap", 2, step(1, 8), 1, "w01").
		running("peer", 0, step(1, 8), 50, "w02")
	gang := step(1, 8)
	gang.Gang = true
	plan := assign.MakePlan(&build.waiting("claim", 0, gang, claimed).snapshot)
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Task.Job != "cheap" {
		t.Errorf("preemptions are %v, want only the cheap run", plan.Preemptions)
	}
}

func TestClaimWaitsForResourcesThatAreBeingFreed(t *testing.T) {
	build := newScene().workers(1, 1).running("old", 2, step(1, 8), 1, "w00")
	build.snapshot.Running = nil
	build.snapshot.Workers[0].Freeing = assign.Resources{CPU: 8000, Memory: 8192, Accelerators: 8}
	build.waiting("claim", 0, step(1, 8), claimed).waiting("later", 2, step(4, 0))
	plan := assign.MakePlan(&build.snapshot)
	for _, start := range plan.Starts {
		if start.Task.Job == "claim" {
			t.Error("the claim starts before its resources are free")
		}
	}
	if len(plan.Preemptions) != 0 {
		t.Errorf("preemptions are %v, want none because the resources are being freed", plan.Preemptions)
	}
}

// Guards against two units that preempt each other in turn: a preempted run that ranks before the unit must not get the resources back.
func TestPreemptedRunDoesNotTakeResourcesBack(t *testing.T) {
	late := func(unit *assign.Unit) { unit.Objective = snapshotTime.Add(-1e9) }
	build := newScene().workers(1, 1).waiting("late", 0, step(1, 8), late).running("in time", 1, step(1, 8), 0, "w00")
	plan := assign.MakePlan(copySnapshot(build.snapshot))
	if len(plan.Preemptions) != 1 {
		t.Fatalf("the plan is %+v, want a preemption", plan)
	}
	carryOut(&build.snapshot, plan)
	build.waiting("in time", 1, step(1, 8), func(unit *assign.Unit) { unit.Credit, unit.Preemptions = 100, 1 })
	if plan = assign.MakePlan(copySnapshot(build.snapshot)); len(plan.Starts)+len(plan.Preemptions) != 0 || len(plan.Reservations) != 1 {
		t.Errorf("the plan during the stop is %+v, want only the reservation", plan)
	}
	build.snapshot.Workers[0].Free, build.snapshot.Workers[0].Freeing = build.snapshot.Workers[0].Capacity, assign.Resources{}
	if plan = assign.MakePlan(copySnapshot(build.snapshot)); len(plan.Starts) != 1 || plan.Starts[0].Task.Job != "late" {
		t.Errorf("the plan after the stop is %+v, want the start of the unit", plan)
	}
}

// Guards against preemptions for a unit whose job earns no credit any more, and against those that cost more than a late one gains.
func TestUnitWithLittleCreditPreemptsLittle(t *testing.T) {
	build := newScene().workers(1, 1).waiting("late", 0, step(1, 8)).running("run", 1, step(1, 8), 90, "w00")
	for name, test := range map[string]struct {
		objective, lateUntil time.Duration
		want                 int
	}{"in time": {time.Minute, 3 * time.Minute, 1}, "late": {-time.Second, 3 * time.Minute, 0}, "too late": {-2, -1, 0}} {
		unit := &build.snapshot.Waiting[0]
		unit.Objective, unit.LateUntil = snapshotTime.Add(test.objective), snapshotTime.Add(test.lateUntil)
		if plan := assign.MakePlan(copySnapshot(build.snapshot)); len(plan.Preemptions) != test.want {
			t.Errorf("%s: preemptions are %v, want %d", name, plan.Preemptions, test.want)
		}
	}
}

// The members of a gang wait for the slowest, so mixing speeds wastes fast workers.
func TestGangGetsWorkersOfSimilarSpeed(t *testing.T) {
	cases := []struct {
		name    string
		minutes float64
		want    float64
	}{
		{"jobs with much slack leave the fast workers free", 1, 0.7},
		{"urgent jobs get fast workers", 0.07, 1.7},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			gang := step(3, 8)
			gang.Gang = true
			build := newScene().workers(9, 9).waiting("a", 0, gang, func(unit *assign.Unit) {
				unit.Objective = snapshotTime.Add(time.Duration(test.minutes * float64(time.Minute)))
			})
			speeds := map[string]float64{}
			for i := range build.snapshot.Workers {
				worker := &build.snapshot.Workers[i]
				if worker.Speed = 0.7; i%3 == 0 {
					worker.Speed = 1.7
				}
				speeds[worker.ID] = worker.Speed
			}
			for _, id := range assign.MakePlan(&build.snapshot).Starts[0].Workers {
				if speeds[id] != test.want {
					t.Errorf("a member starts on a worker of speed %v, want %v", speeds[id], test.want)
				}
			}
		})
	}
}

// The last case guards against gangs that never start because the workers on trial would each get one member only.
func TestWorkerOnTrialGetsOneUnitAtATime(t *testing.T) {
	lastAttempt := func(unit *assign.Unit) { unit.LastAttempt = true }
	waitedMinute := func(unit *assign.Unit) { unit.WaitingSince = snapshotTime.Add(-time.Minute) }
	lastAttemptAfterMinute := func(unit *assign.Unit) { unit.LastAttempt, unit.WaitingSince = true, snapshotTime.Add(-time.Minute) }
	gang := step(2, 4)
	gang.Gang = true
	cases := []struct {
		name   string
		spec   *storev1.Step
		change func(*assign.Unit)
		want   int
	}{
		{"tasks with attempts left", step(4, 1), func(*assign.Unit) {}, 1},
		{"last attempt waits for other workers", step(4, 1), lastAttempt, 0},
		{"last attempt after a minute", step(4, 1), lastAttemptAfterMinute, 1},
		{"gang waits for other workers", gang, func(*assign.Unit) {}, 0},
		{"gang after a minute", gang, waitedMinute, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(1, 1).waiting("a", 2, test.spec, test.change)
			build.snapshot.Workers[0].OnTrial = true
			if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != test.want {
				t.Errorf("%d units start, want %d", len(plan.Starts), test.want)
			}
		})
	}
}

// A task that ends by itself doesn't use workers on which it failed while others have the capacity for it, however long they are in use.
func TestUnitsAvoidWorkersOnWhichTheyFailed(t *testing.T) {
	build := newScene().workers(2, 2).running("old", 1, step(1, 8), 50, "w01").waiting("a", 1, step(1, 8), avoid("w00"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 0 {
		t.Errorf("starts are %v, want none before w01 is free, because the unit failed on w00", plan.Starts)
	}
	build = newScene().workers(2, 2).waiting("a", 1, step(1, 8), avoid("w00", "w01"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 1 {
		t.Error("a unit that failed on all workers never starts again")
	}
}

// Guards against units with a learned duration that get, or wait for, faster workers than they need, as if their duration were a declared
// estimate. Urgent units still get faster workers where there are some.
func TestMarginOfLearnedDurations(t *testing.T) {
	for _, test := range []struct {
		priority uint32
		margin   float64
		want     string
	}{{1, 0, "w01"}, {1, 1.25, "w00"}, {0, 0, "w01"}, {0, 1.25, "w01"}} {
		build := newScene().workers(2, 2)
		build.snapshot.Workers[0].Speed, build.snapshot.Workers[1].Speed = 0.9, 1.4
		soon := func(unit *assign.Unit) {
			unit.Margin, unit.Objective = test.margin, snapshotTime.Add(6*time.Second+250*time.Millisecond)
		}
		build.waiting("a", test.priority, step(1, 1), soon)
		if plan := assign.MakePlan(&build.snapshot); plan.Starts[0].Workers[0] != test.want {
			t.Errorf("priority %d, margin %v: the unit starts on %s, want %s", test.priority, test.margin, plan.Starts[0].Workers[0], test.want)
		}
	}
	// The fast worker is full of batch work. The slow one suffices for the expectation of 4 s with an objective of 6 s, not with one of 4 s.
	for objective, want := range map[time.Duration]int{4 * time.Second: 1, 6 * time.Second: 0} {
		build := newScene().workers(2, 2)
		build.snapshot.Workers[0].Speed, build.snapshot.Workers[1].Speed = 0.9, 1.4
		build.running("batch", 2, step(1, 8), 1, "w01").waiting("a", 0, step(1, 1), func(unit *assign.Unit) {
			unit.Margin, unit.Objective = 1.25, snapshotTime.Add(objective+250*time.Millisecond)
		})
		if plan := assign.MakePlan(&build.snapshot); len(plan.Preemptions) != want {
			t.Errorf("objective after %v: %d runs are preempted, want %d", objective, len(plan.Preemptions), want)
		}
	}
}

// Guards against objectives that a slow worker meets by the scheduler's reckoning and misses by the caller's, who compares with good workers.
func TestObjectivesCountOnFastWorkers(t *testing.T) {
	var workers []assign.Worker
	for i := range 30 {
		workers = append(workers, assign.Worker{Service: "s", Speed: []float64{0.7, 0.7, 1.7}[i%3]})
	}
	workers = append(workers, assign.Worker{Service: "s", Speed: 9, Gone: true}, assign.Worker{Service: "slow", Speed: 0.5})
	speeds := assign.ObjectiveSpeeds(workers)
	if speeds["s"] != 1.7 || speeds["slow"] != 1 {
		t.Errorf("objectives count on workers of speed %v, want 1.7 for s and at least 1 for slow", speeds)
	}
	spec := &storev1.Job{StretchFactor: 1.5, TargetDurationMs: 250, Steps: []*storev1.Step{{EstimateMs: 3400}}}
	if got, want := assign.TimeToObjective(spec, assign.Declared(spec), speeds["s"]), 3250*time.Millisecond; got != want {
		t.Errorf("the objective is after %v, want %v: 1.5 times 2 s on a fast worker and 250 ms", got, want)
	}
}
