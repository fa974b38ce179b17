package policy

import (
	"cmp"
	"slices"

	"github.com/google/btree"
)

// buildLayout builds both indexes after workers were added.
func (s *Scheduler) buildLayout() {
	s.layoutStale = false
	byRack := slices.Clone(s.workers)
	slices.SortStableFunc(byRack, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(a.rack.at, b.rack.at), cmp.Compare(b.SpeedPermille, a.SpeedPermille), cmp.Compare(a.Name, b.Name))
	})
	bySpeed := slices.Clone(s.workers)
	slices.SortStableFunc(bySpeed, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(b.SpeedPermille, a.SpeedPermille), cmp.Compare(a.rack.at, b.rack.at), cmp.Compare(a.Name, b.Name))
	})
	for i, w := range bySpeed {
		w.leaf = i
	}
	for _, rack := range s.racks {
		rack.workers = rack.workers[:0]
		rack.lo = len(byRack)
		rack.cells = [sizeClasses]int{}
	}
	for i, w := range byRack {
		w.rackLeaf = i
		rack := w.rack
		rack.lo, rack.hi = min(rack.lo, i), i+1
		rack.workers = append(rack.workers, w)
		for class := range cellSizes {
			rack.cells[class] += countCells(w.available(), class)
		}
	}
	s.speeds, s.rackIndex = newIndex(bySpeed), newIndex(byRack)
	for class := range cellSizes {
		s.racksByCells[class] = btree.NewG(treeDegree, lessRack)
		for _, rack := range s.racks {
			s.racksByCells[class].ReplaceOrInsert(rackKey{cells: rack.cells[class], at: rack.at, rack: rack})
		}
	}
}

// refresh enters the free accelerators, cores and memory of the worker in the indexes after a change.
func (s *Scheduler) refresh(w *workerState) {
	if s.layoutStale {
		return
	}
	old := s.rackIndex.tree[s.rackIndex.size+w.rackLeaf].cells
	s.speeds.update(w.leaf)
	s.rackIndex.update(w.rackLeaf)
	now := s.rackIndex.tree[s.rackIndex.size+w.rackLeaf].cells
	for class := range cellSizes {
		if old[class] == now[class] {
			continue
		}
		key := rackKey{cells: w.rack.cells[class], at: w.rack.at, rack: w.rack}
		s.racksByCells[class].Delete(key)
		w.rack.cells[class] += int(now[class] - old[class])
		key.cells = w.rack.cells[class]
		s.racksByCells[class].ReplaceOrInsert(key)
	}
}
