package assign_test

import (
	"maps"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// mixedSpeedScene has workers of two speeds. The slow ones are full, and urgent units need the given cores.
func mixedSpeedScene(cores float64) *scene {
	build := newScene().workers(4, 4)
	for i := range build.snapshot.Workers {
		worker := &build.snapshot.Workers[i]
		worker.Speed = []float64{0.7, 1.7}[i%2]
		if i%2 == 0 {
			worker.Free = assign.Resources{}
		}
	}
	build.running("older", 1, step(1, 2), 50, "w01")
	build.snapshot.UrgentCores = map[string]float64{"s": cores}
	return build
}

func TestFastestWorkersAreKeptForUrgentUnits(t *testing.T) {
	oneWorker := 8.0*assign.CoresPerAccelerator + 32
	plan := assign.MakePlan(&mixedSpeedScene(oneWorker).
		waiting("patient", 2, step(20, 1)).waiting("urgent", 0, step(1, 4), needsFastWorkers).snapshot)
	counts := startsPerWorker(plan)
	if counts["w03"] != 8 || counts["w01"] != 1 {
		t.Errorf("starts per worker are %v, want 8 patient tasks on w03 and the urgent one on w01, which is kept for it", counts)
	}
}

func TestUnitsThatFitNowhereElseUseWorkersKeptForUrgentUnits(t *testing.T) {
	build := newScene().workers(2, 2)
	build.snapshot.UrgentCores = map[string]float64{"s": 1000}
	for i := range build.snapshot.Workers {
		build.snapshot.Workers[i].Free = assign.Resources{CPU: 5000, Memory: 65536, Accelerators: 5}
	}
	gang := step(2, 5)
	gang.Gang = true
	plan := assign.MakePlan(&build.waiting("gang", 1, gang).snapshot)
	if len(plan.Starts) != 1 {
		t.Errorf("starts are %v, want the gang, which needs both workers", plan.Starts)
	}
}

// Guards against a long-running task that doesn't run again while the only worker with room is kept for urgent units.
func TestLongRunningTaskUsesWorkerKeptForUrgentUnits(t *testing.T) {
	cases := []struct {
		name   string
		spec   *storev1.Step
		waited time.Duration
		busy   []string
		want   map[string]int
	}{
		{"briefly", lasting(8), 3 * time.Second, []string{"w01", "w02"}, map[string]int{}},
		{"for long", lasting(8), 5 * time.Second, []string{"w01", "w02"}, map[string]int{"w00": 1}},
		{"for long, with room elsewhere", lasting(4), 5 * time.Second, []string{"w01"}, map[string]int{"w02": 1}},
		{"other task", step(1, 8), 5 * time.Second, []string{"w01", "w02"}, map[string]int{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(3, 3).waiting("a", 1, test.spec, waited(test.waited)).running("b", 1, step(1, 4), 50, "w02")
			build.snapshot.UrgentCores = map[string]float64{"s": 1}
			for _, id := range test.busy {
				build.running("b", 1, step(1, 8), 50, id)
			}
			if got := startsPerWorker(assign.MakePlan(&build.snapshot)); !maps.Equal(got, test.want) {
				t.Errorf("starts per worker are %v, want %v", got, test.want)
			}
		})
	}
}

func TestNoWorkersAreKeptInAnIdlePool(t *testing.T) {
	build := newScene().workers(4, 4).waiting("patient", 2, step(32, 1))
	build.snapshot.UrgentCores = map[string]float64{"s": 1000}
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 32 {
		t.Errorf("%d tasks start in an idle pool, want all 32", len(plan.Starts))
	}
}

// Guards against a job that stands still beside workers kept for urgent units in a service that is mostly idle, because many of its workers
// have failed and are not usable now.
func TestNoWorkersAreKeptInPoolWithIdleUnusableWorkers(t *testing.T) {
	build := newScene().workers(4, 4).waiting("patient", 2, step(1, 1))
	build.snapshot.UrgentCores = map[string]float64{"s": 1000}
	build.snapshot.Workers[0].Usable, build.snapshot.Workers[1].Usable = false, false
	build.snapshot.Workers[3].Free = assign.Resources{}
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 1 {
		t.Errorf("starts are %v, want one on w02", plan.Starts)
	}
}
