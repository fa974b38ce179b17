package policy

import "slices"

// Bounds of a search, so that its cost does not depend on the number of workers.
const (
	// rackTries is how many racks are weighed for one gang, of the tightest and of the fastest each.
	rackTries = 4
	// leafTries bounds the workers that are looked at but can't be used.
	leafTries = 256
)

// place finds free accelerators for the gang and leaves the cheapest plan in s.best.
func (s *Scheduler) place(q *request) bool {
	s.best.reset()
	s.bestPrice = 0
	switch q.adjacency {
	case SameWorker:
		s.placeInWorker(q)
	case SameRack:
		s.placeInRack(q)
	default:
		s.placeInDataCentre(q)
	}
	return len(s.best.spots) > 0
}

// weigh keeps the trial when it is complete and cheaper than the best.
func (s *Scheduler) weigh(q *request) bool {
	if len(s.trial.spots) < q.members {
		return false
	}
	if price := s.price(&s.trial); len(s.best.spots) == 0 || price < s.bestPrice {
		s.trial.copyTo(&s.best)
		s.bestPrice = price
	}
	return true
}

// placeInWorker weighs the fastest worker of each group that takes the whole gang.
func (s *Scheduler) placeInWorker(q *request) {
	for group := q.class + 1; group < groups; group++ {
		n := need{group: group, class: q.class, cells: q.members, cores: q.cores * q.members, memory: q.memory * q.members}
		from := 0
		for range leafTries {
			leaf := s.speeds.next(from, len(s.workers), n)
			if leaf < 0 {
				break
			}
			from = leaf + 1
			w := s.speeds.leaves[leaf]
			s.trial.reset()
			s.trial.take(q, w, w.available(), w.freeCores, w.freeMemory)
			if s.weigh(q) {
				break
			}
		}
	}
}

// placeInDataCentre weighs the fastest workers that have just enough free cells, some more, and all.
func (s *Scheduler) placeInDataCentre(q *request) {
	last := -1
	for _, cells := range [...]int{q.members, 2 * q.members, 4 * q.members} {
		if hi := s.speeds.prefix(q.class, cells); hi != last {
			s.fill(q, s.speeds, 0, hi)
			s.weigh(q)
			last = hi
		}
	}
	if last != len(s.workers) {
		s.fill(q, s.speeds, 0, len(s.workers))
		s.weigh(q)
	}
}

// fill takes cells of the leaves in [lo, hi) for the trial, the smallest free cells first.
func (s *Scheduler) fill(q *request, x *index, lo, hi int) {
	s.trial.reset()
	skipped := 0
	n := need{class: q.class, cells: 1, cores: q.cores, memory: q.memory}
	for n.group = q.class + 1; n.group < groups; n.group++ {
		for leaf := x.next(lo, hi, n); leaf >= 0 && skipped < leafTries; leaf = x.next(leaf+1, hi, n) {
			w := x.leaves[leaf]
			before := len(s.trial.spots)
			s.takeHoles(q, w, n.group-1)
			if len(s.trial.spots) == q.members {
				return
			}
			if len(s.trial.spots) == before {
				skipped++
			}
		}
	}
}

// takeHoles adds members on the worker's holes of up to the class, beside those that the trial has there already.
func (s *Scheduler) takeHoles(q *request, w *workerState, largest int) {
	free := w.available()
	var mask uint32
	for class := max(q.class, 0); class <= largest; class++ {
		mask |= holes(free, class)
	}
	taken, members := s.trial.on(w)
	s.trial.take(q, w, mask&^taken, w.freeCores-members*q.cores, w.freeMemory-members*q.memory)
}

// placeInRack weighs the racks with the fewest free cells that are enough, and the racks of the fastest workers.
func (s *Scheduler) placeInRack(q *request) {
	var tried [2 * rackTries]*rackState
	count := 0
	try := func(rack *rackState) bool {
		if !slices.Contains(tried[:count], rack) {
			tried[count] = rack
			count++
			s.fill(q, s.rackIndex, rack.lo, rack.hi)
			s.weigh(q)
		}
		return count < len(tried)
	}
	if q.class >= 0 {
		s.tightestRacks(q, rackTries, try)
	}
	n := need{class: q.class, cells: 1, cores: q.cores, memory: q.memory}
	for n.group = groups - 1; n.group > q.class; n.group-- {
		from := 0
		for range rackTries {
			leaf := s.speeds.next(from, len(s.workers), n)
			if leaf < 0 {
				break
			}
			from = leaf + 1
			rack := s.speeds.leaves[leaf].rack
			if q.class >= 0 && rack.cells[q.class] < q.members {
				continue
			}
			if !try(rack) {
				return
			}
		}
	}
}

// tightestRacks calls try for the racks with enough free cells, the fewest first.
func (s *Scheduler) tightestRacks(q *request, limit int, try func(*rackState) bool) {
	left := limit
	s.racksByCells[q.class].AscendGreaterOrEqual(rackKey{cells: q.members, at: -1}, func(key rackKey) bool {
		left--
		return try(key.rack) && left > 0
	})
}

// rackKey orders racks by their free cells of one class.
type rackKey struct {
	cells int
	at    int
	rack  *rackState
}

func lessRack(a, b rackKey) bool {
	if a.cells != b.cells {
		return a.cells < b.cells
	}
	return a.at < b.at
}
