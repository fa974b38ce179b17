package learned_test

import (
	"math"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

func TestSpeedIsTheGeometricMean(t *testing.T) {
	var speed learned.Speed
	if speed.Value() != 1 {
		t.Errorf("an unknown speed is %v, want 1", speed.Value())
	}
	speed.AddSample(1, 2*time.Second, time.Second)
	speed.AddSample(1, time.Second, 2*time.Second)
	if math.Abs(speed.Value()-1) > 1e-9 {
		t.Errorf("the mean of 2 and 0.5 is %v, want 1", speed.Value())
	}
	for range 20 {
		speed.AddSample(0.5, 4*time.Second, time.Second)
	}
	if speed.Value() < 1.9 {
		t.Errorf("speed %v after many samples of 2: a worker that changes is not noticed", speed.Value())
	}
}

func TestQuarantineDoublesAndEndsInTrial(t *testing.T) {
	now := time.Unix(0, 0)
	var health learned.Health
	for strike, want := range []time.Duration{2, 4, 8, 16, 16} {
		health.RecordFailure(now)
		want *= time.Second
		if !health.Quarantined(now.Add(want-1)) || health.Quarantined(now.Add(want)) {
			t.Errorf("strike %d doesn't keep tasks away for %v", strike+1, want)
		}
	}
	if !health.OnTrial() {
		t.Error("a worker that failed isn't on trial")
	}
	if health.RecordSuccess(); health.OnTrial() {
		t.Error("a worker that was done with a task is on trial")
	}
}

func TestNeedCoversMostTimes(t *testing.T) {
	var need learned.Demand
	for i := range 3000 {
		cores := 0.0
		if i%2 == 0 {
			cores = 100
		}
		need.Observe(cores, 100*time.Millisecond)
	}
	if most := need.UpperEstimate(); most < 95 || most > 105 {
		t.Errorf("a need of 0 and 100 in turn is %v at most times, want 100", most)
	}
	need.Observe(0, time.Hour)
	if most := need.UpperEstimate(); most > 1 {
		t.Errorf("the need is %v an hour after the last urgent job", most)
	}
}
