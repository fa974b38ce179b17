package assign

import "math"

// resume handles the units for which an earlier plan made room, and returns the others. A unit keeps the workers that it
// waits for: were it placed anew, runs would give way again and again as the speed that it needs rises, and others would
// take the room in between. It starts elsewhere if workers that are as fast became free, and is placed anew when the
// room can't come any more.
func (w *world) resume(ranked []*Unit) []*Unit {
	rest := ranked[:0]
	var reserved []*Unit
	for _, unit := range ranked {
		if unit.Reserved == nil || !w.holds(unit, soonOf) {
			rest = append(rest, unit)
			continue
		}
		w.take(unit, unit.Reserved, true)
		reserved = append(reserved, unit)
	}
	for _, unit := range reserved {
		w.giveBack(unit, unit.Reserved)
		switch found := w.place(unit, freeOf); {
		case w.holds(unit, freeOf):
			w.start(unit, unit.Reserved)
		case found != nil && found.speed >= w.slowest(unit.Reserved):
			w.start(unit, found.workers)
		default:
			w.reserve(unit, unit.Reserved)
		}
	}
	return rest
}

// holds tells whether the workers reserved for a unit have room for all its members.
func (w *world) holds(unit *Unit, room roomOf) bool {
	members := map[string]int{}
	for _, id := range unit.Reserved {
		members[id]++
	}
	for id, count := range members {
		worker, known := w.workers[id]
		if !known || !w.allowed(unit, worker) || fits(unit, worker, room(worker)) < count {
			return false
		}
	}
	return true
}

// slowest is the speed of the slowest of the workers.
func (w *world) slowest(workers []string) float64 {
	speed := math.Inf(1)
	for _, id := range workers {
		speed = min(speed, w.workers[id].Speed)
	}
	return speed
}
