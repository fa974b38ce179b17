package assign

import (
	"cmp"
	"slices"
)

const (
	// maxUrgentShare limits the share of the cores of a service that is kept for urgent units, so that others make progress.
	maxUrgentShare = 1.0 / 3
	// idlePoolShare is the share of free cores above which a pool is idle, and no workers are kept: all units find resources then.
	idlePoolShare = 0.5
)

// markUrgentOnly marks the workers that are kept for urgent units: first those for units that need whole workers, then others up to the
// cores that the rest needs most of the time; the fastest ones, rack by rack. Without them, a unit whose objective leaves no slack would miss
// it while it waits for a preemption.
func (s *planState) markUrgentOnly() {
	for service, pool := range s.pools {
		budget := maxUrgentShare * pool.usableCores()
		if !pool.isMostlyUntouched() {
			budget = s.keepWhole(pool, s.UrgentWhole[service], budget)
		}
		if !pool.idle {
			s.keepCores(pool, min(s.UrgentCores[service], budget))
		}
		if !slices.ContainsFunc(pool.workers, func(worker *Worker) bool { return worker.urgentOnly }) {
			continue
		}
		for i := range s.Waiting {
			if unit := &s.Waiting[i]; unit.Service == service && unit.Priority > 0 {
				unit.needsUrgentOnly = s.fitsOnlyWithKept(unit)
			}
		}
	}
}

// keepWhole marks the workers that are kept for units that need whole workers, and returns the cores of the budget that are left. If units
// need several workers in one rack, they are kept in as few racks as possible, those whose workers are fastest.
func (s *planState) keepWhole(pool *pool, demand WholeDemand, budget float64) float64 {
	if demand.Workers <= 0 {
		return budget
	}
	for _, group := range pool.wholeGroups(demand.RackWidth) {
		for _, worker := range group {
			cores := worker.Capacity.CoreEquivalent()
			if demand.Workers <= 0 || cores > budget {
				return budget
			}
			worker.urgentOnly, worker.keptWhole, s.plan.Kept[worker.ID] = true, true, true
			if worker.Capacity.Contains(pool.wholeCapacity) {
				pool.wholeCapacity = worker.Capacity
			}
			demand.Workers--
			budget -= cores
		}
	}
	return budget
}

// wholeGroups returns the workers that may be kept whole in the order in which they are kept: the fastest of each rack that has at least
// rackWidth of them, then all others.
func (p *pool) wholeGroups(rackWidth int) [][]*Worker {
	rest := p.fastestFirst()
	if rackWidth <= 1 {
		return [][]*Worker{rest}
	}
	byRack := map[string][]*Worker{}
	for _, worker := range rest {
		byRack[worker.Rack] = append(byRack[worker.Rack], worker)
	}
	var groups [][]*Worker
	chosen := map[*Worker]bool{}
	for _, workers := range byRack {
		if len(workers) >= rackWidth {
			groups = append(groups, workers[:rackWidth])
			for _, worker := range workers[:rackWidth] {
				chosen[worker] = true
			}
		}
	}
	slices.SortFunc(groups, func(a, b []*Worker) int {
		return cmp.Or(compareKept(a[rackWidth-1], b[rackWidth-1]), cmp.Compare(a[0].Rack, b[0].Rack))
	})
	return append(groups, slices.DeleteFunc(rest, func(worker *Worker) bool { return chosen[worker] }))
}

// keepCores marks further workers up to the given cores.
func (s *planState) keepCores(pool *pool, cores float64) {
	if cores <= 0 {
		return
	}
	for _, worker := range pool.fastestFirst() {
		if cores <= 0 {
			return
		}
		if !worker.urgentOnly {
			worker.urgentOnly, s.plan.Kept[worker.ID] = true, false
			cores -= worker.Capacity.CoreEquivalent()
		}
	}
}

// fitsOnlyWithKept reports whether a unit fits only with workers that are kept for urgent units, or runs at full speed only there.
func (s *planState) fitsOnlyWithKept(unit *Unit) bool {
	unit.needsUrgentOnly = false
	if !s.fitsWhenEmpty(unit) {
		return true
	}
	racks := s.preferredRacks(unit)
	if racks == nil || s.rackHolds(unit, racks) {
		return false
	}
	unit.needsUrgentOnly = true
	return s.rackHolds(unit, racks)
}

// keepsWholeFrom reports whether the pool keeps workers whole that a unit should spare, because several of its tasks fit on one.
func (p *pool) keepsWholeFrom(unit *Unit) bool {
	return p.wholeCapacity != (Resources{}) && !NeedsWholeWorker(ResourcesOf(unit.Step), p.wholeCapacity)
}

// NeedsWholeWorker reports whether no two tasks with the given need fit on a worker of the given capacity.
func NeedsWholeWorker(need, capacity Resources) bool { return !capacity.Contains(need.Add(need)) }

// isMostlyUntouched reports whether more than idlePoolShare of the pool's usable workers run nothing; then none need to be kept whole.
func (p *pool) isMostlyUntouched() bool {
	usable, untouched := 0, 0
	for _, worker := range p.workers {
		if worker.Usable {
			usable++
			if worker.Free == worker.Capacity {
				untouched++
			}
		}
	}
	return float64(untouched) > idlePoolShare*float64(usable)
}

// usableCores returns the capacity of the pool's usable workers in cores, with accelerators as in CoreEquivalent.
func (p *pool) usableCores() float64 {
	cores := 0.0
	for _, worker := range p.workers {
		if worker.Usable {
			cores += worker.Capacity.CoreEquivalent()
		}
	}
	return cores
}

// isIdle reports whether more than idlePoolShare of the pool is free or being freed, leaving out workers that are gone. Those that take no
// new tasks now count too: they may be idle because of what has failed there.
func (p *pool) isIdle() bool {
	capacity, free := 0.0, 0.0
	for _, worker := range p.workers {
		if worker.Gone {
			continue
		}
		capacity += worker.Capacity.CoreEquivalent()
		free += freeAfterStops(worker).CoreEquivalent()
	}
	return free > idlePoolShare*capacity
}

// fastestFirst returns the usable workers that are not on trial in the order in which they are kept.
func (p *pool) fastestFirst() []*Worker {
	var usable []*Worker
	for _, worker := range p.workers {
		if worker.Usable && !worker.OnTrial {
			usable = append(usable, worker)
		}
	}
	slices.SortFunc(usable, func(a, b *Worker) int {
		return cmp.Or(compareKept(a, b), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return usable
}

// compareKept compares two workers by the order in which they are kept: the faster first, and of similar ones that which the previous plan
// has kept, so that small changes of learned speeds don't change the choice.
func compareKept(a, b *Worker) int {
	kept := 0
	if a.Kept != b.Kept {
		if kept = 1; a.Kept {
			kept = -1
		}
	}
	return cmp.Or(cmp.Compare(b.speedClass, a.speedClass), kept)
}
