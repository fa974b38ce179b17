package assign_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// gangTrial runs small tasks of priority 2, of which there are always more, and lets a gang of priority 1 wait beside them.
type gangTrial struct {
	workers  int
	gang     *storev1.Step
	duration func() time.Duration
}

// run returns how long the gang waits, and until when the small tasks took that ran after the first plan with it; false if the gang
// doesn't start within a minute.
func (g *gangTrial) run(started *int) (waited, longest time.Duration, ok bool) {
	const interval = 100 * time.Millisecond
	type task struct {
		ends   time.Time
		worker string
	}
	running := map[string]task{}
	reservations := map[replica.Task][]string{}
	arrival := snapshotTime.Add(10 * time.Second)
	for now := snapshotTime; now.Before(arrival.Add(time.Minute)); now = now.Add(interval) {
		build := newScene().workers(g.workers, g.workers)
		build.snapshot.Now = now
		build.snapshot.Shares.Short = map[string]bool{"s": now.After(snapshotTime)}
		for name, run := range maps.Clone(running) {
			if !run.ends.After(now) {
				delete(running, name)
				continue
			}
			build.running(name, 2, step(1, 1), 1, run.worker)
			build.snapshot.Running[len(build.snapshot.Running)-1].Remaining = run.ends.Sub(now)
		}
		build.waiting("small", 2, step(uint32(8*g.workers), 1), credit(1000), func(unit *assign.Unit) {
			unit.Objective, unit.LateUntil = now.Add(time.Minute), now.Add(time.Minute)
		})
		if !now.Before(arrival) {
			build.waiting("gang", 1, g.gang, func(unit *assign.Unit) { unit.Reserved, unit.WaitingSince = reservations[unit.Task], arrival })
		}
		plan := assign.MakePlan(&build.snapshot)
		reservations = plan.Reservations
		for _, start := range plan.Starts {
			if start.Task.Job == "gang" {
				return now.Sub(arrival), longest, true
			}
			*started++
			run := task{now.Add(g.duration()), start.Workers[0]}
			running[fmt.Sprint(*started)] = run
			if !now.After(arrival) {
				longest = max(longest, run.ends.Sub(arrival))
			}
		}
	}
	return 0, longest, false
}

// Guards against gangs that never start because small tasks take each accelerator that becomes free. Bound, as in
// docs/design/shares.md: a gang that is first in order starts once the tasks have ended that ran after its first plan, if no task takes more
// than 1.3 times what is expected.
func TestGangStartsBesideSmallTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gang := step(uint32(rapid.IntRange(2, 4).Draw(t, "members")), uint32(rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "accelerators")))
		gang.Gang = true
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		trial := gangTrial{workers: 4, gang: gang, duration: func() time.Duration {
			return time.Duration(28+random.IntN(25)) * 100 * time.Millisecond
		}}
		started := 0
		waited, longest, ok := trial.run(&started)
		if !ok || waited > longest+200*time.Millisecond {
			t.Fatalf("the gang starts after %v (%v), want at most %v", waited, ok, longest)
		}
	})
}

// Guards against workers that stand idle while a gang collects them although a short task would end before, and against tasks there that
// end later, claims that wait for a gang, and collections without a shortage.
func TestOnlyWhatEndsBeforeTheGangStartsOnItsWorkers(t *testing.T) {
	gang := step(2, 8)
	gang.Gang = true
	shortTask := step(1, 1)
	shortTask.EstimateMs = 1000
	for _, test := range []struct {
		name   string
		short  bool
		add    func(*scene)
		starts int
	}{
		{"longer task", true, func(s *scene) { s.waiting("task", 2, step(1, 1)) }, 0},
		{"short task", true, func(s *scene) { s.waiting("task", 2, shortTask) }, 1},
		{"claim", true, func(s *scene) { s.waiting("task", 0, step(1, 1), claimed) }, 1},
		{"no shortage", false, func(s *scene) { s.waiting("task", 2, step(1, 1)) }, 1},
	} {
		build := newScene().workers(2, 2).running("a", 2, step(1, 4), 1, "w00").running("b", 2, step(1, 8), 1, "w01")
		for i := range build.snapshot.Running {
			build.snapshot.Running[i].Remaining = 2 * time.Second
		}
		if test.short {
			build.short(nil)
		}
		build.waiting("gang", 1, gang, credit(1000))
		test.add(build)
		if got := startedJobs(assign.MakePlan(&build.snapshot)); len(got) != test.starts {
			t.Errorf("%s: %v start, want %d tasks", test.name, got, test.starts)
		}
	}
}

func BenchmarkPlanInShortage(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 60}, {350, 200}, {720, 200}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			snapshot := busySnapshot(size.workers, size.waiting)
			snapshot.Shares.Short = map[string]bool{"s": true}
			for i := range snapshot.Waiting {
				snapshot.Waiting[i].Account = fmt.Sprint("account", i%10)
			}
			for i := range snapshot.Running {
				run := &snapshot.Running[i]
				run.Account, run.Service, run.Remaining = fmt.Sprint("account", i%7), "s", time.Duration(1+i%40)*100*time.Millisecond
				snapshot.Shares.AddUse(&assign.Unit{Account: run.Account, Service: "s", Priority: run.Priority, Step: run.Step}, 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				copied := copySnapshot(snapshot)
				copied.Shares.InUse = maps.Clone(snapshot.Shares.InUse)
				assign.MakePlan(copied)
			}
		})
	}
}
