package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Baselines returns the planners that the scheduler is compared with. They start whole gangs on free resources, ignore
// priorities and guarantees, and preempt nothing.
func Baselines() []Candidate {
	return []Candidate{
		{Name: "fifo", Plan: planFIFO}, {Name: "fifo+backfill", Plan: planBackfill}, {Name: "edf+best-fit", Plan: planEDF},
	}
}

// planFIFO starts jobs in the order of submission, with first fit. The first job that doesn't fit blocks all later ones.
func planFIFO(view View) assign.Plan {
	builder := newPlanBuilder(view.Snapshot, firstFit)
	for _, unit := range sortedWaiting(view.Snapshot, bySubmission) {
		if !builder.startIfFits(unit) {
			break
		}
	}
	return builder.plan
}

// planEDF starts each job that fits, the earliest objective first, with best fit.
func planEDF(view View) assign.Plan {
	builder := newPlanBuilder(view.Snapshot, bestFit)
	for _, unit := range sortedWaiting(view.Snapshot, byObjective) {
		builder.startIfFits(unit)
	}
	return builder.plan
}

// planBackfill is FIFO with backfill: a job behind the first one that doesn't fit starts if its declared end is not after
// the earliest start of that first job, which follows from the declared ends of the running jobs.
func planBackfill(view View) assign.Plan {
	builder := newPlanBuilder(view.Snapshot, firstFit)
	var head *assign.Unit
	var headStart time.Time
	for _, unit := range sortedWaiting(view.Snapshot, bySubmission) {
		switch {
		case head == nil && builder.startIfFits(unit):
		case head == nil:
			head, headStart = unit, builder.earliestStart(unit, view.DeclaredEnds)
		case !view.Now.Add(unit.Remaining).After(headStart):
			builder.startIfFits(unit)
		}
	}
	return builder.plan
}

// bySubmission orders units by the submission of their jobs, then by job id.
func bySubmission(a, b *assign.Unit) int {
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Task.Job, b.Task.Job))
}

// byObjective orders units by the objective of their jobs, then by submission.
func byObjective(a, b *assign.Unit) int {
	return cmp.Or(a.Objective.Compare(b.Objective), bySubmission(a, b))
}

// sortedWaiting returns the waiting units, sorted by order.
func sortedWaiting(snapshot *assign.Snapshot, order func(a, b *assign.Unit) int) []*assign.Unit {
	units := make([]*assign.Unit, len(snapshot.Waiting))
	for i := range units {
		units[i] = &snapshot.Waiting[i]
	}
	slices.SortStableFunc(units, order)
	return units
}

// workerOrder compares two workers; the lesser one gets members first.
type workerOrder func(a, b *assign.Worker) int

// firstFit keeps the workers in the order of the snapshot.
func firstFit(_, _ *assign.Worker) int { return 0 }

// bestFit orders the workers by their free accelerators, the fewest first.
func bestFit(a, b *assign.Worker) int { return cmp.Compare(a.Free.Accelerators, b.Free.Accelerators) }

// planBuilder builds a plan and subtracts the resources of started units from the workers in the snapshot.
type planBuilder struct {
	snapshot *assign.Snapshot
	order    workerOrder
	plan     assign.Plan
}

func newPlanBuilder(snapshot *assign.Snapshot, order workerOrder) *planBuilder {
	return &planBuilder{snapshot: snapshot, order: order}
}

// startIfFits adds the start of a unit to the plan if the unit fits, and reports whether it does.
func (p *planBuilder) startIfFits(unit *assign.Unit) bool {
	workers := p.place(unit)
	if workers == nil {
		return false
	}
	ids := make([]string, len(workers))
	for i, worker := range workers {
		worker.Free = worker.Free.Sub(assign.ResourcesOf(unit.Step))
		ids[i] = worker.ID
	}
	p.plan.Starts = append(p.plan.Starts, assign.Start{Task: unit.Task, Workers: ids})
	return true
}

// place returns a worker for each member, all on one rack if the unit asks for it, or nil if the unit doesn't fit.
func (p *planBuilder) place(unit *assign.Unit) []*assign.Worker {
	var candidates []*assign.Worker
	need, freeAccelerators := assign.ResourcesOf(unit.Step), 0
	for i := range p.snapshot.Workers {
		worker := &p.snapshot.Workers[i]
		if worker.Free.Contains(need) && worker.Usable && !worker.OnTrial && !unit.Avoid[worker.ID] {
			candidates = append(candidates, worker)
			freeAccelerators += worker.Free.Accelerators
		}
	}
	if freeAccelerators < unit.Members()*need.Accelerators {
		return nil
	}
	slices.SortStableFunc(candidates, p.order)
	if !unit.Step.GetSameRack() {
		return chooseWorkers(candidates, unit)
	}
	racks := map[string][]*assign.Worker{}
	for _, worker := range candidates {
		racks[worker.Rack] = append(racks[worker.Rack], worker)
	}
	for _, first := range candidates {
		if chosen := chooseWorkers(racks[first.Rack], unit); chosen != nil {
			return chosen
		}
		delete(racks, first.Rack)
	}
	return nil
}

// chooseWorkers returns a worker for each member of a unit, the first candidates that have free resources, or nil if the unit
// does not fit.
func chooseWorkers(candidates []*assign.Worker, unit *assign.Unit) []*assign.Worker {
	var chosen []*assign.Worker
	need := assign.ResourcesOf(unit.Step)
	for _, worker := range candidates {
		for free := worker.Free; free.Contains(need) && len(chosen) < unit.Members(); free = free.Sub(need) {
			chosen = append(chosen, worker)
		}
	}
	if len(chosen) < unit.Members() {
		return nil
	}
	return chosen
}

// earliestStart returns the time at which a unit fits by the declared ends of the running units, or a time in the far
// future if it never does.
func (p *planBuilder) earliestStart(unit *assign.Unit, ends []time.Time) time.Time {
	future := assign.Snapshot{Workers: slices.Clone(p.snapshot.Workers)}
	byID := map[string]*assign.Worker{}
	for i := range future.Workers {
		byID[future.Workers[i].ID] = &future.Workers[i]
	}
	order := make([]int, len(ends))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return ends[a].Compare(ends[b]) })
	futureBuilder := newPlanBuilder(&future, p.order)
	for _, i := range order {
		run := &p.snapshot.Running[i]
		for _, id := range run.Workers {
			byID[id].Free = byID[id].Free.Add(assign.ResourcesOf(run.Step))
		}
		if futureBuilder.place(unit) != nil {
			return ends[i]
		}
	}
	return time.Unix(math.MaxInt32, 0)
}
