package assign_test

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// A unit that may crash its worker must not take others with it: neither those that run there, nor those of the same plan.
func TestExclusiveUnitsShareNoWorker(t *testing.T) {
	exclusive := func(unit *assign.Unit) { unit.Exclusive = true }
	s := newScene().workers(3, 3).running("other", 2, step(1, 1), 10, "w00").
		waiting("suspect", 1, step(1, 1), exclusive).waiting("next", 1, step(4, 1)).waiting("second", 1, step(1, 1), exclusive)
	for i := range s.snapshot.Workers {
		s.snapshot.Workers[i].Empty = s.snapshot.Workers[i].ID != "w00"
	}
	users := map[string][]string{"w00": {"other"}}
	for _, start := range assign.MakePlan(&s.snapshot).Starts {
		users[start.Workers[0]] = append(users[start.Workers[0]], start.Task.Job)
	}
	for id, jobs := range users {
		for _, job := range jobs {
			if (job == "suspect" || job == "second") && len(jobs) > 1 {
				t.Errorf("%s runs %v, want %s alone", id, jobs, job)
			}
		}
	}
	if len(users["w01"])+len(users["w02"]) < 2 {
		t.Errorf("%v: the empty workers are not used", users)
	}
}

// Guards against units on probation that start in the same plan on a worker as others: if it crashes, nothing shows which was the cause.
func TestUnitsOnProbationStartAlone(t *testing.T) {
	onProbation := func(unit *assign.Unit) { unit.OnProbation = true }
	s := newScene().workers(2, 8).running("other", 1, step(1, 1), 10, "w00").running("other", 1, step(1, 1), 10, "w01").
		waiting("suspect", 1, step(1, 1), onProbation).waiting("next", 1, step(1, 1)).waiting("second", 1, step(1, 1), onProbation)
	starts := map[string]int{}
	for _, start := range assign.MakePlan(&s.snapshot).Starts {
		starts[start.Workers[0]]++
	}
	for id, count := range starts {
		if count > 1 {
			t.Errorf("%d units start on %s, want 1", count, id)
		}
	}
	if len(starts) != 2 {
		t.Errorf("units start on %d workers, want 2", len(starts))
	}
}
