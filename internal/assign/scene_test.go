package assign_test

import (
	"fmt"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// snapshotTime is the time of the snapshots.
var snapshotTime = time.Unix(1_700_000_000, 0)

// scene builds a snapshot for a test.
type scene struct {
	snapshot assign.Snapshot
	used     map[string]assign.Resources
}

func newScene() *scene {
	return &scene{snapshot: assign.Snapshot{Now: snapshotTime}, used: map[string]assign.Resources{}}
}

// workers adds workers w00, w01, ... with 8 accelerators, 32 cores and 64 GB each, perRack of them in each rack.
func (s *scene) workers(count, perRack int) *scene {
	capacity := assign.Resources{CPU: 32000, Memory: 65536, Accelerators: 8}
	for i := range count {
		s.snapshot.Workers = append(s.snapshot.Workers, assign.Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/perRack),
			Labels: []string{"a", fmt.Sprintf("r%d", i/perRack)}, Free: capacity, Capacity: capacity, Speed: 1, Usable: true,
		})
	}
	return s
}

// step returns a step of count tasks. Each needs the given accelerators, with a core and a GB per accelerator.
func step(count, accelerators uint32) *storev1.Step {
	return &storev1.Step{
		Count: count, EstimateMs: 4000,
		Need: &storev1.Resources{CpuMillicores: 1000 * accelerators, MemoryMb: 1024 * accelerators, Accelerators: accelerators},
	}
}

// waiting adds the units of a step of a job, as modified by change.
func (s *scene) waiting(job string, priority uint32, spec *storev1.Step, change ...func(*assign.Unit)) *scene {
	tasksPerWorker := map[string]int{}
	count := int(spec.GetCount())
	if spec.GetGang() {
		count = 1
	}
	for i := range count {
		index := i
		if spec.GetGang() {
			index = replica.GangIndex
		}
		unit := assign.Unit{
			Task: replica.Task{Job: job, Index: index}, Account: "acme", Service: "s", Step: spec, Priority: priority,
			Due: snapshotTime, WaitingSince: snapshotTime, Objective: snapshotTime.Add(time.Minute),
			LateUntil: snapshotTime.Add(3 * time.Minute), Remaining: 4 * time.Second, Credit: 1, Work: 100,
			TasksPerWorker: tasksPerWorker,
		}
		for _, apply := range change {
			apply(&unit)
		}
		s.snapshot.Waiting = append(s.snapshot.Waiting, unit)
	}
	return s
}

// running adds a unit that runs on the workers and uses their resources; stopping it loses the work lost, in core-seconds.
func (s *scene) running(job string, priority uint32, spec *storev1.Step, lost float64, workers ...string) *scene {
	index := 0
	if spec.GetGang() {
		index = replica.GangIndex
	}
	s.snapshot.Running = append(s.snapshot.Running, assign.RunningUnit{
		Task: replica.Task{Job: job, Index: index}, Account: "other", Priority: priority, Step: spec, Workers: workers, LostWork: lost,
	})
	for _, id := range workers {
		for i := range s.snapshot.Workers {
			if worker := &s.snapshot.Workers[i]; worker.ID == id {
				worker.Free = worker.Free.Sub(assign.ResourcesOf(spec))
			}
		}
	}
	return s
}

// claimed gives a unit a claim.
func claimed(unit *assign.Unit) { unit.Claimed = true }
