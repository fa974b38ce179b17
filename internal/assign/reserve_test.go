package assign_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// needsFastWorkers gives a unit an objective that requires workers of speed 1.33 at snapshotTime, and faster ones later.
func needsFastWorkers(unit *assign.Unit) {
	unit.Objective = snapshotTime.Add(6*time.Second + 250*time.Millisecond)
}

// freeing makes all resources of a worker used by stopping runs, and sets its speed.
func (s *scene) freeing(id string, speed float64) *scene {
	for i := range s.snapshot.Workers {
		if worker := &s.snapshot.Workers[i]; worker.ID == id {
			worker.Free, worker.Freeing, worker.Speed = assign.Resources{}, worker.Capacity, speed
		}
	}
	return s
}

// reserved gives a unit a reservation of an earlier plan.
func reserved(workers ...string) func(*assign.Unit) {
	return func(unit *assign.Unit) { unit.Reserved = workers }
}

func TestPreemptionReservesTheWorkers(t *testing.T) {
	gang := step(1, 8)
	gang.Gang = true
	build := newScene().workers(2, 2).running("cheap", 2, step(1, 8), 1, "w01").running("expensive", 2, step(1, 8), 90, "w00")
	plan := assign.MakePlan(&build.waiting("claim", 0, gang, claimed).snapshot)
	task := replica.Task{Job: "claim", Index: replica.GangIndex}
	if got := plan.Reservations[task]; !slices.Equal(got, []string{"w01"}) {
		t.Errorf("the gang has a reservation on %v, want w01, whose run is the cheapest to preempt", got)
	}
}

// Guards against preempting more runs in each plan. As time passes, the unit requires a faster worker than the reserved one;
// without its reservation, the next plan would also preempt the run on the faster worker.
func TestUnitWithReservationPreemptsNoMoreRuns(t *testing.T) {
	build := newScene().workers(3, 3).running("busy", 2, step(1, 8), 0, "w01").freeing("w00", 1.4)
	build.snapshot.Workers[1].Speed, build.snapshot.Workers[2].Speed = 2, 0.7
	build.snapshot.Now = snapshotTime.Add(time.Second)
	build.waiting("urgent", 0, step(1, 8), needsFastWorkers, reserved("w00"))
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Preemptions) != 0 || len(plan.Starts) != 0 || len(plan.Reservations) != 1 {
		t.Errorf("the plan is %+v, want only the reservation on w00", plan)
	}
}

func TestReservedResourcesAreNotUsedByOthers(t *testing.T) {
	build := newScene().workers(1, 1)
	build.snapshot.Workers[0].Free = assign.Resources{CPU: 16000, Memory: 32768, Accelerators: 4}
	build.snapshot.Workers[0].Freeing = build.snapshot.Workers[0].Free
	build.waiting("small", 0, step(1, 2), claimed).waiting("large", 0, step(1, 8), reserved("w00"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 0 {
		t.Errorf("%v starts on resources that are reserved for another unit", plan.Starts)
	}
}

func TestUnitStartsOnItsReservedWorkers(t *testing.T) {
	build := newScene().workers(2, 2).waiting("large", 0, step(1, 8), reserved("w01"))
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Starts) != 1 || plan.Starts[0].Workers[0] != "w01" {
		t.Errorf("starts are %v, want one on w01", plan.Starts)
	}
}

func TestReservationOnAnUnusableWorkerIsDropped(t *testing.T) {
	build := newScene().workers(2, 2).freeing("w01", 1).waiting("large", 0, step(1, 8), reserved("w01"))
	build.snapshot.Workers[1].Usable = false
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Starts) != 1 || plan.Starts[0].Workers[0] != "w00" {
		t.Errorf("starts are %v, want one on w00", plan.Starts)
	}
}

// Guards against a unit that stands still beside idle workers while a faster one, for which it waits, doesn't become free.
func TestUnitWaitsForFasterWorkersOnlyBrieflyInIdlePool(t *testing.T) {
	for wait, want := range map[time.Duration]int{time.Second: 0, 2 * time.Second: 1} {
		for _, change := range []func(*assign.Unit){reserved("w00"), claimed} {
			build := newScene().workers(4, 4).freeing("w00", 1.4).running("cheap", 2, step(1, 8), 0, "w01")
			for i := range build.snapshot.Workers[1:] {
				build.snapshot.Workers[1+i].Speed = []float64{2, 0.7, 0.7}[i]
			}
			plan := assign.MakePlan(&build.waiting("urgent", 0, step(1, 8), needsFastWorkers, waited(wait), change).snapshot)
			if len(plan.Starts) != want || len(plan.Preemptions) != 0 || len(plan.Reservations) != 1-want {
				t.Errorf("the plan after %v is %+v, want %d starts", wait, plan, want)
			}
		}
	}
}
