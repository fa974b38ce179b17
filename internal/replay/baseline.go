package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Baselines are the planners that the scheduler is measured beside. They start whole gangs within workers' room, and know
// neither priorities nor guarantees; nothing gives way.
func Baselines() []Candidate {
	return []Candidate{
		{Name: "fifo", Plan: planFIFO}, {Name: "fifo+backfill", Plan: planBackfill}, {Name: "edf+best-fit", Plan: planEDF},
	}
}

// planFIFO starts jobs in the order of submission, first fit; the first that doesn't fit holds up all behind it.
func planFIFO(view View) assign.Plan {
	pool := newPlanBuilder(view.Snapshot, firstFit)
	for _, unit := range sortedWaiting(view.Snapshot, bySubmission) {
		if !pool.startIfFits(unit) {
			break
		}
	}
	return pool.plan
}

// planEDF goes through the jobs by their objectives and starts each that fits, on the fullest workers that hold it.
func planEDF(view View) assign.Plan {
	pool := newPlanBuilder(view.Snapshot, bestFit)
	for _, unit := range sortedWaiting(view.Snapshot, byObjective) {
		pool.startIfFits(unit)
	}
	return pool.plan
}

// planBackfill is FIFO, but jobs behind the first that doesn't fit start if they are declared to end before it will fit,
// by the declared ends of what runs.
func planBackfill(view View) assign.Plan {
	pool := newPlanBuilder(view.Snapshot, firstFit)
	var head *assign.Unit
	var until time.Time
	for _, unit := range sortedWaiting(view.Snapshot, bySubmission) {
		switch {
		case head == nil && pool.startIfFits(unit):
		case head == nil:
			head, until = unit, pool.earliestStart(unit, view.DeclaredEnds)
		case !view.Now.Add(unit.Remaining).After(until):
			pool.startIfFits(unit)
		}
	}
	return pool.plan
}

func bySubmission(a, b *assign.Unit) int {
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Task.Job, b.Task.Job))
}

func byObjective(a, b *assign.Unit) int {
	return cmp.Or(a.Objective.Compare(b.Objective), bySubmission(a, b))
}

func sortedWaiting(snapshot *assign.Snapshot, order func(a, b *assign.Unit) int) []*assign.Unit {
	units := make([]*assign.Unit, len(snapshot.Waiting))
	for i := range units {
		units[i] = &snapshot.Waiting[i]
	}
	slices.SortStableFunc(units, order)
	return units
}

// workerOrder orders the workers that could take a member.
type workerOrder func(a, b *assign.Worker) int

// firstFit takes the workers in their own order.
func firstFit(_, _ *assign.Worker) int { return 0 }

// bestFit takes the fullest workers first.
func bestFit(a, b *assign.Worker) int { return cmp.Compare(a.Free.Accelerators, b.Free.Accelerators) }

// planBuilder is the workers as the plan changes them.
type planBuilder struct {
	snapshot *assign.Snapshot
	order    workerOrder
	plan     assign.Plan
}

func newPlanBuilder(snapshot *assign.Snapshot, fit workerOrder) *planBuilder {
	return &planBuilder{snapshot: snapshot, order: fit}
}

// startIfFits starts a unit if it fits.
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

// place returns a worker for each member, on one rack where the unit asks for it; nil if there is no room.
func (p *planBuilder) place(unit *assign.Unit) []*assign.Worker {
	var candidates []*assign.Worker
	need, room := assign.ResourcesOf(unit.Step), 0
	for i := range p.snapshot.Workers {
		worker := &p.snapshot.Workers[i]
		if worker.Free.Contains(need) && worker.Usable && !worker.OnTrial && !unit.Avoid[worker.ID] {
			candidates = append(candidates, worker)
			room += worker.Free.Accelerators
		}
	}
	if room < unit.Members()*need.Accelerators {
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

// earliestStart is when a unit fits by the declared ends of what runs; far off if it never does.
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
	later := newPlanBuilder(&future, p.order)
	for _, at := range order {
		run := &p.snapshot.Running[at]
		for _, id := range run.Workers {
			byID[id].Free = byID[id].Free.Add(assign.ResourcesOf(run.Step))
		}
		if later.place(unit) != nil {
			return ends[at]
		}
	}
	return time.Unix(math.MaxInt32, 0)
}
