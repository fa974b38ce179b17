package assign

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// remotePatience is how long a unit waits for the rack that suits it, in shares of its estimate.
	remotePatience = 1.0
	// likeSpeed is how much faster than the slowest a worker may be to count as like it: estimates of speeds differ by
	// some tenths.
	likeSpeed = 1.35
	// estimateSlack is how much longer than estimated a unit may take: declared estimates are often off by a half, and
	// a gang ends with its longest member. reserve is left for what happens around a run.
	estimateSlack = 2.0
	reserve       = 250 * time.Millisecond
)

// MakePlan returns what to do now. It changes the rooms in the snapshot.
func MakePlan(snapshot *Snapshot) Plan {
	w := newWorld(snapshot)
	w.forgive()
	w.keep()
	units := w.resume(rank(snapshot))
	// Units of one step are alike: where one doesn't fit, no other does.
	blocked := map[replica.Task]bool{}
	for _, unit := range units {
		shape := replica.Task{Job: unit.Task.Job, Occurrence: unit.Task.Occurrence, Step: unit.Task.Step}
		if blocked[shape] {
			continue
		}
		found := w.place(unit, freeOf)
		switch {
		case (found == nil || found.speed < neededSpeed(unit, w.Now)) && w.hurry(unit, found):
			blocked[shape] = true
		case found != nil:
			w.start(unit, found.workers)
		default:
			blocked[shape] = true
		}
	}
	return w.plan
}

// option is a way to place a unit.
type option struct {
	workers []string
	// speed is that of the slowest worker.
	speed float64
	// left is the number of accelerators that stay free on the workers.
	left int
}

// beats tells whether o is better than other for a unit that needs a speed: fast enough first, then the tightest fit; if
// none is fast enough, the fastest.
func (o *option) beats(other *option, enough float64) bool {
	if other == nil || o == nil {
		return o != nil
	}
	if fast := o.speed >= enough; fast != (other.speed >= enough) {
		return fast
	} else if !fast && (o.speed > likeSpeed*other.speed || other.speed > likeSpeed*o.speed) {
		return o.speed > other.speed
	}
	return o.left < other.left
}

// place returns the best way to place a unit, or nil. Racks that suit the unit go first; others are used when it can't
// wait for them.
func (w *world) place(unit *Unit, room roomOf) *option {
	if racks := w.suitable(unit); racks != nil {
		var best *option
		enough := neededSpeed(unit, w.Now)
		for _, rack := range racks {
			if found := w.within(unit, room, rack.workers); found.beats(best, enough) {
				best = found
			}
		}
		if best != nil || w.waitsForRack(unit, racks) {
			return best
		}
	}
	return w.within(unit, room, w.poolOf(unit).workers)
}

// waitsForRack tells whether a unit rather waits for one of the racks than runs slowly elsewhere.
func (w *world) waitsForRack(unit *Unit, racks []rack) bool {
	patience := time.Duration(float64(unit.Step.GetEstimateMs())*remotePatience) * time.Millisecond
	if w.Now.Sub(unit.WaitingSince) >= patience {
		return false
	}
	for _, rack := range racks {
		count := 0
		for _, worker := range rack.workers {
			if w.allowed(unit, worker) {
				count += fits(unit, worker, worker.Capacity)
			}
		}
		if count >= unit.Members() {
			return true
		}
	}
	return false
}

// suitable are the racks on which a unit runs at full speed; nil if any worker will do.
func (w *world) suitable(unit *Unit) []rack {
	racks := w.poolOf(unit).racks
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

// left is the number of accelerators that stay free on the workers beside the members.
func (w *world) left(workers []string, room roomOf) int {
	left := 0
	for i, id := range workers {
		if !slices.Contains(workers[:i], id) {
			left += room(w.workers[id]).Accelerators
		}
	}
	return left
}

// candidate is a worker that can take members of a unit.
type candidate struct {
	worker *Worker
	count  int
	left   Resources
}

// within places a unit on some of the workers. The members of a gang wait for the slowest, so they go to workers of like
// speed: the slowest that suffice for the objective, for the fast ones are wanted by whoever is in a hurry. Among like
// workers the tightest fit goes first.
func (w *world) within(unit *Unit, room roomOf, workers []*Worker) *option {
	candidates, total := w.candidates(unit, room, workers)
	members := unit.Members()
	if total < members {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.worker.Speed, b.worker.Speed) })
	chosen := append([]candidate(nil), slowestGroup(candidates, members, neededSpeed(unit, w.Now))...)
	slices.SortStableFunc(chosen, tighter)
	found := &option{speed: math.Inf(1), workers: make([]string, 0, members)}
	for _, candidate := range chosen {
		for range min(candidate.count, members-len(found.workers)) {
			found.workers = append(found.workers, candidate.worker.ID)
			found.speed = min(found.speed, candidate.worker.Speed)
		}
	}
	found.left = w.left(found.workers, room)
	return found
}

// slowestGroup returns the candidates of like speed, by rising speed, that suffice for the members: the slowest that are
// fast enough, else the fastest; and if no like ones suffice, the fastest of all.
func slowestGroup(candidates []candidate, members int, enough float64) []candidate {
	var chosen []candidate
	for first := range candidates {
		group := like(candidates[first:])
		if !suffice(group, members) {
			continue
		}
		chosen = group
		if candidates[first].worker.Speed >= enough {
			break
		}
	}
	if chosen == nil {
		return fastest(candidates, members)
	}
	return chosen
}

// candidates are the workers that can take members of a unit, and how many they can take together.
func (w *world) candidates(unit *Unit, room roomOf, workers []*Worker) ([]candidate, int) {
	var candidates []candidate
	total := 0
	need := ResourcesOf(unit.Step)
	for _, worker := range workers {
		available := room(worker)
		if !available.Contains(need) || !w.allowed(unit, worker) {
			continue
		}
		if count := fits(unit, worker, available); count > 0 {
			candidates = append(candidates, candidate{worker: worker, count: count, left: available.Sub(need)})
			total += count
		}
	}
	return candidates, total
}

// like returns the first candidates, by rising speed, that are about as fast as the first one.
func like(candidates []candidate) []candidate {
	limit := likeSpeed * candidates[0].worker.Speed
	end := sort.Search(len(candidates), func(i int) bool { return candidates[i].worker.Speed > limit })
	return candidates[:end]
}

// fastest returns the last candidates, by rising speed, that suffice for the members.
func fastest(candidates []candidate, members int) []candidate {
	total := 0
	for first := len(candidates) - 1; first > 0; first-- {
		if total += candidates[first].count; total >= members {
			return candidates[first:]
		}
	}
	return candidates
}

// suffice tells whether the candidates can take the members.
func suffice(candidates []candidate, members int) bool {
	for i := 0; i < len(candidates) && members > 0; i++ {
		members -= candidates[i].count
	}
	return members <= 0
}

// neededSpeed is how fast a worker has to be for the unit's job to end by its objective.
func neededSpeed(unit *Unit, now time.Time) float64 {
	left := unit.Objective.Sub(now) - reserve
	if left <= 0 {
		return math.Inf(1)
	}
	return estimateSlack * float64(unit.Remaining) / float64(left)
}

// tighter orders candidates by how well they fit: the tightest first, and the faster of two that are as tight.
func tighter(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.left.Accelerators, b.left.Accelerators),
		cmp.Compare(b.worker.Speed, a.worker.Speed),
		cmp.Compare(a.left.Memory, b.left.Memory),
		cmp.Compare(a.worker.ID, b.worker.ID),
	)
}
