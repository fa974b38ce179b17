package assign

import (
	"cmp"
	"slices"
)

const (
	// keptShare bounds the share of a service's cores that are kept for urgent units: the others have to go on.
	keptShare = 1.0 / 3
	// idleShare is the share of free cores from which on nothing is kept: there is room for all.
	idleShare = 0.5
)

// keep marks the workers that are kept for urgent units: the fastest, near each other, with as many cores as such units
// need at most times. A unit whose objective leaves no slack is late by the time that a run takes to give way.
func (w *world) keep() {
	for service, pool := range w.pools {
		cores, free := pool.cores()
		left := min(w.UrgentCores[service], keptShare*cores)
		if free > idleShare*cores {
			continue
		}
		for _, worker := range pool.fastestFirst() {
			if left <= 0 {
				break
			}
			worker.kept = true
			left -= worker.Capacity.CoreEquivalent()
		}
		for i := range w.Waiting {
			if unit := &w.Waiting[i]; unit.Service == service && unit.Priority > 0 {
				unit.anywhere = !w.holdsWhole(unit)
			}
		}
	}
}

// cores is the capacity of the pool's usable workers, and what is free of it or is being freed.
func (p *pool) cores() (capacity, free float64) {
	for _, worker := range p.workers {
		if worker.Usable {
			capacity += worker.Capacity.CoreEquivalent()
			free += soonOf(worker).CoreEquivalent()
		}
	}
	return capacity, free
}

// fastestFirst returns the usable workers by groups of like speed, the fastest group first, each in the order of the racks.
func (p *pool) fastestFirst() []*Worker {
	var usable []*Worker
	for _, worker := range p.workers {
		if worker.Usable && !worker.OnTrial {
			usable = append(usable, worker)
		}
	}
	slices.SortFunc(usable, func(a, b *Worker) int { return cmp.Or(cmp.Compare(b.Speed, a.Speed), cmp.Compare(a.ID, b.ID)) })
	for first := 0; first < len(usable); {
		end := first
		for end < len(usable) && usable[first].Speed <= likeSpeed*usable[end].Speed {
			end++
		}
		slices.SortFunc(usable[first:end], func(a, b *Worker) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
		first = end
	}
	return usable
}
