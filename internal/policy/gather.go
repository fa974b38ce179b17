package policy

// freeWith returns the accelerators that are free on the worker if the gangs of the trial left.
func (w *workerState) freeWith(trial uint64) uint32 {
	if w.condition != Healthy {
		return 0
	}
	return (w.all&^w.used | w.extraIn(trial).mask) &^ (w.claimed | w.held)
}

// gather lets the candidates leave, one after the other, until the gang fits, and leaves its spots in s.trial.
// Its cost depends on the candidates alone. Nothing is changed.
func (s *Scheduler) gather(q *request, candidates []*run) (enough int, fits bool) {
	s.trialNumber++
	s.extraCells = [sizeClasses]int{}
	s.touched = s.touched[:0]
	for i, c := range candidates {
		for _, sp := range c.spots {
			s.addExtra(c, sp)
		}
		if s.fitsWith(q, c) {
			return i + 1, true
		}
	}
	return 0, false
}

// addExtra counts the member's accelerators, cores and memory as free.
func (s *Scheduler) addExtra(r *run, sp spot) {
	w, rack := sp.worker, sp.worker.rack
	if w.extraTrial != s.trialNumber {
		w.extraTrial = s.trialNumber
		w.extra = extra{}
		s.touched = append(s.touched, w)
	}
	if rack.extraTrial != s.trialNumber {
		rack.extraTrial = s.trialNumber
		rack.extraCells = [sizeClasses]int{}
	}
	before := w.freeWith(s.trialNumber)
	w.extra.mask |= sp.mask
	w.extra.cores += r.Cores
	w.extra.memory += r.MemoryMiB
	after := w.freeWith(s.trialNumber)
	for class := range cellSizes {
		gain := countCells(after, class) - countCells(before, class)
		rack.extraCells[class] += gain
		s.extraCells[class] += gain
	}
}

// fitsWith tries the places where the candidate's leaving makes a difference.
func (s *Scheduler) fitsWith(q *request, c *run) bool {
	if q.adjacency == SameDataCentre {
		return s.fitsDataCentreWith(q)
	}
	var last *rackState
	for _, sp := range c.spots {
		if q.adjacency == SameWorker {
			s.trial.reset()
			s.takeWith(q, sp.worker)
			if len(s.trial.spots) == q.members {
				return true
			}
			continue
		}
		if sp.worker.rack == last {
			continue
		}
		last = sp.worker.rack
		if s.fitsRackWith(q, last) {
			return true
		}
	}
	return false
}

func (s *Scheduler) fitsRackWith(q *request, rack *rackState) bool {
	if q.class >= 0 && rack.cells[q.class]+rack.extraCells[q.class] < q.members {
		return false
	}
	s.fill(q, s.rackIndex, rack.lo, rack.hi)
	for _, w := range rack.workers {
		if w.extraTrial == s.trialNumber {
			s.takeWith(q, w)
		}
	}
	return len(s.trial.spots) == q.members
}

func (s *Scheduler) fitsDataCentreWith(q *request) bool {
	if q.class >= 0 && int(s.speeds.tree[1].cells[q.class])+s.extraCells[q.class] < q.members {
		return false
	}
	s.fill(q, s.speeds, 0, len(s.workers))
	for _, w := range s.touched {
		s.takeWith(q, w)
	}
	return len(s.trial.spots) == q.members
}

// takeWith adds members on what is free on the worker with the trial's gangs gone.
func (s *Scheduler) takeWith(q *request, w *workerState) {
	if w.condition != Healthy {
		return
	}
	taken, members := s.trial.on(w)
	added := w.extraIn(s.trialNumber)
	s.trial.take(q, w, w.freeWith(s.trialNumber)&^taken,
		w.freeCores+added.cores-members*q.cores, w.freeMemory+added.memory-members*q.memory)
}
