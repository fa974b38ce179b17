package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// maxRackWaitShare is how long a unit waits for a preferred rack, as a multiple of its expected duration.
	maxRackWaitShare = 1.0
	// estimateMargin is the factor by which a unit is assumed to exceed its declared estimate: declared estimates are often wrong by
	// half, and a gang ends with its slowest member.
	estimateMargin = 2.0
	// runOverhead is the time allowed for what happens before and after a run.
	runOverhead = 250 * time.Millisecond
)

// MakePlan returns the plan for a snapshot. It modifies the snapshot: resources and Usable of the workers, TasksPerWorker and
// Avoid of the waiting units, and private fields.
func MakePlan(snapshot *Snapshot) Plan {
	s := newPlanState(snapshot)
	s.relaxAvoid()
	s.markUrgentOnly()
	s.serve(s.resumeReserved(preemptedFirst(rank(snapshot), snapshot.Now)))
	s.explain()
	return s.plan
}

// startsAgainFirst reports whether a unit is urgent, was preempted, and its job still earns credit.
func startsAgainFirst(unit *Unit, now time.Time) bool {
	return unit.Priority == 0 && unit.Preemptions > 0 && now.Before(unit.LateUntil)
}

// preemptedFirst returns the ranked units with urgent ones that were preempted before all others without a claim, as long as their job
// earns credit: they lose the time that they ran, and would rank last once they can't meet their objective any more.
func preemptedFirst(ranked []*Unit, now time.Time) []*Unit {
	class := func(unit *Unit) int {
		switch {
		case unit.Claimed:
			return 0
		case startsAgainFirst(unit, now):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(ranked, func(a, b *Unit) int { return cmp.Compare(class(a), class(b)) })
	for i, unit := range ranked {
		unit.ahead = i
	}
	return ranked
}

// serve decides on the units in their order.
func (s *planState) serve(units []*Unit) {
	// Units of a step need the same and are ranked by waiting time, so if one can't be placed, the next can't either, unless they differ
	// in the workers that they avoid or in LastAttempt.
	type group struct {
		step        replica.Task
		lastAttempt bool
	}
	blocked := map[group]bool{}
	s.resumeCollections(units)
	for _, unit := range units {
		key := group{replica.Task{Job: unit.Task.Job, Occurrence: unit.Task.Occurrence, Step: unit.Task.Step}, unit.LastAttempt}
		if blocked[key] {
			if unit.Priority == 0 {
				s.addUnserved(unit)
			}
			continue
		}
		found := s.place(unit, freeNow)
		switch {
		case unit.Exclusive && found != nil:
			s.start(unit, found.workers)
		case unit.Exclusive:
			blocked[key] = true
		case (found == nil || found.away || s.shouldWaitForSpeed(unit, found)) && s.waitOrPreempt(unit, found):
			// An urgent unit's reservation says nothing about the next one of its step: that may also preempt, before others start on
			// what it would have.
			blocked[key] = unit.Priority > 0 || s.plan.Reservations[unit.Task] == nil
		case found != nil:
			s.start(unit, found.workers)
		default:
			s.collect(unit)
			blocked[key] = len(unit.Avoid) == 0
		}
	}
}

// shouldWaitForSpeed reports whether a placement is too slow for the objective of a unit that hasn't waited for long enough.
func (s *planState) shouldWaitForSpeed(unit *Unit, found *placement) bool {
	return found.speed < requiredSpeed(unit, s.Now) && !s.hasWaitedLong(unit)
}

// placement is a choice of workers for a unit.
type placement struct {
	// workers has one entry for each member.
	workers []string
	// speed is that of the slowest worker.
	speed float64
	// away is true if the unit is urgent and takes awayFactor as long on these workers as on a preferred rack. Others only get such
	// workers once they have waited for long enough.
	away bool
	// freeAccelerators is the number of free accelerators on the workers, including those that the unit takes; fewer mean a
	// tighter fit.
	freeAccelerators int
}

// effectiveSpeed returns the speed at which a unit runs there.
func (p *placement) effectiveSpeed() float64 {
	if p.away {
		return p.speed / awayFactor
	}
	return p.speed
}

// isBetterThan reports whether p is better than other for a unit that requires minSpeed. Placements of at least that speed
// are better than slower ones, and among them the tighter fit is better. Of two slower ones the faster is better, or the
// tighter fit if their speeds are similar.
func (p *placement) isBetterThan(other *placement, minSpeed float64) bool {
	if other == nil || p == nil {
		return p != nil
	}
	if fast := p.speed >= minSpeed; fast != (other.speed >= minSpeed) {
		return fast
	} else if !fast && (p.speed > similarSpeedRatio*other.speed || other.speed > similarSpeedRatio*p.speed) {
		return p.speed > other.speed
	}
	return p.freeAccelerators < other.freeAccelerators
}

// place returns the best placement of a unit within the resources of view, or nil. A unit whose tasks need part of a worker gets
// workers that are kept whole only if no others hold it. A unit that has waited for long enough gets workers that it would avoid if no
// others hold it.
func (s *planState) place(unit *Unit, view resourceView) *placement {
	unit.anyWorker, unit.sparesWhole = false, s.poolOf(unit).keepsWholeFrom(unit)
	found := s.placeNearData(unit, view)
	if found == nil && unit.sparesWhole {
		unit.sparesWhole = false
		found = s.placeNearData(unit, view)
	}
	unit.sparesWhole = false
	if found == nil && s.mayUseAnyWorker(unit) {
		unit.anyWorker = true
		found = s.placeNearData(unit, view)
		unit.anyWorker = found != nil
	}
	return found
}

// placeNearData places a unit on a preferred rack, or on any workers if no preferred rack holds it and the unit shouldn't wait
// for one. For an urgent unit waitOrPreempt decides whether it waits.
func (s *planState) placeNearData(unit *Unit, view resourceView) *placement {
	racks := s.preferredRacks(unit)
	if racks == nil {
		return s.placeOn(unit, view, s.poolOf(unit).workers)
	}
	var best *placement
	minSpeed := s.preferredSpeed(unit)
	for _, rack := range racks {
		if found := s.placeOn(unit, view, rack.workers); found.isBetterThan(best, minSpeed) {
			best = found
		}
	}
	if best != nil || (unit.Priority > 0 && s.shouldWaitForRack(unit, racks)) {
		return best
	}
	if best = s.placeOn(unit, view, s.poolOf(unit).workers); best != nil {
		best.away = unit.Priority == 0
	}
	return best
}

// shouldWaitForRack reports whether a unit should wait for one of the racks instead of running more slowly elsewhere: one of
// them has the capacity for it, and the unit hasn't waited for too long.
func (s *planState) shouldWaitForRack(unit *Unit, racks []rack) bool {
	if s.Now.Sub(unit.WaitingSince) >= s.maxRackWait(unit) {
		return false
	}
	return s.rackHolds(unit, racks)
}

// rackHolds reports whether one of the racks has the capacity for a unit on workers that it may use.
func (s *planState) rackHolds(unit *Unit, racks []rack) bool {
	for _, rack := range racks {
		count := 0
		for _, worker := range rack.workers {
			if s.allowed(unit, worker) {
				count += countFitting(unit, worker, worker.Capacity)
			}
		}
		if count >= unit.Members() {
			return true
		}
	}
	return false
}

// maxRackWait returns how long a unit waits for a preferred rack.
func (s *planState) maxRackWait(unit *Unit) time.Duration {
	return s.preferenceWait(unit, time.Duration(float64(unit.expected())*maxRackWaitShare))
}

// preferredRacks returns the racks on which a unit runs at full speed, nil if it does so on any worker.
func (s *planState) preferredRacks(unit *Unit) []rack {
	racks := s.poolOf(unit).racks
	if name := unit.Step.GetDataRack(); name != "" {
		for i := range racks {
			if racks[i].name == name {
				return racks[i : i+1]
			}
		}
		return []rack{{name: name}}
	}
	if unit.Step.GetSameRack() && unit.Members() > 1 {
		return racks
	}
	return nil
}

// RunsNear reports whether a unit of a step that has members on the given racks runs at full speed: near its data, or on one rack if it
// needs that.
func RunsNear(step *storev1.Step, racks []string) bool {
	if name := step.GetDataRack(); name != "" {
		return !slices.ContainsFunc(racks, func(rack string) bool { return rack != name })
	}
	return !step.GetSameRack() || !slices.ContainsFunc(racks, func(rack string) bool { return rack != racks[0] })
}

// freeAccelerators returns how many accelerators are available on the workers, each worker counted once.
func (s *planState) freeAccelerators(workers []string, view resourceView) int {
	count := 0
	for i, id := range workers {
		if !slices.Contains(workers[:i], id) {
			count += view(s.workers[id]).Accelerators
		}
	}
	return count
}

// candidate is a worker that can run members of a unit.
type candidate struct {
	worker *Worker
	// count is the number of members that fit, and fit how well; placeOn sets fit.
	count int
	fit   fit
}

// placeOn returns a placement of a unit on some of the workers, or nil. The members of a gang wait for the slowest, so they
// go to workers of similar speed: the slowest that are fast enough for the objective, because urgent units need the fast ones.
// Among workers of similar speed it prefers the tightest fit. The workers must be sorted by decreasing speed.
func (s *planState) placeOn(unit *Unit, view resourceView, workers []*Worker) *placement {
	candidates, total := s.candidates(unit, view, workers)
	members := unit.Members()
	if total < members {
		return nil
	}
	minSpeed := s.preferredSpeed(unit)
	chosen := chooseSpeedGroup(candidates, members, minSpeed)
	for i := range chosen {
		chosen[i].fit = fitOf(chosen[i].worker, view(chosen[i].worker), ResourcesOf(unit.Step))
	}
	slices.SortFunc(chosen, compareFit(math.IsInf(minSpeed, 1) || minSpeed > chosen[0].worker.Speed))
	found := &placement{speed: math.Inf(1), workers: make([]string, 0, members)}
	for _, candidate := range chosen {
		for range min(candidate.count, members-len(found.workers)) {
			found.workers = append(found.workers, candidate.worker.ID)
			found.speed = min(found.speed, candidate.worker.Speed)
		}
	}
	found.freeAccelerators = s.freeAccelerators(found.workers, view)
	return found
}

// candidates returns the workers that can run members of a unit by increasing speed, and how many members they can run together. The
// workers must be sorted by decreasing speed.
func (s *planState) candidates(unit *Unit, view resourceView, workers []*Worker) ([]candidate, int) {
	var candidates []candidate
	total := 0
	need := ResourcesOf(unit.Step)
	for _, worker := range slices.Backward(workers) {
		available := view(worker)
		if !available.Contains(need) || (unit.Exclusive && !worker.Empty) || !s.allowed(unit, worker) {
			continue
		}
		if count := countFitting(unit, worker, available); count > 0 {
			candidates = append(candidates, candidate{worker: worker, count: count})
			total += count
		}
	}
	return candidates, total
}

// requiredSpeed returns the worker speed with which the job of a unit ends by its objective, infinite if none is enough.
func requiredSpeed(unit *Unit, now time.Time) float64 {
	return speedToEndBy(unit, unit.margin(), unit.Objective, now)
}

// margin returns the factor by which the unit is assumed to exceed its expected duration.
func (u *Unit) margin() float64 { return cmp.Or(u.Margin, estimateMargin) }

// speedToEndBy returns the worker speed with which the job of a unit ends by the given time if it takes margin times as long as expected,
// infinite if none is enough.
func speedToEndBy(unit *Unit, margin float64, end, now time.Time) float64 {
	timeLeft := end.Sub(now) - runOverhead
	if timeLeft <= 0 {
		return math.Inf(1)
	}
	return margin * float64(unit.Remaining) / float64(timeLeft)
}
