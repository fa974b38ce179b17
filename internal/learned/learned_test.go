package learned_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

func TestQuarantineDoublesAndWorkerIsOnTrialAfterwards(t *testing.T) {
	now := time.Unix(0, 0)
	var health learned.Health
	for i, want := range []time.Duration{2, 4, 8, 16, 16} {
		health.RecordFailure(now)
		want *= time.Second
		if !health.Quarantined(now.Add(want-1)) || health.Quarantined(now.Add(want)) {
			t.Errorf("the quarantine after failure %d doesn't last %v", i+1, want)
		}
	}
	if !health.OnTrial() {
		t.Error("a worker whose last task failed isn't on trial")
	}
	if health.RecordSuccess(); health.OnTrial() {
		t.Error("a worker that completed a task is still on trial")
	}
}

func TestUpperEstimateOfDemand(t *testing.T) {
	var demand learned.Demand
	for i := range 3000 {
		cores := 0.0
		if i%2 == 0 {
			cores = 100
		}
		demand.Observe(cores, 100*time.Millisecond)
	}
	if estimate := demand.UpperEstimate(); estimate < 95 || estimate > 105 {
		t.Errorf("the upper estimate of a demand that alternates between 0 and 100 cores is %v, want 95 to 105", estimate)
	}
	demand.Observe(0, time.Hour)
	if estimate := demand.UpperEstimate(); estimate > 1 {
		t.Errorf("the upper estimate is %v an hour after the last urgent job, want at most 1", estimate)
	}
}

// Guards against a new owner that keeps no workers for urgent jobs, because what it has not observed counts as no demand.
func TestDemandOfFirstObservations(t *testing.T) {
	var demand learned.Demand
	for range 10 {
		demand.Observe(100, 100*time.Millisecond)
	}
	if estimate := demand.UpperEstimate(); estimate < 95 || estimate > 105 {
		t.Errorf("the upper estimate is %v after a second at 100 cores, want 95 to 105", estimate)
	}
}

// Guards against demand in cores that hides that tasks need whole workers, and against workers that stay kept after the demand has ended.
func TestShapesOfDemand(t *testing.T) {
	var shapes learned.Shapes
	for i := range 600 {
		rackWidth := 0.0
		if i%50 == 0 {
			rackWidth = 4
		}
		shapes.Observe(6, 100, rackWidth, 100*time.Millisecond)
	}
	if shapes.WholeWorkers() != 6 || shapes.RackWidth() < 3 || shapes.PartCores() < 95 || shapes.PartCores() > 105 {
		t.Errorf("the demand is %d whole workers, %d in a rack, and %.0f cores, want 6, 3 or 4, and 100",
			shapes.WholeWorkers(), shapes.RackWidth(), shapes.PartCores())
	}
	for range 1200 {
		shapes.Observe(0, 0, 0, 100*time.Millisecond)
	}
	if shapes.WholeWorkers() != 0 || shapes.RackWidth() != 0 {
		t.Errorf("the demand is %d whole workers, %d in a rack, two minutes after the last", shapes.WholeWorkers(), shapes.RackWidth())
	}
}
