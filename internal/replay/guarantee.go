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

// GuaranteeError reports guarantees of a sheet that can't all be held at once, whatever else runs.
type GuaranteeError struct {
	DataCentre string
	// Placed of Requested shapes fit on the empty workers.
	Placed, Requested int
}

// Error names the data centre and the remedy.
func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("data centre %q holds %d of the %d shapes guaranteed there: guarantee less, or list more workers",
		e.DataCentre, e.Placed, e.Requested)
}

// CheckGuarantees places all shapes guaranteed in a data centre on its empty workers. The error is a *GuaranteeError.
func CheckGuarantees(dataCentre string, workers []*apiv1.Worker, guarantees []*apiv1.Guarantee) error {
	snapshot := &assign.Snapshot{Now: time.UnixMilli(0)}
	for _, worker := range workers {
		room := capacityOf(worker)
		snapshot.Workers = append(snapshot.Workers, assign.Worker{
			ID: worker.GetName(), Service: dataCentre, Rack: worker.GetRack(), Free: room, Capacity: room, Speed: 1, Usable: true,
		})
	}
	asked := guaranteedShapes(dataCentre, guarantees)
	for n, spec := range asked {
		step := spec.GetSteps()[0]
		unit := assign.Unit{
			Task: replica.Task{Job: fmt.Sprint(n)}, Service: dataCentre, Step: step, Claimed: true, Due: snapshot.Now.Add(time.Duration(n)),
			WaitingSince: snapshot.Now, Objective: snapshot.Now.Add(time.Hour),
		}
		if step.GetGang() {
			unit.Task.Index = replica.GangIndex
		}
		snapshot.Waiting = append(snapshot.Waiting, unit)
	}
	if held := len(assign.MakePlan(snapshot).Starts); held < len(asked) {
		return &GuaranteeError{DataCentre: dataCentre, Placed: held, Requested: len(asked)}
	}
	return nil
}

// guaranteedShapes returns the shapes guaranteed in a data centre, the largest first.
func guaranteedShapes(dataCentre string, guarantees []*apiv1.Guarantee) []*storev1.Job {
	var shapes []*storev1.Job
	for _, row := range guarantees {
		if row.GetDataCentre() != dataCentre {
			continue
		}
		shaped := &apiv1.TraceJob{Spec: &apiv1.JobSpec{Shape: row.GetShape(), ExpectedMs: time.Hour.Milliseconds()}}
		for range row.GetCount() {
			shapes = append(shapes, storedJob(shaped, dataCentre, 0))
		}
	}
	size := func(job *storev1.Job) uint32 {
		return job.GetSteps()[0].GetCount() * job.GetSteps()[0].GetNeed().GetAccelerators()
	}
	slices.SortStableFunc(shapes, func(a, b *storev1.Job) int { return cmp.Compare(size(b), size(a)) })
	return shapes
}
