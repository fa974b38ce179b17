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

// markUrgentOnly marks the workers that are kept for urgent units: the fastest ones, rack by rack, up to the cores that these
// units need most of the time. Without them, a unit whose objective leaves no slack would miss it while it waits for a
// preemption.
func (s *planState) markUrgentOnly() {
	for service, pool := range s.pools {
		if pool.idle {
			continue
		}
		remaining := min(s.UrgentCores[service], maxUrgentShare*pool.usableCores())
		for _, worker := range pool.fastestFirst() {
			if remaining <= 0 {
				break
			}
			worker.urgentOnly = true
			remaining -= worker.Capacity.CoreEquivalent()
		}
		for i := range s.Waiting {
			if unit := &s.Waiting[i]; unit.Service == service && unit.Priority > 0 {
				unit.needsUrgentOnly = !s.fitsWhenEmpty(unit)
			}
		}
	}
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

// fastestFirst returns the usable workers that are not on trial, in groups of similar speed. The fastest group comes first,
// and the workers of a group are sorted by rack.
func (p *pool) fastestFirst() []*Worker {
	var usable []*Worker
	for _, worker := range p.workers {
		if worker.Usable && !worker.OnTrial {
			usable = append(usable, worker)
		}
	}
	slices.SortFunc(usable, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(speedClass(b.Speed), speedClass(a.Speed)), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return usable
}
