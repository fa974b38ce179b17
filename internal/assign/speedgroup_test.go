package assign_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// speeds gives the workers of a scene speeds in turn.
func (s *scene) speeds(speeds ...float64) *scene {
	for i := range s.snapshot.Workers {
		s.snapshot.Workers[i].Speed = speeds[i%len(speeds)]
	}
	return s
}

// withoutSlack gives a unit an objective of 1.5 times its duration at speed 1 plus 250 ms.
func withoutSlack(unit *assign.Unit) {
	unit.Objective = unit.Due.Add(unit.Remaining*3/2 + 250*time.Millisecond)
	unit.LateUntil = unit.Due.Add(3 * unit.Objective.Sub(unit.Due))
}

// speedsOf returns the speeds of the workers on which the units of a job start.
func speedsOf(snapshot *assign.Snapshot, plan assign.Plan, job string) []float64 {
	var speeds []float64
	for _, start := range plan.Starts {
		for _, id := range start.Workers {
			for i := range snapshot.Workers {
				if snapshot.Workers[i].ID == id && start.Task.Job == job {
					speeds = append(speeds, snapshot.Workers[i].Speed)
				}
			}
		}
	}
	return speeds
}

// Guards against urgent units on slow workers beside free fast ones, and against batch that takes the fast ones.
func TestUrgentUnitsGetTheFastestWorkersAndBatchTheSlowest(t *testing.T) {
	gang := step(3, 8)
	gang.Gang, gang.SameRack = true, true
	build := newScene().workers(12, 12).speeds(1, 1.25, 0.8).running("older", 2, step(1, 8), 50, "w01").
		waiting("gang", 0, gang, withoutSlack).waiting("lone", 0, step(1, 8), withoutSlack).waiting("batch", 2, step(8, 1))
	plan := assign.MakePlan(&build.snapshot)
	for _, want := range []struct {
		job    string
		speeds []float64
	}{{"gang", []float64{1.25, 1.25, 1.25}}, {"lone", []float64{1}}, {"batch", slices.Repeat([]float64{0.8}, 8)}} {
		if got := speedsOf(&build.snapshot, plan, want.job); !slices.Equal(got, want.speeds) {
			t.Errorf("%s starts on workers of speeds %v, want %v", want.job, got, want.speeds)
		}
	}
}

// Guards against late batch that takes the fast workers of a busy pool although it earns no more there.
func TestHopelesslyLateBatchLeavesFastWorkersFree(t *testing.T) {
	late := func(unit *assign.Unit) {
		unit.Objective, unit.LateUntil = snapshotTime.Add(-time.Minute), snapshotTime.Add(-time.Second)
	}
	for _, test := range []struct {
		busy int
		want float64
	}{{0, 1.25}, {6, 0.8}} {
		build := newScene().workers(9, 9).speeds(1, 1.25, 0.8)
		for i := range test.busy {
			build.running(fmt.Sprint("r", i), 2, step(1, 8), 1, fmt.Sprintf("w%02d", i))
		}
		build.waiting("late", 2, step(1, 1), late)
		if got := speedsOf(&build.snapshot, assign.MakePlan(&build.snapshot), "late"); !slices.Equal(got, []float64{test.want}) {
			t.Errorf("with %d of 9 workers busy, late batch starts on workers of speeds %v, want %v", test.busy, got, test.want)
		}
	}
}

// Guards against an urgent gang whose slowest member is slower than it must be, and against gangs that mix speeds although workers of
// one speed have room.
func TestSpeedsOfGangsOnRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []float64{0.8, 1, 1.25}
		count := rapid.IntRange(1, 12).Draw(t, "workers")
		build := newScene().workers(count, count)
		for i := range build.snapshot.Workers {
			worker := &build.snapshot.Workers[i]
			worker.Speed = rapid.SampledFrom(classes).Draw(t, "speed")
			if rapid.Bool().Draw(t, "busy") {
				worker.Free = assign.Resources{}
			}
		}
		gang := step(uint32(rapid.IntRange(1, count).Draw(t, "members")), 8) //nolint:gosec // It is at most 12.
		gang.Gang = true
		urgent := rapid.Bool().Draw(t, "urgent")
		build.waiting("gang", 0, gang, func(unit *assign.Unit) {
			if urgent {
				withoutSlack(unit)
			}
		})
		free := map[float64]int{}
		for i := range build.snapshot.Workers {
			if build.snapshot.Workers[i].Free.Accelerators > 0 {
				free[build.snapshot.Workers[i].Speed]++
			}
		}
		members := int(gang.GetCount())
		plan := assign.MakePlan(&build.snapshot)
		speeds := speedsOf(&build.snapshot, plan, "gang")
		if total := free[0.8] + free[1] + free[1.25]; (total >= members) != (len(speeds) == members) {
			t.Fatalf("%d of %d members start with %d workers free", len(speeds), members, total)
		}
		if len(speeds) == 0 {
			return
		}
		attainable, held := 0.0, 0
		for _, class := range slices.Backward(classes) {
			if held += free[class]; held >= members {
				attainable = class
				break
			}
		}
		if slowest := slices.Min(speeds); urgent && slowest < attainable {
			t.Fatalf("the slowest member of an urgent gang has speed %v, want %v", slowest, attainable)
		}
		if mixed := slices.Min(speeds) != slices.Max(speeds); mixed {
			lowest := 0.0
			if urgent {
				lowest = attainable
			}
			for class, workers := range free {
				if class >= lowest && workers >= members {
					t.Fatalf("the gang has speeds %v although %d workers of speed %v are free", speeds, workers, class)
				}
			}
		}
	})
}

// Guards against small tasks that break into whole workers, or into one that has room for more, beside room that nothing larger fits.
func TestSmallTasksArePackedByAllResources(t *testing.T) {
	used := func(accelerators, cores, memory int) assign.Resources {
		return assign.Resources{Accelerators: accelerators, CPU: 1000 * cores, Memory: 1024 * memory}
	}
	for _, test := range []struct {
		name string
		used []assign.Resources
		want string
	}{
		{"whole workers stay whole", []assign.Resources{{}, used(1, 1, 1), {}}, "w01"},
		{"memory is scarce", []assign.Resources{used(4, 4, 4), used(4, 4, 60), {}}, "w01"},
		{"cores are scarce", []assign.Resources{used(4, 4, 4), used(4, 30, 4), {}}, "w01"},
		{"accelerators are scarce", []assign.Resources{used(4, 4, 4), used(7, 4, 4), {}}, "w01"},
	} {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(3, 3).waiting("a", 2, step(1, 1))
			for i, amount := range test.used {
				build.snapshot.Workers[i].Free = build.snapshot.Workers[i].Free.Sub(amount)
			}
			if got := startsPerWorker(assign.MakePlan(&build.snapshot)); got[test.want] != 1 {
				t.Errorf("starts per worker are %v, want one on %s", got, test.want)
			}
		})
	}
}

// Guards against learned speeds whose small errors split workers of one class: a gang on workers that differ by a few per cent is whole.
func TestSmallErrorsOfSpeedsDoNotSplitClasses(t *testing.T) {
	gang := step(9, 8)
	gang.Gang = true
	build := newScene().workers(27, 27)
	for i := range build.snapshot.Workers {
		build.snapshot.Workers[i].Speed = []float64{0.8, 1, 1.25}[i%3] * math.Exp(0.05*math.Sin(float64(i)))
	}
	build.waiting("gang", 0, gang, withoutSlack)
	for _, speed := range speedsOf(&build.snapshot, assign.MakePlan(&build.snapshot), "gang") {
		if speed < 1.15 {
			t.Errorf("a member of an urgent gang starts on a worker of speed %.2f, want about 1.25", speed)
		}
	}
}

// Guards against urgent units that start on workers of which nothing is known while others are known to be fast, and against workers whose
// speed nobody learns because all units prefer known ones.
func TestWorkersOfUnknownSpeedCountAsSlow(t *testing.T) {
	build := newScene().workers(8, 8).speeds(0.7, 1.7)
	for _, i := range []int{2, 3} {
		build.snapshot.Workers[i].Speed, build.snapshot.Workers[i].SpeedUnknown = 1, true
	}
	assign.CountUnknownAsSlow(build.snapshot.Workers)
	for _, i := range []int{2, 3} {
		if speed := build.snapshot.Workers[i].Speed; speed != 0.7 {
			t.Errorf("a worker of unknown speed counts as %v, want 0.7", speed)
		}
	}
	unknown := newScene().workers(2, 2)
	unknown.snapshot.Workers[0].SpeedUnknown, unknown.snapshot.Workers[1].SpeedUnknown = true, true
	assign.CountUnknownAsSlow(unknown.snapshot.Workers)
	if speed := unknown.snapshot.Workers[0].Speed; speed != 1 {
		t.Errorf("a worker counts as %v while no speed is known, want 1", speed)
	}
}
