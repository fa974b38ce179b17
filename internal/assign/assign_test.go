package assign_test

import (
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// perWorker counts a plan's starts on each worker.
func perWorker(plan assign.Plan) map[string]int {
	counts := map[string]int{}
	for _, start := range plan.Starts {
		for _, id := range start.Workers {
			counts[id]++
		}
	}
	return counts
}

func TestBoundPerWorkerHoldsWithinOnePlan(t *testing.T) {
	spec := step(8, 1)
	spec.MaxPerWorker = 2
	plan := assign.MakePlan(&newScene().workers(3, 6).waiting("a", 2, spec).snapshot)
	if len(plan.Starts) != 6 {
		t.Errorf("%d tasks start, want 2 on each of 3 workers", len(plan.Starts))
	}
	for id, count := range perWorker(plan) {
		if count > 2 {
			t.Errorf("%d tasks start on %s, want at most 2", count, id)
		}
	}
}

func TestStartsNeverExceedRoom(t *testing.T) {
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
	for id, room := range used {
		if !(assign.Resources{CPU: 32000, Memory: 65536, Accelerators: 8}).Contains(room) {
			t.Errorf("%s is given %+v", id, room)
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

func TestClaimMakesRoomAtLeastLoss(t *testing.T) {
	build := newScene().workers(3, 3).
		running("dear", 2, step(1, 8), 90, "w00").running("cheap", 2, step(1, 8), 1, "w01").running("peer", 0, step(1, 8), 50, "w02")
	gang := step(1, 8)
	gang.Gang = true
	plan := assign.MakePlan(&build.waiting("claim", 0, gang, claimed).snapshot)
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Task.Job != "cheap" {
		t.Errorf("stops %v, want the cheap run only", plan.Preemptions)
	}
}

func TestNothingTakesRoomThatAClaimWaitsFor(t *testing.T) {
	build := newScene().workers(1, 1).running("old", 2, step(1, 8), 1, "w00")
	build.snapshot.Running = nil
	build.snapshot.Workers[0].Freeing = assign.Resources{CPU: 8000, Memory: 8192, Accelerators: 8}
	build.waiting("claim", 0, step(1, 8), claimed).waiting("later", 2, step(4, 0))
	plan := assign.MakePlan(&build.snapshot)
	for _, start := range plan.Starts {
		if start.Task.Job == "claim" {
			t.Error("the claim starts before its room is free")
		}
	}
	if len(plan.Preemptions) != 0 {
		t.Errorf("more runs are stopped although the room is being freed: %v", plan.Preemptions)
	}
}

// A run that gave way must not come first in the next plan, or the two change places for ever.
func TestGivingWayIsNotUndone(t *testing.T) {
	late := func(unit *assign.Unit) {
		unit.Objective, unit.LateUntil = begin.Add(-2e9), begin.Add(-1e9)
	}
	build := newScene().workers(1, 1).waiting("urgent but lost", 0, step(1, 8), late)
	build.running("in time", 1, step(1, 8), 0, "w00")
	build.snapshot.Running[0].Density = 0.01
	if plan := assign.MakePlan(&build.snapshot); len(plan.Preemptions) != 0 {
		t.Errorf("a run that earns more for its work gives way: %v", plan.Preemptions)
	}
	build.snapshot.Running[0].Density = 0.0001
	if plan := assign.MakePlan(&build.snapshot); len(plan.Preemptions) != 1 {
		t.Errorf("%d runs give way to a denser unit, want 1", len(plan.Preemptions))
	}
}

// The members of a gang wait for the slowest: mixing speeds wastes the fast workers.
func TestGangGetsWorkersOfLikeSpeed(t *testing.T) {
	cases := []struct {
		name    string
		minutes float64
		want    float64
	}{
		{"patient jobs leave the fast workers free", 1, 0.7},
		{"urgent jobs get fast workers", 0.07, 1.7},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			gang := step(3, 8)
			gang.Gang = true
			build := newScene().workers(9, 9).waiting("a", 0, gang, func(unit *assign.Unit) {
				unit.Objective = begin.Add(time.Duration(test.minutes * float64(time.Minute)))
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
					t.Errorf("a member goes to a worker of speed %v, want %v", speeds[id], test.want)
				}
			}
		})
	}
}

func TestWorkerOnTrialGetsOneTaskAtATime(t *testing.T) {
	last := func(unit *assign.Unit) { unit.LastAttempt = true }
	waited := func(unit *assign.Unit) { unit.LastAttempt, unit.WaitingSince = true, begin.Add(-time.Minute) }
	gang := step(2, 4)
	gang.Gang = true
	cases := []struct {
		name   string
		spec   *storev1.Step
		change func(*assign.Unit)
		want   int
	}{
		{"tasks with attempts left", step(4, 1), func(*assign.Unit) {}, 1},
		{"last attempts wait", step(4, 1), last, 0},
		{"but not for ever", step(4, 1), waited, 1},
		{"gangs wait", gang, func(*assign.Unit) {}, 0},
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

// A unit stays away from workers on which it failed as long as others hold it, however long that is.
func TestUnitsAvoidWorkersOnWhichTheyFailed(t *testing.T) {
	avoid := func(ids ...string) func(*assign.Unit) {
		return func(unit *assign.Unit) {
			unit.Avoid = map[string]bool{}
			for _, id := range ids {
				unit.Avoid[id] = true
			}
		}
	}
	build := newScene().workers(2, 2).running("old", 1, step(1, 8), 50, "w01").waiting("a", 1, step(1, 8), avoid("w00"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 0 {
		t.Errorf("%v starts where it failed, though w01 will be free", plan.Starts)
	}
	build = newScene().workers(2, 2).waiting("a", 1, step(1, 8), avoid("w00", "w01"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 1 {
		t.Error("a unit that failed on all workers never starts again")
	}
}
