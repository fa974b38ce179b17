package assign_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// urgent has an objective that needs workers of speed 1.33 at first, and faster ones with each moment that passes.
func urgent(unit *assign.Unit) {
	unit.Objective = begin.Add(6*time.Second + 250*time.Millisecond)
}

// freeing turns a worker's whole room into room that is being freed.
func (s *scene) freeing(id string, speed float64) *scene {
	for i := range s.snapshot.Workers {
		if worker := &s.snapshot.Workers[i]; worker.ID == id {
			worker.Free, worker.Freeing, worker.Speed = assign.Resources{}, worker.Capacity, speed
		}
	}
	return s
}

func reserved(workers ...string) func(*assign.Unit) {
	return func(unit *assign.Unit) { unit.Reserved = workers }
}

func TestReservationIsMadeWithTheStops(t *testing.T) {
	gang := step(1, 8)
	gang.Gang = true
	build := newScene().workers(2, 2).running("cheap", 2, step(1, 8), 1, "w01").running("dear", 2, step(1, 8), 90, "w00")
	plan := assign.MakePlan(&build.waiting("claim", 0, gang, claimed).snapshot)
	task := replica.Task{Job: "claim", Index: replica.GangIndex}
	if got := plan.Reservations[task]; !slices.Equal(got, []string{"w01"}) {
		t.Errorf("the gang waits for %v, want w01, whose run gives way", got)
	}
}

// Were the unit placed anew, the next plan would let the run on the faster worker give way too.
func TestReservationEndsTheSearchForFasterWorkers(t *testing.T) {
	build := newScene().workers(3, 3).running("busy", 2, step(1, 8), 0, "w01").freeing("w00", 1.4)
	build.snapshot.Workers[1].Speed, build.snapshot.Workers[2].Speed = 2, 0.7
	build.snapshot.Now = begin.Add(time.Second)
	build.waiting("urgent", 0, step(1, 8), urgent, reserved("w00"))
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Preemptions) != 0 || len(plan.Starts) != 0 || len(plan.Reservations) != 1 {
		t.Errorf("plan %+v, want one that waits for w00", plan)
	}
}

func TestReservedRoomIsNotTaken(t *testing.T) {
	build := newScene().workers(1, 1)
	build.snapshot.Workers[0].Free = assign.Resources{CPU: 16000, Memory: 32768, Accelerators: 4}
	build.snapshot.Workers[0].Freeing = build.snapshot.Workers[0].Free
	build.waiting("small", 0, step(1, 2), claimed).waiting("large", 0, step(1, 8), reserved("w00"))
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 0 {
		t.Errorf("%v starts on room that another unit waits for", plan.Starts)
	}
}

func TestReservationLeadsToAStart(t *testing.T) {
	build := newScene().workers(2, 2).waiting("large", 0, step(1, 8), reserved("w01"))
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Starts) != 1 || plan.Starts[0].Workers[0] != "w01" {
		t.Errorf("starts %v, want one on w01", plan.Starts)
	}
}

func TestReservationOnALostWorkerIsDropped(t *testing.T) {
	build := newScene().workers(2, 2).freeing("w01", 1).waiting("large", 0, step(1, 8), reserved("w01"))
	build.snapshot.Workers[1].Usable = false
	plan := assign.MakePlan(&build.snapshot)
	if len(plan.Starts) != 1 || plan.Starts[0].Workers[0] != "w00" {
		t.Errorf("starts %v, want one on w00", plan.Starts)
	}
}
