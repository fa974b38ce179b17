package assign_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// wholeDemand gives urgent units a demand for whole workers.
func (s *scene) wholeDemand(workers, rackWidth int) *scene {
	s.snapshot.UrgentWhole = map[string]assign.WholeDemand{"s": {Workers: workers, RackWidth: rackWidth}}
	return s
}

// breakInto runs a small task of low priority on each of the workers.
func (s *scene) breakInto(ids ...string) *scene {
	for _, id := range ids {
		s.running("older-"+id, 2, step(1, 1), 50, id)
	}
	return s
}

// keptWhole returns the ids of the workers that a plan keeps whole.
func keptWhole(plan assign.Plan) []string {
	var ids []string
	for id, whole := range plan.Kept {
		if whole {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against urgent tasks that need a whole worker and wait while every worker runs some small task: two thirds of the accelerators
// are free, so that in cores there is enough for all.
func TestWorkersStayWholeForUrgentUnitsThatNeedThem(t *testing.T) {
	busy := []string{"w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11"}
	build := newScene().workers(12, 6).wholeDemand(2, 0).breakInto(busy...).waiting("batch", 2, step(79, 1))
	plan := assign.MakePlan(&build.snapshot)
	counts := startsPerWorker(plan)
	kept := keptWhole(plan)
	if want := []string{"w00", "w01"}; !slices.Equal(kept, want) {
		t.Fatalf("kept whole are %v, want %v", kept, want)
	}
	for _, id := range kept {
		if counts[id] > 0 {
			t.Errorf("%d small tasks start on %s, which is kept whole", counts[id], id)
		}
	}
	if started := len(plan.Starts); started != 9*7+8 {
		t.Errorf("%d small tasks start, want all that the other workers hold: 71", started)
	}
	urgent := newScene().workers(12, 6).wholeDemand(2, 0).breakInto(busy...).breakInto("w02").
		waiting("urgent", 0, step(2, 8), withoutSlack).waiting("batch", 2, step(1, 1))
	if got := startsPerWorker(assign.MakePlan(&urgent.snapshot)); got["w00"] != 1 || got["w01"] != 1 {
		t.Errorf("starts per worker are %v, want the urgent tasks on w00 and w01", got)
	}
}

// Guards against more whole workers than are needed, and against any after the demand has ended or while most workers run nothing.
func TestWholeWorkersFollowTheDemand(t *testing.T) {
	for _, test := range []struct {
		name                string
		workers, busy, need int
		want                int
	}{
		{"no demand", 12, 12, 0, 0}, {"some", 12, 12, 3, 3}, {"at most a third of the cores", 12, 12, 9, 4}, {"mostly untouched", 12, 5, 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(test.workers, 6).wholeDemand(test.need, 0)
			for i := range test.busy {
				build.breakInto(fmt.Sprintf("w%02d", i))
			}
			if kept := keptWhole(assign.MakePlan(&build.snapshot)); len(kept) != test.want {
				t.Errorf("kept whole are %v, want %d", kept, test.want)
			}
		})
	}
}

// Guards against whole workers that are spread over racks while urgent gangs need them in one.
func TestWholeWorkersAreKeptInOneRackForGangs(t *testing.T) {
	build := newScene().workers(24, 6).speeds(1, 1, 1.25, 1, 0.8, 1).wholeDemand(8, 4)
	for i := range build.snapshot.Workers {
		worker := &build.snapshot.Workers[i]
		if worker.Rack == "r2" {
			worker.Speed = 1.25
		}
		build.breakInto(worker.ID)
	}
	racks := map[string]int{}
	for _, id := range keptWhole(assign.MakePlan(&build.snapshot)) {
		for i := range build.snapshot.Workers {
			if build.snapshot.Workers[i].ID == id {
				racks[build.snapshot.Workers[i].Rack]++
			}
		}
	}
	if want := map[string]int{"r0": 4, "r2": 4}; !maps.Equal(racks, want) {
		t.Errorf("whole workers by rack are %v, want %v", racks, want)
	}
}

// Guards against a choice of workers that changes with each small change of learned speeds, so that none becomes whole.
func TestWholeWorkersStayTheSame(t *testing.T) {
	build := newScene().workers(12, 6).wholeDemand(3, 0)
	for i := range build.snapshot.Workers {
		build.breakInto(build.snapshot.Workers[i].ID)
	}
	build.snapshot.Workers[7].Kept, build.snapshot.Workers[7].Speed = true, 0.96
	build.snapshot.Workers[9].Kept, build.snapshot.Workers[9].Speed = true, 1.02
	if kept := keptWhole(assign.MakePlan(&build.snapshot)); !slices.Contains(kept, "w07") || !slices.Contains(kept, "w09") {
		t.Errorf("kept whole are %v, want w07 and w09 among them", kept)
	}
}

// Guards against small urgent tasks that break into whole workers beside room on others, and against such tasks that wait beside them.
func TestSmallUrgentTasksSpareWholeWorkers(t *testing.T) {
	build := newScene().workers(6, 6).wholeDemand(2, 0).breakInto("w02", "w03", "w04", "w05").waiting("small", 0, step(30, 1), withoutSlack)
	counts := startsPerWorker(assign.MakePlan(&build.snapshot))
	if counts["w00"]+counts["w01"] != 2 {
		t.Errorf("starts per worker are %v, want 28 on w02 to w05 and the last 2 on a whole one", counts)
	}
	if counts["w00"] == 1 {
		t.Errorf("starts per worker are %v, want the last 2 on the same worker", counts)
	}
}

// Guards against a gang that runs across racks, or waits for one, because the workers that it needs are kept whole.
func TestGangThatFitsNoOtherRackUsesWholeWorkers(t *testing.T) {
	gang := step(5, 7)
	gang.Gang, gang.SameRack = true, true
	build := newScene().workers(12, 6).wholeDemand(4, 2).waiting("gang", 1, gang)
	for i := range build.snapshot.Workers {
		build.breakInto(build.snapshot.Workers[i].ID)
	}
	plan := assign.MakePlan(&build.snapshot)
	if len(keptWhole(plan)) != 4 || len(plan.Starts) != 1 {
		t.Fatalf("%d workers are kept whole and %d units start, want 4 and the gang", len(keptWhole(plan)), len(plan.Starts))
	}
	racks := map[string]bool{}
	for _, id := range plan.Starts[0].Workers {
		for i := range build.snapshot.Workers {
			if build.snapshot.Workers[i].ID == id {
				racks[build.snapshot.Workers[i].Rack] = true
			}
		}
	}
	if len(racks) != 1 {
		t.Errorf("the gang starts in racks %v, want one", slices.Sorted(maps.Keys(racks)))
	}
}

// Guards against units that never start because of workers that are kept, and against kept workers that others use beside room.
func TestKeptWorkersOnRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 16).Draw(t, "workers")
		perRack := rapid.IntRange(1, 6).Draw(t, "per rack")
		build := newScene().workers(count, perRack)
		for i := range build.snapshot.Workers {
			worker := &build.snapshot.Workers[i]
			worker.Speed = rapid.SampledFrom([]float64{0.8, 1, 1.25}).Draw(t, "speed")
			worker.Kept = rapid.Bool().Draw(t, "kept")
			used := rapid.IntRange(0, 8).Draw(t, "used")
			worker.Free = worker.Free.Sub(assign.Resources{Accelerators: used, CPU: 1000 * used, Memory: 1024 * used})
		}
		demand := rapid.IntRange(0, 8).Draw(t, "demand")
		build.wholeDemand(demand, rapid.IntRange(0, 4).Draw(t, "rack width"))
		spec := step(uint32(rapid.IntRange(1, 6).Draw(t, "tasks")), uint32(rapid.IntRange(1, 8).Draw(t, "accelerators"))) //nolint:gosec // Small.
		spec.Gang = rapid.Bool().Draw(t, "gang")
		build.waiting("a", uint32(rapid.IntRange(0, 2).Draw(t, "priority")), spec) //nolint:gosec // Small.
		without := build.snapshot
		without.Workers, without.Waiting = slices.Clone(without.Workers), slices.Clone(without.Waiting)
		without.UrgentWhole = nil
		before := assign.MakePlan(&without)
		plan := assign.MakePlan(&build.snapshot)

		kept := keptWhole(plan)
		if len(kept) > demand || 3*len(kept) > count {
			t.Fatalf("%d of %d workers are kept whole for a demand of %d", len(kept), count, demand)
		}
		members := int(spec.GetCount())
		if !spec.GetGang() {
			members = 1
		}
		holdElsewhere := (count - len(kept)) * (8 / int(spec.GetNeed().GetAccelerators()))
		priority := build.snapshot.Waiting[0].Priority
		if len(plan.Starts) < len(before.Starts) && (priority == 0 || holdElsewhere < members) {
			t.Fatalf("%d units of priority %d start, %d without kept workers; the others hold %d members",
				len(plan.Starts), priority, len(before.Starts), holdElsewhere)
		}
		for _, start := range plan.Starts {
			for _, id := range start.Workers {
				if priority > 0 && slices.Contains(kept, id) && holdElsewhere >= members {
					t.Fatalf("a unit of priority %d starts on %s, which is kept whole, although the others hold it", priority, id)
				}
			}
		}
	})
}
