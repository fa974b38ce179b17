package policy

import "slices"

// plan is a trial placement of one gang. Its buffers are used again.
type plan struct {
	spots []spot
	// broken is the accelerators of larger free cells that the plan breaks.
	broken int
	// slowest is the speed of the slowest worker, permille; 0 for an empty plan.
	slowest int
}

func (p *plan) reset() {
	p.spots = p.spots[:0]
	p.broken = 0
	p.slowest = 0
}

func (p *plan) add(w *workerState, mask uint32) {
	p.spots = append(p.spots, spot{worker: w, mask: mask})
	speed := max(w.SpeedPermille, 1)
	if p.slowest == 0 || speed < p.slowest {
		p.slowest = speed
	}
}

// on returns the accelerators and the number of members that the plan has on the worker.
func (p *plan) on(w *workerState) (mask uint32, members int) {
	for i := range p.spots {
		if p.spots[i].worker == w {
			mask |= p.spots[i].mask
			members++
		}
	}
	return mask, members
}

func (p *plan) copyTo(other *plan) {
	other.spots = append(other.spots[:0], p.spots...)
	other.broken = p.broken
	other.slowest = p.slowest
}

// price is what the weights make of the plan; less is better.
func (s *Scheduler) price(p *plan) int64 {
	const million = 1_000_000
	slowness := int64(million / max(p.slowest, 1))
	return s.config.Weights.Speed*slowness + s.config.Weights.Fragmentation*int64(p.broken)
}

// take adds members on the worker's accelerators of the mask, as many as cores and memory allow.
func (p *plan) take(q *request, w *workerState, mask uint32, cores, memory int) {
	if len(q.avoid) > 0 && slices.Contains(q.avoid, w.Name) {
		return
	}
	for range q.members - len(p.spots) {
		if cores < q.cores || memory < q.memory {
			return
		}
		var cell uint32
		if q.class >= 0 {
			if cell = takeCell(mask, q.class); cell == 0 {
				return
			}
			p.broken += brokenBy(mask, cell)
		}
		mask &^= cell
		cores -= q.cores
		memory -= q.memory
		p.add(w, cell)
	}
}

// fits returns how many members fit on accelerators of the mask with the cores and memory.
func (q *request) fits(mask uint32, cores, memory int) int {
	count := q.members
	if q.class >= 0 {
		count = min(count, countCells(mask, q.class))
	}
	if q.cores > 0 {
		count = min(count, max(cores, 0)/q.cores)
	}
	if q.memory > 0 {
		count = min(count, max(memory, 0)/q.memory)
	}
	return count
}

// memberList returns the spots as the caller knows them.
func memberList(spots []spot) []Member {
	list := make([]Member, len(spots))
	for i, sp := range spots {
		list[i] = Member{Worker: sp.worker.Name, Mask: sp.mask}
	}
	return list
}
