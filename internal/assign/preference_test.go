package assign_test

import (
	"testing"
	"time"

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
