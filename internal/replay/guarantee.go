package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// GuaranteeError reports that the shapes guaranteed in a data centre can't all be placed at once, even on empty workers.
type GuaranteeError struct {
	DataCentre string
	// Requested is the number of guaranteed shapes, Placed the number of those that could be placed.
	Placed, Requested int
}

// Error returns the data centre, both numbers and the remedy.
func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("data centre %q has workers for %d of the %d shapes guaranteed there: guarantee fewer, or list more workers",
		e.DataCentre, e.Placed, e.Requested)
}

// CheckGuarantees checks that the scheduler's planner can place all shapes guaranteed in a data centre on its empty workers
// at once. The error is a *GuaranteeError.
func CheckGuarantees(dataCentre string, workers []*apiv1.Worker, guarantees []*apiv1.Guarantee) error {
	snapshot := &assign.Snapshot{Now: time.UnixMilli(0)}
	for _, worker := range workers {
		capacity := capacityOf(worker)
		snapshot.Workers = append(snapshot.Workers, assign.Worker{
			ID: worker.GetName(), Service: dataCentre, Rack: worker.GetRack(), Free: capacity, Capacity: capacity, Speed: 1, Usable: true,
		})
	}
	requested := guaranteedShapes(dataCentre, guarantees)
	for n, spec := range requested {
		step := spec.GetSteps()[0]
		unit := assign.Unit{
			Task: replica.Task{Job: fmt.Sprint(n)}, Service: dataCentre, Step: step, Claimed: true,
			Due: snapshot.Now.Add(time.Duration(n)), WaitingSince: snapshot.Now, Objective: snapshot.Now.Add(time.Hour),
		}
		if step.GetGang() {
			unit.Task.Index = replica.GangIndex
		}
		snapshot.Waiting = append(snapshot.Waiting, unit)
	}
	if placed := len(assign.MakePlan(snapshot).Starts); placed < len(requested) {
		return &GuaranteeError{DataCentre: dataCentre, Placed: placed, Requested: len(requested)}
	}
	return nil
}

// guaranteedShapes returns a job for each shape guaranteed in a data centre, the one with the most accelerators first.
func guaranteedShapes(dataCentre string, guarantees []*apiv1.Guarantee) []*storev1.Job {
	var shapes []*storev1.Job
	for _, row := range guarantees {
		if row.GetDataCentre() != dataCentre {
			continue
		}
		traceJob := &apiv1.TraceJob{Spec: &apiv1.JobSpec{Shape: row.GetShape(), ExpectedMs: time.Hour.Milliseconds()}}
		for range row.GetCount() {
			shapes = append(shapes, storedJob(traceJob, dataCentre, 0))
		}
	}
	size := func(job *storev1.Job) uint32 {
		return job.GetSteps()[0].GetCount() * job.GetSteps()[0].GetNeed().GetAccelerators()
	}
	slices.SortStableFunc(shapes, func(a, b *storev1.Job) int { return cmp.Compare(size(b), size(a)) })
	return shapes
}
