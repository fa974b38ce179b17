package baseline

import (
	"cmp"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// place returns members for the job, or nil when it doesn't fit now. With bestFit the fullest
// workers are taken first, else the first ones.
func (c *cluster) place(wanted *policy.Job, bestFit bool) []policy.Member {
	switch wanted.Shape.Adjacency {
	case policy.SameWorker:
		return c.placeOnWorker(wanted, bestFit)
	case policy.SameRack:
		return c.placeInRack(wanted, bestFit)
	default:
		return spread(wanted, c.workers, bestFit)
	}
}

func (c *cluster) placeOnWorker(wanted *policy.Job, bestFit bool) []policy.Member {
	var chosen *worker
	for _, w := range c.workers {
		if w.room(wanted) < wanted.Shape.Members {
			continue
		}
		if !bestFit {
			return carveMembers(wanted, w, wanted.Shape.Members, bestFit)
		}
		if chosen == nil || fuller(w, chosen) < 0 {
			chosen = w
		}
	}
	if chosen == nil {
		return nil
	}
	return carveMembers(wanted, chosen, wanted.Shape.Members, bestFit)
}

func (c *cluster) placeInRack(wanted *policy.Job, bestFit bool) []policy.Member {
	var chosen *rack
	chosenRoom := 0
	for _, r := range c.racks {
		room := roomOf(wanted, r.workers)
		if room < wanted.Shape.Members {
			continue
		}
		if chosen == nil || (bestFit && room < chosenRoom) {
			chosen, chosenRoom = r, room
		}
	}
	if chosen == nil {
		return nil
	}
	return spread(wanted, chosen.workers, bestFit)
}

func roomOf(wanted *policy.Job, workers []*worker) int {
	room := 0
	for _, w := range workers {
		room += w.room(wanted)
	}
	return room
}

// spread fills the workers one after another.
func spread(wanted *policy.Job, workers []*worker, bestFit bool) []policy.Member {
	if roomOf(wanted, workers) < wanted.Shape.Members {
		return nil
	}
	order := workers
	if bestFit {
		order = slices.Clone(workers)
		slices.SortStableFunc(order, fuller)
	}
	members := make([]policy.Member, 0, wanted.Shape.Members)
	for _, w := range order {
		count := min(w.room(wanted), wanted.Shape.Members-len(members))
		members = append(members, carveMembers(wanted, w, count, bestFit)...)
	}
	return members
}

// fuller orders workers by free accelerators, then by free cores.
func fuller(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.freeCount(), b.freeCount()), cmp.Compare(a.cores, b.cores))
}

func carveMembers(wanted *policy.Job, w *worker, count int, bestFit bool) []policy.Member {
	free := w.free
	members := make([]policy.Member, 0, count)
	for range count {
		mask := carve(free, w.Accelerators, wanted.Shape.Accelerators, bestFit)
		free &^= mask
		members = append(members, policy.Member{Worker: w.Name, Mask: mask})
	}
	return members
}
