package replay

import (
	"cmp"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// shapePool is what is left of an account's guaranteed shapes in a data centre. A gang uses up one whole
// shape, however small it is: cells that it leaves free beside itself are no promise to another gang.
type shapePool struct {
	// shapes are in the order in which they are used up, each once for its count: the smallest first,
	// and of one size those that hold fewer sorts of gangs.
	shapes []policy.Shape
}

func newShapePool(guarantees []policy.Guarantee) *shapePool {
	pool := &shapePool{}
	for _, guarantee := range guarantees {
		pool.shapes = append(pool.shapes, slices.Repeat([]policy.Shape{guarantee.Shape}, guarantee.Count)...)
	}
	slices.SortStableFunc(pool.shapes, func(a, b policy.Shape) int {
		return cmp.Or(
			cmp.Compare(sizeOf(a), sizeOf(b)),
			cmp.Compare(a.Accelerators, b.Accelerators),
			cmp.Compare(b.Adjacency, a.Adjacency),
		)
	})
	return pool
}

// take uses up the smallest shape that holds the gang; false when none is left.
func (p *shapePool) take(wanted policy.Shape) bool {
	at := slices.IndexFunc(p.shapes, func(shape policy.Shape) bool { return holds(shape, wanted) })
	if at < 0 {
		return false
	}
	p.shapes = slices.Delete(p.shapes, at, at+1)
	return true
}

// holds tells whether the members of a guaranteed shape are as many, as large and as close together as wanted.
func holds(shape, wanted policy.Shape) bool {
	closeEnough := wanted.Members == 1 || wanted.Adjacency >= shape.Adjacency
	return closeEnough && wanted.Members <= shape.Members && wanted.Accelerators <= shape.Accelerators
}
