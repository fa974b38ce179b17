package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// planState is a snapshot with the plan under construction and lookup tables. The plan's decisions modify the snapshot.
type planState struct {
	*Snapshot
	// workers has all workers by id.
	workers map[string]*Worker
	// pools has the workers of each service, by its name.
	pools map[string]*pool
	// ends has the expected ends of the runs on a worker by its id, as far as runEnds was asked for them.
	ends map[string][]runEnd
	// hasRuns is true once the workers' runs have been set by the first call of runsOn.
	hasRuns bool
	// searches counts the searches for victims.
	searches int
	// urgentDensity is the mean credit per core-second of the jobs of the urgent units that wait, before any loss of credit, and
	// urgentDuration the mean duration of these units at speed 1.
	urgentDensity  float64
	urgentDuration time.Duration
	// spent is the cost of the plan's preemptions by the job that they are for; see RunningUnit.cost.
	spent map[string]float64
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
	// collectedCores is the capacity of the workers that gangs collect, in cores.
	collectedCores float64
	// collections is the number of gangs for which the plan has looked for workers to collect.
	collections int
	// wholeCapacity is the capacity of the workers that are kept whole, zero if there are none.
	wholeCapacity Resources
	// unserved is what urgent units need that the plan has left waiting without a reservation, in cores.
	unserved float64
}

// rack is the workers of a service in one rack, sorted by decreasing speed.
type rack struct {
	name    string
	workers []*Worker
}

func newPlanState(snapshot *Snapshot) *planState {
	s := &planState{
		Snapshot: snapshot, workers: make(map[string]*Worker, len(snapshot.Workers)), pools: map[string]*pool{},
		spent: map[string]float64{}, runningJobs: map[string]bool{},
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
	s.prepareUnits()
	for i := range snapshot.Running {
		run := &snapshot.Running[i]
		run.victim, run.search = false, 0
		s.runningJobs[run.Task.Job] = true
		if s.endsSoon(run) {
			need := ResourcesOf(run.Step)
			for _, id := range run.Workers {
				if worker, known := s.workers[id]; known {
					worker.ending = worker.ending.Add(need)
				}
			}
		}
	}
	return s
}

// prepareUnits sets the needs of the waiting units and the means over the urgent ones.
func (s *planState) prepareUnits() {
	urgent, density, duration := 0, 0.0, time.Duration(0)
	for i := range s.Waiting {
		unit := &s.Waiting[i]
		unit.need = ResourcesOf(unit.Step)
		if unit.Priority == 0 {
			urgent++
			density += unit.Credit / max(unit.Work, minWork)
			duration += unit.expected()
		}
	}
	s.urgentDensity = max(density/float64(max(1, urgent)), minDensity)
	s.urgentDuration = duration / time.Duration(max(1, urgent))
}

// minDensity is the minimum of planState.urgentDensity.
const minDensity = 1e-9

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

// workerRun is a run on a worker, and the resources that all its members there use.
type workerRun struct {
	*RunningUnit
	uses Resources
}

// runsOn returns the runs on a worker, in the order of the cost of stopping them; a run with several members there appears once.
func (s *planState) runsOn(worker *Worker) []workerRun {
	if !s.hasRuns {
		s.hasRuns = true
		for i := range s.Running {
			run := &s.Running[i]
			run.cost = s.stopCost(run)
			need := ResourcesOf(run.Step)
			for _, id := range run.Workers {
				target, known := s.workers[id]
				if !known {
					continue
				}
				if last := len(target.runs) - 1; last >= 0 && target.runs[last].RunningUnit == run {
					target.runs[last].uses = target.runs[last].uses.Add(need)
					continue
				}
				target.runs = append(target.runs, workerRun{run, need})
			}
		}
		for _, target := range s.workers {
			slices.SortStableFunc(target.runs, func(a, b workerRun) int { return cmp.Compare(a.cost, b.cost) })
		}
	}
	return worker.runs
}

// runsByEnd returns the runs on a worker of which the end is known, in the order of their ends.
func (s *planState) runsByEnd(worker *Worker) []workerRun {
	if !worker.hasByEnd {
		worker.hasByEnd = true
		for _, run := range s.runsOn(worker) {
			if run.Remaining > 0 {
				worker.byEnd = append(worker.byEnd, run)
			}
		}
		slices.SortFunc(worker.byEnd, func(a, b workerRun) int { return cmp.Compare(a.Remaining, b.Remaining) })
	}
	return worker.byEnd
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

// freeSoon returns the resources that are unused once stopping runs, and those that end sooner than they could be stopped, have ended,
// minus reservations.
func freeSoon(worker *Worker) Resources {
	return freeAfterStops(worker).Add(worker.ending)
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
	s.Shares.AddUse(unit, len(workers))
	delete(s.plan.Reservations, unit.Task)
	s.runningJobs[unit.Task.Job] = true
	s.plan.Starts = append(s.plan.Starts, Start{Task: unit.Task, Workers: workers})
}

// reserve adds a reservation to the plan, so that a unit waits for resources that are being freed on the workers.
func (s *planState) reserve(unit *Unit, workers []string) {
	s.allocate(unit, workers, true)
	s.plan.Reservations[unit.Task] = workers
}
