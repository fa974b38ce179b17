package assign

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxLossShare limits the work lost by preemptions for a unit without a claim, or for a unit that only needs faster
	// workers, as a share of the unit's own work.
	maxLossShare = 0.25
	// minDensityRatio is the minimum ratio of the density of a unit without a claim to that of a run that it preempts. It
	// exceeds 1 because the preempted run then waits, and must not rank before the unit in the next plan.
	minDensityRatio = 1.5
)

// waitOrPreempt serves a unit that fits nowhere now, or only on workers that are too slow for its objective; found is its
// best placement now, or nil. It reserves resources that are being freed, or preempts runs and reserves what they free.
// It returns false if neither helps.
func (s *planState) waitOrPreempt(unit *Unit, found *placement) bool {
	minSpeed := requiredSpeed(unit, s.Now)
	if later := s.place(unit, freeAfterStops); later != nil &&
		(found == nil || (found.speed < minSpeed && later.speed >= minSpeed)) {
		s.reserve(unit, later.workers)
		return true
	}
	if s.NoPreemption || (!unit.Claimed && unit.Priority > 0) {
		return false
	}
	victims := s.chooseVictims(unit, minSpeed)
	if victims == nil && found == nil {
		victims = s.chooseVictims(unit, 0)
	}
	if victims == nil {
		return false
	}
	for _, victim := range victims {
		s.preempt(victim, unit)
	}
	if later := s.place(unit, freeAfterStops); later != nil {
		s.reserve(unit, later.workers)
	}
	return true
}

// preempt stops a run so that a unit can use its resources.
func (s *planState) preempt(victim *RunningUnit, unit *Unit) {
	s.victims[victim] = true
	need := ResourcesOf(victim.Step)
	for _, id := range victim.Workers {
		if worker, known := s.workers[id]; known {
			worker.Freeing = worker.Freeing.Add(need)
		}
	}
	s.plan.Preemptions = append(s.plan.Preemptions, Preemption{Task: victim.Task, For: unit.Task})
}

// chooseVictims returns the runs to preempt so that a unit fits on workers of at least the given speed; nil if there are
// none or too much work would be lost. The loss is limited, except for a unit with a claim that accepts any speed (0).
func (s *planState) chooseVictims(unit *Unit, speed float64) []*RunningUnit {
	limit := math.Inf(1)
	if !unit.Claimed || speed > 0 {
		limit = maxLossShare * unit.Work
	}
	racks := s.preferredRacks(unit)
	if racks == nil || speed == 0 {
		racks = append(racks[:len(racks):len(racks)], rack{workers: s.poolOf(unit).workers})
	}
	var best *victimSearch
	for _, rack := range racks {
		if rack.name == "" && best != nil {
			break
		}
		search := &victimSearch{planState: s, unit: unit, speed: speed, chosen: map[*RunningUnit]bool{}}
		if search.choose(rack.workers, limit) && (best == nil || search.loss < best.loss) {
			best = search
			limit = min(limit, best.loss)
		}
	}
	if best == nil {
		return nil
	}
	return best.chosenOrder
}

// isPreemptible reports whether a run may be preempted for a unit: never if the run has a claim, otherwise if the unit has one
// or has both a higher priority, that is, a lower number, and a sufficiently higher density.
func (s *planState) isPreemptible(run *RunningUnit, unit *Unit) bool {
	if run.Claimed || s.victims[run] {
		return false
	}
	if unit.Claimed {
		return true
	}
	return run.Priority > unit.Priority && unit.density > minDensityRatio*run.Density
}

// victimSearch chooses runs to preempt so that a unit fits on workers of at least the given speed.
type victimSearch struct {
	*planState
	unit  *Unit
	speed float64
	// chosen is the set of the runs to preempt, and chosenOrder the same runs in the order of their choice.
	chosen      map[*RunningUnit]bool
	chosenOrder []*RunningUnit
	// loss is the work that preempting them loses, in core-seconds.
	loss float64
}

// workerCost is a worker on which a member fits after preemptions, and the work lost by them in core-seconds.
type workerCost struct {
	worker *Worker
	cost   float64
}

// choose chooses runs until all members of the unit fit on the workers, and reports whether they do at a loss of at most limit.
// It uses the workers in the order of the loss for their first member. Preempting a gang frees resources on all its workers.
func (c *victimSearch) choose(workers []*Worker, limit float64) bool {
	members := c.unit.Members()
	for _, option := range c.workersByCost(workers) {
		if members <= 0 || c.loss > limit {
			break
		}
		runs, _, ok := c.runsToStop(option.worker)
		if !ok {
			continue
		}
		for _, run := range runs {
			c.chosen[run] = true
			c.loss += run.LostWork
		}
		c.chosenOrder = append(c.chosenOrder, runs...)
		members -= max(1, countFitting(c.unit, option.worker, c.freeAfterChosen(option.worker)))
	}
	return members <= 0 && c.loss <= limit
}

// workersByCost returns the workers on which a member fits after preemptions, by increasing cost.
func (c *victimSearch) workersByCost(workers []*Worker) []workerCost {
	var options []workerCost
	for _, worker := range workers {
		if worker.Speed < c.speed || !worker.Capacity.Contains(ResourcesOf(c.unit.Step)) || !c.allowed(c.unit, worker) {
			continue
		}
		if _, cost, ok := c.runsToStop(worker); ok {
			options = append(options, workerCost{worker, cost})
		}
	}
	slices.SortStableFunc(options, func(a, b workerCost) int { return cmp.Compare(a.cost, b.cost) })
	return options
}

// runsToStop returns the runs on a worker to preempt, beside those already chosen, so that one member fits, and the work
// lost by them in core-seconds. It returns false if no member fits even then.
func (c *victimSearch) runsToStop(worker *Worker) ([]*RunningUnit, float64, bool) {
	free := c.freeAfterChosen(worker)
	var runs []*RunningUnit
	cost := 0.0
	for _, run := range c.runsOn(worker) {
		if countFitting(c.unit, worker, free) > 0 {
			break
		}
		if c.chosen[run] || !c.isPreemptible(run, c.unit) {
			continue
		}
		runs = append(runs, run)
		cost += run.LostWork
		free = free.Add(run.resourcesOn(worker.ID))
	}
	return runs, cost, countFitting(c.unit, worker, free) > 0
}

// freeAfterChosen returns the free resources of a worker once the stopping and the chosen runs have ended.
func (c *victimSearch) freeAfterChosen(worker *Worker) Resources {
	free := freeAfterStops(worker)
	if len(c.chosen) == 0 {
		return free
	}
	for _, run := range c.runsOn(worker) {
		if c.chosen[run] {
			free = free.Add(run.resourcesOn(worker.ID))
		}
	}
	return free
}

// resourcesOn returns the resources that a run uses on a worker.
func (r *RunningUnit) resourcesOn(worker string) Resources {
	var used Resources
	for _, id := range r.Workers {
		if id == worker {
			used = used.Add(ResourcesOf(r.Step))
		}
	}
	return used
}
