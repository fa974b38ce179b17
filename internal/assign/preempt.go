package assign

import (
	"cmp"
	"math"
	"slices"
)

const (
	// cheapLoss is the lost work up to which a run gives way to any unit of a better priority, in shares of the
	// unit's own work.
	cheapLoss = 0.25
	// clearGain is how much denser a unit without a claim must be than a run that gives way to it: the run waits then,
	// and must not come first again.
	clearGain = 1.5
)

// hurry makes room for a unit that fits nowhere now, or only where it is too slow: it waits for room that is being
// freed, or lets runs give way. It is false if that doesn't help.
func (w *world) hurry(unit *Unit, found *option) bool {
	enough := neededSpeed(unit, w.Now)
	if soon := w.place(unit, soonOf); soon != nil && (found == nil || (found.speed < enough && soon.speed >= enough)) {
		w.reserve(unit, soon.workers)
		return true
	}
	if !unit.Claimed && unit.Priority > 0 {
		return false
	}
	victims := w.victimsFor(unit, enough)
	if victims == nil && found == nil {
		victims = w.victimsFor(unit, 0)
	}
	if victims == nil {
		return false
	}
	for _, victim := range victims {
		w.stop(victim, unit)
	}
	if soon := w.place(unit, soonOf); soon != nil {
		w.reserve(unit, soon.workers)
	}
	return true
}

// stop lets a run give way to a unit.
func (w *world) stop(victim *RunningUnit, unit *Unit) {
	w.victims[victim] = true
	room := ResourcesOf(victim.Step)
	for _, id := range victim.Workers {
		if worker, known := w.workers[id]; known {
			worker.Freeing = worker.Freeing.Add(room)
		}
	}
	w.plan.Preemptions = append(w.plan.Preemptions, Preemption{Task: victim.Task, For: unit.Task})
}

// victimsFor returns the runs that give way to a unit on workers of a speed at least; nil if that can't be, or isn't
// worth it. A claim is worth everything, but not only for a faster worker.
func (w *world) victimsFor(unit *Unit, speed float64) []*RunningUnit {
	limit := math.Inf(1)
	if !unit.Claimed || speed > 0 {
		limit = cheapLoss * unit.Work
	}
	racks := w.suitable(unit)
	if racks == nil || speed == 0 {
		racks = append(racks[:len(racks):len(racks)], rack{workers: w.poolOf(unit).workers})
	}
	var best *clearing
	for _, rack := range racks {
		if rack.name == "" && best != nil {
			break
		}
		tried := &clearing{world: w, unit: unit, speed: speed, chosen: map[*RunningUnit]bool{}}
		if tried.clear(rack.workers, limit) && (best == nil || tried.loss < best.loss) {
			best = tried
			limit = min(limit, best.loss)
		}
	}
	if best == nil {
		return nil
	}
	return best.order
}

// yields tells whether a run may give way to a unit.
func (w *world) yields(run *RunningUnit, unit *Unit) bool {
	if run.Claimed || w.victims[run] {
		return false
	}
	if unit.Claimed {
		return true
	}
	return run.Priority > unit.Priority && unit.density > clearGain*run.Density
}

// clearing chooses runs that make room for a unit on workers of a speed at least.
type clearing struct {
	*world
	unit  *Unit
	speed float64
	// chosen are the runs that give way, order the same in the order of the choice; loss is the work that is lost.
	chosen map[*RunningUnit]bool
	order  []*RunningUnit
	loss   float64
}

// site is a worker on which room for a member can be made, and what that costs.
type site struct {
	worker *Worker
	cost   float64
}

// clear makes room for all members on some of the workers. It takes those on which a member costs least, and counts a
// gang's room on all its workers once one of them was taken. It is false if that can't be, or costs more than a limit.
func (c *clearing) clear(workers []*Worker, limit float64) bool {
	members := c.unit.Members()
	for _, site := range c.sites(workers) {
		if members <= 0 || c.loss > limit {
			break
		}
		runs, _, ok := c.makeRoom(site.worker)
		if !ok {
			continue
		}
		for _, run := range runs {
			c.chosen[run] = true
			c.loss += run.LostWork
		}
		c.order = append(c.order, runs...)
		members -= max(1, fits(c.unit, site.worker, c.roomAfter(site.worker)))
	}
	return members <= 0 && c.loss <= limit
}

// sites returns the workers on which room for a member can be made, the cheapest first.
func (c *clearing) sites(workers []*Worker) []site {
	var sites []site
	for _, worker := range workers {
		if worker.Speed < c.speed || !worker.Capacity.Contains(ResourcesOf(c.unit.Step)) || !c.allowed(c.unit, worker) {
			continue
		}
		if _, cost, ok := c.makeRoom(worker); ok {
			sites = append(sites, site{worker, cost})
		}
	}
	slices.SortStableFunc(sites, func(a, b site) int { return cmp.Compare(a.cost, b.cost) })
	return sites
}

// makeRoom returns the runs on a worker that have to go for one member, beside those that are chosen, and their loss.
func (c *clearing) makeRoom(worker *Worker) ([]*RunningUnit, float64, bool) {
	room := c.roomAfter(worker)
	var out []*RunningUnit
	cost := 0.0
	for _, run := range c.runsOn(worker) {
		if fits(c.unit, worker, room) > 0 {
			break
		}
		if c.chosen[run] || !c.yields(run, c.unit) {
			continue
		}
		out = append(out, run)
		cost += run.LostWork
		room = room.Add(run.roomOn(worker.ID))
	}
	return out, cost, fits(c.unit, worker, room) > 0
}

// roomAfter is a worker's room once the chosen runs have stopped.
func (c *clearing) roomAfter(worker *Worker) Resources {
	room := soonOf(worker)
	if len(c.chosen) == 0 {
		return room
	}
	for _, run := range c.runsOn(worker) {
		if c.chosen[run] {
			room = room.Add(run.roomOn(worker.ID))
		}
	}
	return room
}

// roomOn is the room that a run takes on a worker.
func (r *RunningUnit) roomOn(worker string) Resources {
	var room Resources
	for _, id := range r.Workers {
		if id == worker {
			room = room.Add(ResourcesOf(r.Step))
		}
	}
	return room
}
