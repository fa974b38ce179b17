package replay

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

func (c capacity) freeCount() int { return bits.OnesCount32(c.free) }

// shapes returns the shapes that wait or are guaranteed, largest first, each once.
func (c *claimChecker) shapes() []policy.Shape {
	set := map[policy.Shape]bool{}
	for _, account := range c.accounts {
		for _, guarantee := range account.guarantees {
			if guarantee.Shape.Accelerators > 0 {
				set[guarantee.Shape] = true
			}
		}
		for _, target := range account.waiting {
			if target.phase == waiting && target.spec.Shape.Accelerators > 0 {
				set[target.spec.Shape] = true
			}
		}
	}
	shapes := make([]policy.Shape, 0, len(set))
	for shape := range set {
		shapes = append(shapes, shape)
	}
	slices.SortFunc(shapes, func(a, b policy.Shape) int {
		return cmp.Or(
			cmp.Compare(sizeOf(b), sizeOf(a)),
			cmp.Compare(a.Adjacency, b.Adjacency),
			cmp.Compare(b.Accelerators, a.Accelerators),
		)
	})
	return shapes
}

// usable counts the free accelerators that at least one of the shapes added could take.
type usable struct {
	checker *checker
	// most holds for each worker the accelerators that one of the shapes can use there.
	most []int
	// room holds for each rack the free cells of the shape looked at.
	room []int
}

func newUsable(checker *checker) *usable {
	return &usable{
		checker: checker,
		most:    make([]int, len(checker.order)),
		room:    make([]int, checker.racks),
	}
}

func (u *usable) reset() { clear(u.most) }

// add counts the cells of the shape wherever a whole gang of it fits.
func (u *usable) add(shape policy.Shape) {
	clear(u.room)
	everywhere := 0
	for _, worker := range u.checker.order {
		cells := worker.freeCells(shape)
		u.room[worker.rack] += cells
		everywhere += cells
	}
	for at, worker := range u.checker.order {
		cells := worker.freeCells(shape)
		room := cells
		switch shape.Adjacency {
		case policy.SameRack:
			room = u.room[worker.rack]
		case policy.SameDataCentre:
			room = everywhere
		}
		if room >= shape.Members {
			u.most[at] = max(u.most[at], cells*shape.Accelerators)
		}
	}
}

func (u *usable) total() int64 {
	sum := 0
	for _, most := range u.most {
		sum += most
	}
	return int64(sum)
}

// freeCells counts the free cells that a member of the shape could take.
func (w *checkedWorker) freeCells(shape policy.Shape) int {
	if w.condition != policy.Healthy || w.left.free == 0 {
		return 0
	}
	return w.left.cells(shape.Accelerators)
}
