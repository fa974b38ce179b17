package assign

import (
	"cmp"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// planState is a snapshot with the plan under construction and lookup tables. The plan's decisions modify the snapshot.
type planState struct {
	*Snapshot
	// workers has all workers by id.
	workers map[string]*Worker
	// pools has the workers of each service, by its name.
	pools map[string]*pool
	// runs has the runs on each worker by its id, in the order of the work that stopping them loses; a run with several
	// members on a worker appears once. It is built by the first call of runsOn.
	runs map[string][]*RunningUnit
	// victims is the set of the runs that the plan preempts.
	victims map[*RunningUnit]bool
	// runningJobs has the ids of the jobs of which the snapshot or the plan has a run that isn't being stopped.
	runningJobs map[string]bool
	plan        Plan
}

// pool is the workers of a service, sorted by decreasing speed.
type pool struct {
	workers []*Worker
	racks   []rack
	// idle is true if more than idlePoolShare of the pool's cores are free.
	idle bool
	// wholeCapacity is the capacity of the workers that are kept whole, zero if there are none.
	wholeCapacity Resources
}

// rack is the workers of a service in one rack, sorted by decreasing speed.
type rack struct {
	name    string
	workers []*Worker
}

func newPlanState(snapshot *Snapshot) *planState {
	s := &planState{
		Snapshot: snapshot, workers: make(map[string]*Worker, len(snapshot.Workers)), pools: map[string]*pool{},
		victims: map[*RunningUnit]bool{}, runningJobs: map[string]bool{},
		plan: Plan{Reservations: map[replica.Task][]string{}, Reasons: map[replica.Task]Reason{}, Kept: map[string]bool{}},
	}
	for _, worker := range bySpeed(snapshot.Workers) {
		s.workers[worker.ID] = worker
		if s.pools[worker.Service] == nil {
			s.pools[worker.Service] = &pool{}
		}
		s.pools[worker.Service].add(worker)
	}
	for _, pool := range s.pools {
		slices.SortFunc(pool.racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })
		pool.idle = pool.isIdle()
	}
	for i := range snapshot.Running {
		s.runningJobs[snapshot.Running[i].Task.Job] = true
	}
	return s
}

// add adds a worker to the pool and to its rack.
func (p *pool) add(worker *Worker) {
	p.workers = append(p.workers, worker)
	for i := range p.racks {
		if p.racks[i].name == worker.Rack {
			p.racks[i].workers = append(p.racks[i].workers, worker)
			return
		}
	}
	p.racks = append(p.racks, rack{name: worker.Rack, workers: []*Worker{worker}})
}

// poolOf returns the workers of a unit's service.
func (s *planState) poolOf(unit *Unit) *pool {
	if pool, known := s.pools[unit.Service]; known {
		return pool
	}
	return &pool{}
}

// runsOn returns the runs on a worker, in the order of the work that stopping them loses.
func (s *planState) runsOn(worker *Worker) []*RunningUnit {
	if s.runs == nil {
		s.runs = make(map[string][]*RunningUnit, len(s.workers))
		for i := range s.Running {
			run := &s.Running[i]
			for member, id := range run.Workers {
				if !slices.Contains(run.Workers[:member], id) {
					s.runs[id] = append(s.runs[id], run)
				}
			}
		}
		for _, runs := range s.runs {
			slices.SortStableFunc(runs, func(a, b *RunningUnit) int { return cmp.Compare(a.LostWork, b.LostWork) })
		}
	}
	return s.runs[worker.ID]
}

// resourceView returns the resources of a worker that count as available.
type resourceView func(*Worker) Resources

// freeNow returns the unused resources, minus reservations as far as they exceed the resources that are being freed.
func freeNow(worker *Worker) Resources {
	return worker.Free.Sub(worker.reserved.Sub(worker.Freeing).nonNegative())
}

// freeAfterStops returns the resources that are unused once stopping runs have ended, minus reservations.
func freeAfterStops(worker *Worker) Resources {
	return worker.Free.Add(worker.Freeing).Sub(worker.reserved)
}

// nonNegative returns r with negative amounts replaced by 0.
func (r Resources) nonNegative() Resources {
	return Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory), Accelerators: max(0, r.Accelerators)}
}

// allocate takes the resources of a unit on the workers, so that units of lower rank don't get them. With afterStops they are
// reserved among those that stopping runs still use.
func (s *planState) allocate(unit *Unit, workers []string, afterStops bool) {
	need := ResourcesOf(unit.Step)
	for _, id := range workers {
		worker := s.workers[id]
		worker.Empty = false
		if worker.OnTrial || unit.OnProbation || unit.Exclusive {
			worker.Usable, worker.Unhealthy = false, false
		}
		worker.starting = worker.starting || !afterStops
		if unit.TasksPerWorker != nil {
			unit.TasksPerWorker[id]++
		}
		if afterStops {
			worker.reserved = worker.reserved.Add(need)
			continue
		}
		worker.Free = worker.Free.Sub(need)
	}
}

// releaseReserved reverts a call of allocate with afterStops.
func (s *planState) releaseReserved(unit *Unit, workers []string) {
	need := ResourcesOf(unit.Step)
	for _, id := range workers {
		worker := s.workers[id]
		if worker.OnTrial || unit.OnProbation {
			worker.Usable = true
		}
		if unit.TasksPerWorker != nil {
			unit.TasksPerWorker[id]--
		}
		worker.reserved = worker.reserved.Sub(need)
	}
}

// start adds the start of a unit on the workers to the plan.
func (s *planState) start(unit *Unit, workers []string) {
	s.allocate(unit, workers, false)
	s.runningJobs[unit.Task.Job] = true
	s.plan.Starts = append(s.plan.Starts, Start{Task: unit.Task, Workers: workers})
}

// reserve adds a reservation to the plan, so that a unit waits for resources that are being freed on the workers.
func (s *planState) reserve(unit *Unit, workers []string) {
	s.allocate(unit, workers, true)
	s.plan.Reservations[unit.Task] = workers
}
