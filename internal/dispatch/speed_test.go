package dispatch

import (
	"math"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// progressOf reports the progress of the first member of a run of a step on workers, each in the given rack, every 2 s until 12 s at the
// given rate in percent per second. The step's other tasks are known to progress at 10 percent per second.
func progressOf(spec *storev1.Step, rate float64, racks ...string) []*workerState {
	start := time.Unix(1_700_000_000, 0)
	s := &session{now: start}
	st := &step{spec: spec, job: &job{}}
	other := &workerState{}
	for range 20 {
		m := &member{worker: other, run: &run{unit: &unit{step: st}, startedAt: start}}
		m.run.members = []*member{m}
		s.now = start.Add(5 * time.Second)
		s.learnSpeed(m, 50, false)
	}
	r := &run{unit: &unit{step: st}, startedAt: start}
	var workers []*workerState
	for i, rack := range racks {
		workers = append(workers, &workerState{entry: worker.RegistryEntry{Rack: rack}})
		r.members = append(r.members, &member{index: i, run: r, worker: workers[i]})
	}
	for i := 1; i <= 6; i++ {
		s.now = start.Add(time.Duration(2*i) * time.Second)
		for _, m := range r.members {
			s.learnSpeed(m, rate*float64(2*i), false)
			m.percent = rate * float64(2*i)
		}
	}
	return workers
}

// Guards against a worker that counts as slow because a task ran away from its data or its gang off its rack.
func TestSlowTaskAwayFromItsDataTellsNothingOfItsWorker(t *testing.T) {
	if ws := progressOf(&storev1.Step{EstimateMs: 10000}, 8, "r1")[0]; math.Abs(ws.speed.Value()-0.8) > 0.1 {
		t.Errorf("the speed is %.2f, want about 0.8", ws.speed.Value())
	}
	if ws := progressOf(&storev1.Step{EstimateMs: 10000, DataRack: "r2"}, 8, "r1")[0]; ws.speed.Samples() != 0 {
		t.Errorf("a task away from its data gave %d samples", ws.speed.Samples())
	}
	gang := &storev1.Step{EstimateMs: 10000, Gang: true, Count: 2, SameRack: true}
	if ws := progressOf(gang, 8, "r1", "r2")[0]; ws.speed.Samples() != 0 {
		t.Errorf("a gang on two racks gave %d samples", ws.speed.Samples())
	}
}
