package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCollectedShare limits the share of the cores of a service on which gangs collect workers, except for the first gang: on average
	// half of a worker is idle while its runs end one after the other.
	maxCollectedShare = 0.25
	// maxCollections limits the gangs of a service for which a plan looks for workers to collect: each search takes about as long as one
	// for runs to preempt.
	maxCollections = 6
	// maxCollectTime limits how long a gang collects workers: they would be idle for too long.
	maxCollectTime = 20 * time.Second
	// backfillMargin is the factor by which a unit that starts on a collected worker is assumed to exceed its expected duration. Tasks of
	// one step differ by some 15%.
	backfillMargin = 1.3
	// minBackfillSpeed keeps the expected duration on a very slow worker finite.
	minBackfillSpeed = 0.01
)

// collection is the workers that a gang collects.
type collection struct {
	unit *Unit
	// startsAt is when all of them are expected to have room for the gang.
	startsAt time.Time
}

// slot is room for another member of a gang on a worker after a time.
type slot struct {
	worker *Worker
	after  time.Duration
}

// resumeCollections lets the gangs that collected workers in earlier plans go on, in their order, before others may start there.
func (s *planState) resumeCollections(units []*Unit) {
	for _, unit := range units {
		if unit.Reserved != nil {
			s.collect(unit)
		}
	}
}

// collect reserves workers for a gang that fits nowhere in a shortage: those on which the runs will first have made room. Until then,
// units of lower priorities start there only if they are expected to end before. Without that, smaller units would take all that becomes
// free. Those of the same priority aren't held up: with that, fewer gangs ended in time.
func (s *planState) collect(unit *Unit) {
	if unit.Members() < 2 || unit.Exclusive || !s.knowsEnds() || !s.Shares.Short[unit.Service] || s.collects(unit) {
		return
	}
	pool := s.poolOf(unit)
	if pool.collections >= maxCollections {
		return
	}
	pool.collections++
	slots := s.earliestSlots(unit)
	if slots == nil {
		return
	}
	after := slots[len(slots)-1].after
	if after > maxCollectTime || creditShare(unit, s.Now.Add(after)) <= missedCreditShare {
		return
	}
	cores := pool.collectedCores
	workers := make([]string, 0, len(slots))
	for i, next := range slots {
		workers = append(workers, next.worker.ID)
		if !slices.ContainsFunc(slots[:i], func(earlier slot) bool { return earlier.worker == next.worker }) {
			cores += next.worker.Capacity.CoreEquivalent()
		}
	}
	if pool.collectedCores > 0 && cores > maxCollectedShare*pool.usableCores() {
		// Gangs that are served later don't pass this one.
		pool.collections = maxCollections
		return
	}
	pool.collectedCores = cores
	gathered := &collection{unit: unit, startsAt: s.Now.Add(after)}
	for _, next := range slots {
		next.worker.collected = gathered
	}
	s.plan.Reservations[unit.Task] = workers
}

// knowsEnds reports whether the snapshot has the expected ends of runs. Without them, there is nothing to collect workers by.
func (s *planState) knowsEnds() bool {
	return slices.ContainsFunc(s.Running, func(run RunningUnit) bool { return run.Remaining > 0 })
}

// collects reports whether the plan has a reservation for the unit already.
func (s *planState) collects(unit *Unit) bool {
	_, known := s.plan.Reservations[unit.Task]
	return known
}

// earliestSlots returns where all members of a gang first find room together, the earliest slot first; nil if that is not foreseeable.
func (s *planState) earliestSlots(unit *Unit) []slot {
	groups := [][]*Worker{s.poolOf(unit).workers}
	if racks := s.preferredRacks(unit); racks != nil && s.shouldWaitForRack(unit, racks) {
		groups = groups[:0]
		for _, rack := range racks {
			groups = append(groups, rack.workers)
		}
	}
	members := unit.Members()
	var best, onWorker []slot
	for _, workers := range groups {
		slots := make([]slot, 0, members+1)
		for _, worker := range workers {
			if !s.allowed(unit, worker) {
				continue
			}
			onWorker = s.appendSlots(onWorker[:0], worker, unit)
			for _, next := range onWorker {
				slots = insertSlot(slots, next, members)
			}
		}
		if len(slots) == members && (best == nil || slots[members-1].after < best[members-1].after) {
			best = slots
		}
	}
	return best
}

// insertSlot adds a slot to the earliest ones, of which it keeps at most limit in their order.
func insertSlot(slots []slot, next slot, limit int) []slot {
	compare := func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.worker.ID, b.worker.ID))
	}
	if len(slots) == limit && compare(next, slots[limit-1]) >= 0 {
		return slots
	}
	position, _ := slices.BinarySearchFunc(slots, next, compare)
	slots = slices.Insert(slots, position, next)
	return slots[:min(len(slots), limit)]
}

// runEnd is when a run is expected to make room on a worker.
type runEnd struct {
	after time.Duration
	freed Resources
}

// runEnds returns when the runs on a worker are expected to end, by time, and what else is used there by runs that aren't known yet.
// Runs that have no expected end aren't among them.
func (s *planState) runEnds(worker *Worker) ([]runEnd, Resources) {
	ends, known := s.ends[worker.ID]
	unknown := worker.Capacity.Sub(worker.Free).Sub(worker.Freeing)
	for _, run := range s.runsOn(worker) {
		freed := run.uses
		unknown = unknown.Sub(freed)
		if !known && run.Remaining > 0 && !run.Step.GetLongRunning() && !run.victim {
			ends = append(ends, runEnd{run.Remaining, freed})
		}
	}
	if !known {
		slices.SortStableFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.after, b.after) })
		if s.ends == nil {
			s.ends = make(map[string][]runEnd, len(s.workers))
		}
		s.ends[worker.ID] = ends
	}
	return ends, unknown.nonNegative()
}

// appendSlots appends when a worker will have room for one, two and more members of a gang as its runs end. Runs that have just started,
// and aren't known yet, are assumed to last as long as the gang.
func (s *planState) appendSlots(slots []slot, worker *Worker, unit *Unit) []slot {
	if !worker.Capacity.Contains(ResourcesOf(unit.Step)) {
		return slots
	}
	first := len(slots)
	add := func(free Resources, after time.Duration) {
		for count := countFitting(unit, worker, free.nonNegative()); len(slots)-first < count; {
			slots = append(slots, slot{worker, after})
		}
	}
	free := freeAfterStops(worker)
	add(free, 0)
	ends, unknown := s.runEnds(worker)
	after := time.Duration(0)
	for _, end := range ends {
		free, after = free.Add(end.freed), end.after
		add(free, after)
	}
	if unknown != (Resources{}) {
		add(free.Add(unknown), max(after, time.Duration(backfillMargin*float64(unit.expected()))))
	}
	return slots
}

// mayBackfill reports whether a unit may start on a worker that a gang collects: units of lower priorities without a claim only if they are
// expected to end before the gang can start.
func (s *planState) mayBackfill(unit *Unit, worker *Worker) bool {
	gathered := worker.collected
	if gathered == nil || gathered.unit == unit || unit.Claimed || unit.Priority <= gathered.unit.Priority {
		return true
	}
	expected := backfillMargin * float64(unit.expected()) / max(worker.Speed, minBackfillSpeed)
	return !unit.Step.GetLongRunning() && !s.Now.Add(time.Duration(expected)).After(gathered.startsAt)
}
