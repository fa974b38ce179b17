package assign

import (
	"cmp"
	"math"
	"slices"
)

// victimSearch chooses runs to preempt so that all members of a unit fit on workers of at least a given speed.
type victimSearch struct {
	*planState
	unit *Unit
	kind victimKind
	// view returns what is available without victims, and options has the workers on which a member may fit.
	view    resourceView
	options []victimOption
	// number identifies the search in RunningUnit.search. order has the chosen runs in the order of their choice.
	number int
	order  []*RunningUnit
	// cost is the sum of RunningUnit.cost over them, and slowest the speed of the slowest worker that the unit needs.
	cost, slowest float64
	// shared is true if the cost of a run counts only in part on each of the workers that it frees.
	shared bool
	buffer []workerRun
}

// victimOption is a worker on which members of the unit fit, now or after preemptions.
type victimOption struct {
	worker *Worker
	// members is the number of members that fit without further preemptions.
	members int
	// cost is that of the preemptions after which at least one more member fits, infinite if none does; more is how many do.
	cost float64
	more int
}

// costOfMember returns the cost for each of the missing members that then fits.
func (o *victimOption) costOfMember(missing int) float64 {
	return o.cost / float64(min(o.more, missing))
}

// search returns the choice of runs with the least cost found so that a unit fits on one of the places, nil if that costs more than
// limit.
func (s *planState) search(unit *Unit, places []rack, speed, limit float64, kind victimKind) *victimSearch {
	var best *victimSearch
	for _, place := range places {
		base := s.newSearch(unit, place.workers, speed, kind)
		if base == nil {
			continue
		}
		for _, shared := range []bool{false, true} {
			attempt := base
			if shared {
				if !base.hasGangs() {
					break
				}
				attempt = s.newSearch(unit, place.workers, speed, kind)
				attempt.shared = true
			}
			if attempt.choose(limit) && (best == nil || attempt.cost < best.cost) {
				best, limit = attempt, attempt.cost
			}
		}
	}
	return best
}

// newSearch returns a search on workers, nil if their capacity doesn't suffice.
func (s *planState) newSearch(unit *Unit, workers []*Worker, speed float64, kind victimKind) *victimSearch {
	s.searches++
	c := &victimSearch{planState: s, unit: unit, kind: kind, number: s.searches, view: freeSoon}
	if unit.Claimed {
		c.view = freeAfterStops
	}
	need, capacity := unit.need, 0
	for _, worker := range workers {
		if worker.Speed < speed || !worker.Capacity.Contains(need) || !s.allowed(unit, worker) {
			continue
		}
		c.options = append(c.options, victimOption{worker: worker})
		capacity += countFitting(unit, worker, worker.Capacity)
	}
	if capacity < unit.Members() {
		return nil
	}
	return c
}

// hasGangs reports whether a run that may be preempted has several members.
func (c *victimSearch) hasGangs() bool {
	for _, option := range c.options {
		for _, run := range c.runsOn(option.worker) {
			if len(run.Workers) > 1 && c.isPreemptible(run.RunningUnit, c.unit, c.kind) {
				return true
			}
		}
	}
	return false
}

// choose chooses runs until all members of the unit fit, and reports whether they do at a cost of at most limit. It uses the workers
// in the order of the cost for each member.
func (c *victimSearch) choose(limit float64) bool {
	total := 0
	for i := range c.options {
		c.update(&c.options[i])
		total += c.options[i].members
	}
	for needed := c.unit.Members(); total < needed; {
		best := -1
		for i := range c.options {
			if option := &c.options[i]; !math.IsInf(option.cost, 1) &&
				(best < 0 || option.costOfMember(needed-total) < c.options[best].costOfMember(needed-total)) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		runs, _ := c.runsToStop(c.options[best].worker)
		for _, run := range runs {
			run.search = c.number
			c.order = append(c.order, run.RunningUnit)
			c.cost += run.cost
		}
		if c.cost > maxOvershoot*limit {
			return false
		}
		total = c.updateAround(&c.options[best], total)
	}
	c.dropUnneeded(total)
	c.slowest = c.slowestNeeded()
	return c.cost <= limit
}

// maxOvershoot limits the cost of the runs chosen, relative to the limit, before the ones that aren't needed are dropped.
const maxOvershoot = 2.0

// updateAround updates the options on the workers of the runs chosen last for an option, and returns the new total of members.
func (c *victimSearch) updateAround(chosen *victimOption, total int) int {
	total -= chosen.members
	gangs := c.update(chosen)
	total += chosen.members
	if !gangs {
		return total
	}
	for i := range c.options {
		if option := &c.options[i]; option != chosen {
			total -= option.members
			c.update(option)
			total += option.members
		}
	}
	return total
}

// update computes an option, and reports whether a chosen run on its worker has several members.
func (c *victimSearch) update(option *victimOption) (gangs bool) {
	free, preemptible := c.view(option.worker), false
	for _, run := range c.runsOn(option.worker) {
		switch {
		case run.search == c.number:
			free = free.Add(run.uses)
			gangs = gangs || len(run.Workers) > 1
		case !preemptible:
			preemptible = c.isPreemptible(run.RunningUnit, c.unit, c.kind)
		}
	}
	option.members, option.cost, option.more = countFitting(c.unit, option.worker, free), math.Inf(1), 0
	if !preemptible {
		return gangs
	}
	if runs, after := c.runsToStop(option.worker); after > option.members {
		cost := 0.0
		for _, run := range runs {
			cost += c.costOf(run.RunningUnit)
		}
		option.cost, option.more = cost, after-option.members
	}
	return gangs
}

// costOf returns the cost that an option counts for a run.
func (c *victimSearch) costOf(run *RunningUnit) float64 {
	if c.shared {
		return run.cost / float64(min(len(run.Workers), c.unit.Members()))
	}
	return run.cost
}

// runsToStop returns the runs on a worker to preempt, beside those already chosen, so that one more member fits, and how many then
// fit. The result is valid until the next call.
func (c *victimSearch) runsToStop(worker *Worker) ([]workerRun, int) {
	free := c.freeAfterChosen(worker)
	before := countFitting(c.unit, worker, free)
	need := c.unit.need
	target := free // what must become free besides
	runs := c.buffer[:0]
	defer func() { c.buffer = runs[:0] }()
	single := -1
	onWorker := c.runsOn(worker)
	count := before
	for i, run := range onWorker {
		if run.search == c.number || !c.isPreemptible(run.RunningUnit, c.unit, c.kind) {
			continue
		}
		if single < 0 && countFitting(c.unit, worker, free.Add(run.uses)) > before {
			single = i
		}
		if count > before {
			break
		}
		runs = append(runs, run)
		target = target.Add(run.uses)
		if target.Contains(need) {
			count = countFitting(c.unit, worker, target)
		}
	}
	if count <= before {
		return nil, before
	}
	loss := 0.0
	for i := len(runs) - 1; i >= 0; i-- { // drop those that the later ones make superfluous, the dearest first
		if without := target.Sub(runs[i].uses); countFitting(c.unit, worker, without) > before {
			target = without
			runs = slices.Delete(runs, i, i+1)
			continue
		}
		loss += runs[i].cost
	}
	if single >= 0 && onWorker[single].cost < loss {
		runs = append(runs[:0], onWorker[single])
		target = free.Add(onWorker[single].uses)
	}
	return runs, countFitting(c.unit, worker, target)
}

// freeAfterChosen returns the resources of a worker that are available once the chosen runs have ended.
func (c *victimSearch) freeAfterChosen(worker *Worker) Resources {
	free := c.view(worker)
	if len(c.order) == 0 {
		return free
	}
	for _, run := range c.runsOn(worker) {
		if run.search == c.number {
			free = free.Add(run.uses)
		}
	}
	return free
}

// dropUnneeded drops chosen runs without which the unit still fits, those that cost the most first; total is the number of members that
// fit with all of them.
func (c *victimSearch) dropUnneeded(total int) {
	byCost := slices.Clone(c.order)
	slices.SortStableFunc(byCost, func(a, b *RunningUnit) int { return cmp.Compare(b.cost, a.cost) })
	for _, run := range byCost {
		run.search = 0
		fits := total
		for i := range c.options {
			if option := &c.options[i]; slices.Contains(run.Workers, option.worker.ID) {
				fits += countFitting(c.unit, option.worker, c.freeAfterChosen(option.worker)) - option.members
			}
		}
		if fits < c.unit.Members() {
			run.search = c.number
			continue
		}
		total = fits
		c.cost -= run.cost
		c.order = slices.DeleteFunc(c.order, func(other *RunningUnit) bool { return other == run })
		for i := range c.options {
			if option := &c.options[i]; slices.Contains(run.Workers, option.worker.ID) {
				option.members = countFitting(c.unit, option.worker, c.freeAfterChosen(option.worker))
			}
		}
	}
}

// slowestNeeded returns the speed of the slowest worker if the unit uses the fastest of those on which members fit.
func (c *victimSearch) slowestNeeded() float64 {
	slices.SortStableFunc(c.options, func(a, b victimOption) int { return cmp.Compare(b.worker.Speed, a.worker.Speed) })
	needed := c.unit.Members()
	for _, option := range c.options {
		if needed -= option.members; needed <= 0 {
			return option.worker.Speed
		}
	}
	return minSpeed
}
