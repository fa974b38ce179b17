package assign_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// busySnapshot returns a snapshot of a full fleet: each worker runs two tasks, and gangs and tasks of all priorities wait.
func busySnapshot(workers, waiting int) assign.Snapshot {
	random := rand.New(rand.NewPCG(1, 2))
	build := newScene().workers(workers, 8)
	for i := range build.snapshot.Workers {
		worker := &build.snapshot.Workers[i]
		worker.Speed = []float64{0.7, 0.7, 1.7}[i%3]
		for half := range 2 {
			build.running(fmt.Sprintf("run%d-%d", i, half), 1+uint32(i%2), step(1, 4), 10+90*random.Float64(), worker.ID)
		}
	}
	for i := range waiting {
		spec := step(1+uint32(random.IntN(8)), uint32(1)<<random.IntN(4))
		priority := uint32(i % 3)
		spec.Gang = priority < 2
		spec.SameRack = spec.GetGang() && i%2 == 0
		build.waiting(fmt.Sprintf("wait%d", i), priority, spec, func(unit *assign.Unit) {
			unit.Work = 4 * float64(members(spec)) * assign.ResourcesOf(spec).CoreEquivalent()
			if priority == 0 {
				needsFastWorkers(unit)
			}
		})
	}
	return build.snapshot
}

// members returns the number of members of the first unit of a step.
func members(spec *storev1.Step) uint32 {
	if spec.GetGang() {
		return spec.GetCount()
	}
	return 1
}

// copySnapshot returns a copy that MakePlan may modify.
func copySnapshot(snapshot assign.Snapshot) *assign.Snapshot {
	snapshot.Workers = append([]assign.Worker(nil), snapshot.Workers...)
	snapshot.Waiting = append([]assign.Unit(nil), snapshot.Waiting...)
	return &snapshot
}

// BenchmarkPlanWithKnownEnds is BenchmarkPlan with runs whose ends are expected at different times.
func BenchmarkPlanWithKnownEnds(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 60}, {350, 200}, {720, 200}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			snapshot := busySnapshot(size.workers, size.waiting)
			snapshot.StopDuration = time.Second
			for i := range snapshot.Running {
				snapshot.Running[i].Remaining = time.Duration(300+i*37%9000) * time.Millisecond
			}
			b.ReportAllocs()
			for b.Loop() {
				assign.MakePlan(copySnapshot(snapshot))
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 20}, {48, 60}, {350, 60}, {350, 200}, {720, 200}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			snapshot := busySnapshot(size.workers, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				assign.MakePlan(copySnapshot(snapshot))
			}
		})
	}
}
