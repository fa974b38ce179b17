package assign_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"pgregory.net/rapid"
)

const stopDuration = time.Second

// gangOf returns a gang step.
func gangOf(count, accelerators uint32) *storev1.Step {
	spec := step(count, accelerators)
	spec.Gang = true
	return spec
}

// preemptedJobs returns the jobs of the runs that a plan preempts, sorted.
func preemptedJobs(plan assign.Plan) []string {
	var jobs []string
	for _, preemption := range plan.Preemptions {
		jobs = append(jobs, preemption.Task.Job)
	}
	slices.Sort(jobs)
	return jobs
}

// randomScene draws a full fleet with running tasks and gangs of lower priority.
func randomScene(t *rapid.T, maxWorkers int) *scene {
	workers := rapid.IntRange(1, maxWorkers).Draw(t, "workers")
	build := newScene().workers(workers, 2)
	build.snapshot.StopDuration = stopDuration
	loss := rapid.Float64Range(0, 50)
	for i := range rapid.IntRange(0, 2*workers).Draw(t, "runs") {
		spec := step(1, uint32(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators")))
		if rapid.IntRange(0, 2).Draw(t, "gang") == 0 {
			spec = gangOf(uint32(rapid.IntRange(2, 3).Draw(t, "members")), spec.GetNeed().GetAccelerators())
		}
		var on []string
		for range spec.GetCount() {
			offset := rapid.IntRange(0, workers-1).Draw(t, "worker")
			for next := range workers {
				worker := build.snapshot.Workers[(offset+next)%workers]
				used := assign.Resources{}
				for _, id := range on {
					if id == worker.ID {
						used = used.Add(assign.ResourcesOf(spec))
					}
				}
				if worker.Free.Sub(used).Contains(assign.ResourcesOf(spec)) {
					on = append(on, worker.ID)
					break
				}
			}
		}
		if len(on) == int(spec.GetCount()) {
			build.running(fmt.Sprintf("run%d", i), uint32(rapid.IntRange(1, 2).Draw(t, "priority")), spec, loss.Draw(t, "loss"), on...)
		}
	}
	return build
}

// fits reports whether members of a step fit on the workers of a rack, all racks if it is empty, once the runs have ended.
func fits(snapshot *assign.Snapshot, spec *storev1.Step, rack string, ended func(*assign.RunningUnit) bool) bool {
	members := 1
	if spec.GetGang() {
		members = int(spec.GetCount())
	}
	for _, worker := range snapshot.Workers {
		if rack != "" && worker.Rack != rack {
			continue
		}
		free := worker.Free
		for i := range snapshot.Running {
			run := &snapshot.Running[i]
			for _, id := range run.Workers {
				if id == worker.ID && ended(run) {
					free = free.Add(assign.ResourcesOf(run.Step))
				}
			}
		}
		for ; free.Contains(assign.ResourcesOf(spec)); members-- {
			free = free.Sub(assign.ResourcesOf(spec))
		}
	}
	return members <= 0
}

// leastLoss returns the least loss of a set of runs whose end makes room, infinite if there is none.
func leastLoss(snapshot *assign.Snapshot, spec *storev1.Step, racks []string) float64 {
	best := math.Inf(1)
	for set := range 1 << len(snapshot.Running) {
		loss := 0.0
		for i := range snapshot.Running {
			if set>>i&1 == 1 {
				loss += snapshot.Running[i].LostWork
			}
		}
		if loss >= best {
			continue
		}
		for _, rack := range racks {
			if fits(snapshot, spec, rack, func(run *assign.RunningUnit) bool {
				return set>>slices.IndexFunc(snapshot.Running, func(other assign.RunningUnit) bool { return other.Task == run.Task })&1 == 1
			}) {
				best = loss
			}
		}
	}
	return best
}

// Guards against victims that lose much more than others would, also where the stop of a gang frees several workers.
func TestVictimsLoseAtMostTwiceTheLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		build := randomScene(t, 5)
		spec := step(1, uint32(rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "needed")))
		racks := []string{""}
		if rapid.Bool().Draw(t, "waiting gang") {
			spec = gangOf(uint32(rapid.IntRange(2, 3).Draw(t, "waiting members")), spec.GetNeed().GetAccelerators())
			if spec.SameRack = rapid.Bool().Draw(t, "one rack"); spec.GetSameRack() {
				racks = []string{"r0", "r1", "r2"}
			}
		}
		before := copySnapshot(build.snapshot)
		least := leastLoss(before, spec, racks)
		change := func(unit *assign.Unit) { unit.Work = 1e6 }
		if rapid.Bool().Draw(t, "claim") {
			change = claimed
		}
		plan := assign.MakePlan(&build.waiting("urgent", 0, spec, change).snapshot)
		if math.IsInf(least, 1) {
			return // a gang that can't have one rack
		}
		if len(plan.Starts) == 0 && len(plan.Reservations) == 0 {
			t.Fatalf("the unit neither starts nor gets a reservation: %+v", plan)
		}
		stopped := func(run *assign.RunningUnit) bool { return slices.Contains(preemptedJobs(plan), run.Task.Job) }
		loss := 0.0
		for i := range before.Running {
			if stopped(&before.Running[i]) {
				loss += before.Running[i].LostWork
			}
		}
		if loss > 2*least {
			t.Fatalf("%v lose %.1f core-seconds, the best choice %.1f", preemptedJobs(plan), loss, least)
		}
		if !slices.ContainsFunc(racks, func(rack string) bool { return fits(before, spec, rack, stopped) }) {
			t.Fatalf("the unit doesn't fit where %v ran", preemptedJobs(plan))
		}
	})
}

// Guards against work that is thrown away for less than it costs: the loss of all victims stays below what the unit gains.
func TestPreemptionGainsMoreThanItLoses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		build := randomScene(t, 8)
		for i := range build.snapshot.Running {
			run := &build.snapshot.Running[i]
			run.Remaining = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "remaining")) * time.Millisecond
			run.Credit = rapid.Float64Range(0, 0.5).Draw(t, "credit")
			run.Objective = snapshotTime.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "run's objective")) * time.Millisecond)
			run.LateUntil = run.Objective.Add(30 * time.Second)
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "units") {
			spec := gangOf(uint32(rapid.IntRange(1, 3).Draw(t, "members")), uint32(rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "need")))
			spec.SameRack = rapid.Bool().Draw(t, "one rack")
			build.waiting(fmt.Sprintf("urgent%d", i), 0, spec, func(unit *assign.Unit) {
				unit.Objective = snapshotTime.Add(time.Duration(rapid.IntRange(-10_000, 30_000).Draw(t, "objective")) * time.Millisecond)
				unit.LateUntil = unit.Objective.Add(10 * time.Second)
				unit.Work = rapid.Float64Range(0, 100).Draw(t, "work")
			})
		}
		plan := assign.MakePlan(&build.snapshot)
		losses, costs := map[string]float64{}, map[string]float64{}
		for _, preemption := range plan.Preemptions {
			for i := range build.snapshot.Running {
				if run := &build.snapshot.Running[i]; run.Task == preemption.Task {
					losses[preemption.For.Job] += run.LostWork
					if run.Remaining > 0 && run.Remaining <= stopDuration {
						t.Fatalf("%v is stopped although it ends in %v", run.Task, run.Remaining)
					}
				}
			}
			if costs[preemption.For.Job] = preemption.Cost; preemption.Cost >= preemption.Gain {
				t.Fatalf("%+v costs more than it gains", preemption)
			}
		}
		for job, loss := range losses {
			if loss > costs[job]+1e-6 {
				t.Fatalf("preemptions for %v lose %.1f core-seconds, and count as %.1f", job, loss, costs[job])
			}
		}
	})
}

// Guards against stops of runs whose jobs miss their objectives by it, for a unit that gains less.
func TestCreditThatVictimsLoseCounts(t *testing.T) {
	for slack, want := range map[time.Duration]string{time.Minute: "tight", 6 * time.Second: "cheap"} {
		build := newScene().workers(2, 2).running("tight", 1, step(1, 8), 10, "w00").running("cheap", 1, step(1, 8), 12, "w01")
		build.snapshot.StopDuration = stopDuration
		for i := range build.snapshot.Running {
			run := &build.snapshot.Running[i]
			run.Remaining, run.Credit = 4*time.Second, 0.5
			run.Objective, run.LateUntil = snapshotTime.Add(time.Minute), snapshotTime.Add(2*time.Minute)
		}
		build.snapshot.Running[0].Objective = snapshotTime.Add(slack)
		if got := preemptedJobs(assign.MakePlan(&build.waiting("urgent", 0, step(1, 8), needsFastWorkers).snapshot)); !slices.Equal(got, []string{want}) {
			t.Errorf("with an objective in %v %v are preempted, want %s", slack, got, want)
		}
	}
}

// Guards against stops of runs that end by themselves as soon: a stop takes a second, and the start after it some time.
func TestUnitWaitsForRunThatEndsSoonerThanAStop(t *testing.T) {
	for remaining, want := range map[time.Duration]int{500 * time.Millisecond: 0, 4 * time.Second: 1, 0: 1} {
		build := newScene().workers(1, 1).running("old", 2, step(1, 8), 1, "w00").waiting("urgent", 0, step(1, 8), needsFastWorkers)
		build.snapshot.StopDuration, build.snapshot.Running[0].Remaining = stopDuration, remaining
		plan := assign.MakePlan(&build.snapshot)
		if len(plan.Preemptions) != want || len(plan.Reservations) != 1 {
			t.Errorf("the plan beside a run that ends in %v is %+v, want %d preemptions and a reservation", remaining, plan, want)
		}
	}
}

// Guards against other units that take what is free on a worker for whose run an urgent unit waits.
func TestResourcesAreHeldBesideRunThatEndsSoon(t *testing.T) {
	build := newScene().workers(1, 1).running("old", 2, step(1, 4), 1, "w00").waiting("small", 2, step(1, 2)).
		waiting("urgent", 0, step(1, 8), func(unit *assign.Unit) { unit.Credit = 3 })
	build.snapshot.StopDuration, build.snapshot.Running[0].Remaining = stopDuration, 300*time.Millisecond
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts)+len(plan.Preemptions) != 0 {
		t.Errorf("the plan is %+v, want only a reservation", plan)
	}
}

// Guards against preemptions for a faster worker that a unit doesn't need, or that doesn't help it.
func TestUnitPreemptsForSpeedOnlyToMeetItsObjective(t *testing.T) {
	cases := []struct {
		name      string
		objective time.Duration
		want      int
	}{
		{"the free worker is fast enough", 6 * time.Second, 0},
		{"only the busy worker is fast enough", 4 * time.Second, 1},
		{"no worker is fast enough", 3 * time.Second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			build := newScene().workers(2, 2).running("old", 2, step(1, 8), 1, "w00")
			build.snapshot.StopDuration, build.snapshot.Workers[0].Speed = stopDuration, 2
			build.waiting("urgent", 0, step(1, 8), func(unit *assign.Unit) { unit.Objective = snapshotTime.Add(test.objective) })
			plan := assign.MakePlan(&build.snapshot)
			if len(plan.Preemptions) != test.want || len(plan.Starts) != 1-test.want {
				t.Errorf("the plan is %+v, want %d preemptions", plan, test.want)
			}
		})
	}
}

// Guards against urgent gangs that start across racks, where they take three times as long, while a rack can be cleared or is free soon.
func TestUrgentGangGetsItsRackCleared(t *testing.T) {
	cases := []struct {
		name              string
		remaining         time.Duration
		loss              float64
		preempted, starts int
	}{
		{"cheap run", 0, 1, 1, 0},
		{"run that ends soon", 800 * time.Millisecond, 50, 0, 0},
		{"expensive run that ends before the gang would across racks", 5 * time.Second, 1000, 0, 0},
		{"expensive run that lasts", 20 * time.Second, 1000, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			spec := gangOf(2, 8)
			spec.SameRack = true
			build := newScene().workers(4, 2).running("a", 2, step(1, 8), test.loss, "w00").running("b", 2, step(1, 8), test.loss, "w02")
			for i := range build.snapshot.Running {
				build.snapshot.Running[i].Remaining = test.remaining
			}
			build.snapshot.StopDuration = stopDuration
			plan := assign.MakePlan(&build.waiting("urgent", 0, spec, func(unit *assign.Unit) {
				unit.Objective = snapshotTime.Add(6250 * time.Millisecond)
				unit.LateUntil = snapshotTime.Add(18750 * time.Millisecond)
			}).snapshot)
			if len(plan.Preemptions) != test.preempted || len(plan.Starts) != test.starts {
				t.Errorf("the plan is %+v, want %d preemptions and %d starts", plan, test.preempted, test.starts)
			}
		})
	}
}

// Guards against claims that stop urgent units of others although runs of lower priority suffice, and against claims that wait because
// only protected or urgent runs are left.
func TestClaimPrefersVictimsOfLowerPriority(t *testing.T) {
	for priority, want := range map[uint32]string{2: "low", 0: "urgent"} {
		build := newScene().workers(2, 2).running("urgent", 0, step(1, 8), 1, "w00").running("low", priority, step(1, 8), 90, "w01")
		for i := range build.snapshot.Running {
			build.snapshot.Running[i].Preemptions = 10
			if priority == 2 {
				build.snapshot.Running[i].Preemptions = 0
			}
		}
		plan := assign.MakePlan(&build.waiting("claim", 0, step(1, 8), claimed).snapshot)
		if got := preemptedJobs(plan); !slices.Equal(got, []string{want}) {
			t.Errorf("%v are preempted, want %s", got, want)
		}
	}
}

// Guards against an urgent unit that ranks last for good once a claim has stopped it: its job can't meet its objective any more.
func TestPreemptedUrgentUnitStartsAgainFirst(t *testing.T) {
	build := newScene().workers(1, 1).waiting("other", 0, step(1, 8))
	build.waiting("stopped", 0, step(1, 8), func(unit *assign.Unit) { unit.Objective, unit.Preemptions = snapshotTime, 1 })
	if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != 1 || plan.Starts[0].Task.Job != "stopped" {
		t.Errorf("starts are %v, want the preempted unit", plan.Starts)
	}
}

// Guards against a preempted urgent unit for which no worker ever becomes whole, because others start on each part that becomes free.
func TestResourcesAreHeldForPreemptedUrgentUnit(t *testing.T) {
	for preemptions, want := range map[int]int{0: 1, 1: 0} {
		build := newScene().workers(1, 1).running("old", 2, step(1, 4), 1000, "w00").waiting("small", 2, step(1, 2))
		build.waiting("stopped", 0, step(1, 8), func(unit *assign.Unit) { unit.Preemptions, unit.Credit = preemptions, 3 })
		build.snapshot.StopDuration, build.snapshot.Running[0].Remaining = stopDuration, 2*time.Second
		if plan := assign.MakePlan(&build.snapshot); len(plan.Starts) != want || len(plan.Preemptions) != 0 {
			t.Errorf("after %d preemptions the plan is %+v, want %d starts", preemptions, plan, want)
		}
	}
}

// Guards against runs that are stopped right after the plan that placed them beside the same waiting unit, and against units that are
// preempted again and again. A claim may stop both.
func TestProtectedRunsAreOnlyStoppedForClaims(t *testing.T) {
	cases := []struct {
		name   string
		change func(*assign.RunningUnit)
		want   int
	}{
		{"just placed", func(run *assign.RunningUnit) { run.PlacedAt = snapshotTime.Add(-100 * time.Millisecond) }, 0},
		{"placed before the unit waited", func(run *assign.RunningUnit) { run.PlacedAt = snapshotTime.Add(-3 * time.Second) }, 1},
		{"preempted once", func(run *assign.RunningUnit) { run.Preemptions = 1 }, 1},
		{"preempted twice", func(run *assign.RunningUnit) { run.Preemptions = 2 }, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for _, claim := range []bool{false, true} {
				build := newScene().workers(1, 1).running("run", 2, step(1, 8), 0, "w00")
				test.change(&build.snapshot.Running[0])
				build.waiting("urgent", 0, step(1, 8), waited(2*time.Second), func(unit *assign.Unit) { unit.Claimed = claim })
				want := test.want
				if claim {
					want = 1
				}
				if plan := assign.MakePlan(&build.snapshot); len(plan.Preemptions) != want {
					t.Errorf("claim %v: preemptions are %v, want %d", claim, plan.Preemptions, want)
				}
			}
		})
	}
}

// Guards against units that are placed by one plan and preempted by a later one without an arrival, a loss or an end in between.
func TestPlansDoNotUndoEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		build := randomScene(t, 8)
		for i := range rapid.IntRange(1, 8).Draw(t, "units") {
			spec := step(uint32(rapid.IntRange(1, 3).Draw(t, "count")), uint32(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "need")))
			spec.Gang, spec.SameRack = rapid.Bool().Draw(t, "is gang"), rapid.Bool().Draw(t, "one rack")
			build.waiting(fmt.Sprintf("wait%d", i), uint32(rapid.IntRange(0, 2).Draw(t, "waiting priority")), spec, func(unit *assign.Unit) {
				unit.Objective = snapshotTime.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "objective")) * time.Millisecond)
				unit.LateUntil = unit.Objective.Add(10 * time.Second)
				unit.Work = rapid.Float64Range(0, 300).Draw(t, "work")
				unit.Claimed = unit.Priority == 0 && rapid.IntRange(0, 3).Draw(t, "claim") == 0
				unit.WaitingSince = snapshotTime.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "waited")) * time.Millisecond)
			})
		}
		placed := map[replica.Task]bool{}
		for range 5 {
			plan := assign.MakePlan(copySnapshot(build.snapshot))
			for _, preemption := range plan.Preemptions {
				if placed[preemption.Task] {
					t.Fatalf("%v is preempted for %v after an earlier plan placed it", preemption.Task, preemption.For)
				}
			}
			carryOut(&build.snapshot, plan)
			for _, start := range plan.Starts {
				placed[start.Task] = true
			}
			build.snapshot.Now = build.snapshot.Now.Add(150 * time.Millisecond)
		}
	})
}

// carryOut changes a snapshot as a plan says; stops don't end.
func carryOut(snapshot *assign.Snapshot, plan assign.Plan) {
	worker := func(id string) *assign.Worker {
		return &snapshot.Workers[slices.IndexFunc(snapshot.Workers, func(w assign.Worker) bool { return w.ID == id })]
	}
	for _, preemption := range plan.Preemptions {
		i := slices.IndexFunc(snapshot.Running, func(run assign.RunningUnit) bool { return run.Task == preemption.Task })
		for _, id := range snapshot.Running[i].Workers {
			worker(id).Freeing = worker(id).Freeing.Add(assign.ResourcesOf(snapshot.Running[i].Step))
		}
		snapshot.Running = slices.Delete(snapshot.Running, i, i+1)
	}
	for _, start := range plan.Starts {
		i := slices.IndexFunc(snapshot.Waiting, func(unit assign.Unit) bool { return unit.Task == start.Task })
		unit := snapshot.Waiting[i]
		for _, id := range start.Workers {
			worker(id).Free = worker(id).Free.Sub(assign.ResourcesOf(unit.Step))
		}
		snapshot.Running = append(snapshot.Running, assign.RunningUnit{
			Task: unit.Task, Priority: unit.Priority, Claimed: unit.Claimed, Step: unit.Step, Workers: start.Workers,
			PlacedAt: snapshot.Now,
		})
		snapshot.Waiting = slices.Delete(snapshot.Waiting, i, i+1)
	}
	for i := range snapshot.Waiting {
		snapshot.Waiting[i].Reserved = plan.Reservations[snapshot.Waiting[i].Task]
	}
}
