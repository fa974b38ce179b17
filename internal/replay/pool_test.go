package replay

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

func shapeOfTest(members, accelerators int, adjacency policy.Adjacency) policy.Shape {
	return policy.Shape{Members: members, Accelerators: accelerators, Adjacency: adjacency}
}

func TestShapePool(t *testing.T) {
	whole := shapeOfTest(1, 8, policy.SameWorker)
	half := shapeOfTest(1, 4, policy.SameWorker)
	rack := shapeOfTest(4, 8, policy.SameRack)
	spread := shapeOfTest(4, 8, policy.SameDataCentre)
	halves := shapeOfTest(8, 4, policy.SameRack)
	cases := []struct {
		name       string
		guarantees []policy.Shape
		gangs      []policy.Shape
		want       []bool
	}{
		{"smallest shape first", []policy.Shape{whole, half}, []policy.Shape{half, whole, half}, []bool{true, true, false}},
		{"a small gang uses up a large shape", []policy.Shape{whole}, []policy.Shape{half, half}, []bool{true, false}},
		{"members of a shape", []policy.Shape{rack}, []policy.Shape{shapeOfTest(3, 4, policy.SameRack)}, []bool{true}},
		{"too many members", []policy.Shape{rack}, []policy.Shape{halves}, []bool{false}},
		{"members too large", []policy.Shape{halves}, []policy.Shape{shapeOfTest(2, 8, policy.SameRack)}, []bool{false}},
		{"of one size the less able first", []policy.Shape{rack, halves},
			[]policy.Shape{shapeOfTest(4, 4, policy.SameDataCentre), shapeOfTest(2, 8, policy.SameRack)}, []bool{true, true}},
		{"no rack is promised", []policy.Shape{spread}, []policy.Shape{shapeOfTest(2, 8, policy.SameRack)}, []bool{false}},
		{"one member needs none", []policy.Shape{spread}, []policy.Shape{whole}, []bool{true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var guarantees []policy.Guarantee
			for _, shape := range tc.guarantees {
				guarantees = append(guarantees, policy.Guarantee{Shape: shape, Count: 1})
			}
			pool := newShapePool(guarantees)
			for at, gang := range tc.gangs {
				if got := pool.take(gang); got != tc.want[at] {
					t.Errorf("gang %d (%v): %v, want %v", at, gang, got, tc.want[at])
				}
			}
		})
	}
}
