package policy

// groups sort workers by their holes: group 0 has nothing free, group class+1 has a free cell of the size class that
// is not part of a larger free one. A worker is in several groups when it has holes of several classes.
const groups = sizeClasses + 1

// summary describes the free capacity of a range of workers.
type summary struct {
	// cells is the number of free cells of each size class.
	cells [sizeClasses]int32
	// groups describes the workers of the range that have holes of a class.
	groups [groups]groupSummary
}

// groupSummary holds the largest free values that a worker of a group has; cores is -1 without such a worker.
type groupSummary struct {
	cores  int32
	memory int32
	cells  [sizeClasses]int16
}

var emptySummary = func() summary {
	var s summary
	for g := range s.groups {
		s.groups[g].cores = -1
	}
	return s
}()

func (a *summary) combine(left, right *summary) {
	for class := range a.cells {
		a.cells[class] = left.cells[class] + right.cells[class]
	}
	for g := range a.groups {
		l, r, sum := &left.groups[g], &right.groups[g], &a.groups[g]
		sum.cores = max(l.cores, r.cores)
		sum.memory = max(l.memory, r.memory)
		for class := range sum.cells {
			sum.cells[class] = max(l.cells[class], r.cells[class])
		}
	}
}

// need is what one leaf must have: a hole of the group, a number of cells of the class, cores and memory.
type need struct {
	group  int
	class  int
	cells  int
	cores  int
	memory int
}

func (n need) fits(s *summary) bool {
	g := &s.groups[n.group]
	if g.cores < 0 || int(g.cores) < n.cores || int(g.memory) < n.memory {
		return false
	}
	return n.class < 0 || int(g.cells[n.class]) >= n.cells
}

// index is a segment tree over workers in a fixed order. Updates and searches take logarithmic time.
type index struct {
	leaves []*workerState
	// size is the number of leaves rounded up to a power of two; tree[1] is the root, tree[size+i] is leaf i.
	size int
	tree []summary
}

func newIndex(workers []*workerState) *index {
	x := &index{leaves: workers, size: 1}
	for x.size < len(workers) {
		x.size *= 2
	}
	x.tree = make([]summary, 2*x.size)
	for i := range x.tree {
		x.tree[i] = emptySummary
	}
	for i, w := range workers {
		w.summarise(&x.tree[x.size+i])
	}
	for i := x.size - 1; i >= 1; i-- {
		x.tree[i].combine(&x.tree[2*i], &x.tree[2*i+1])
	}
	return x
}

// summarise writes the summary of the one worker.
func (w *workerState) summarise(s *summary) {
	*s = emptySummary
	if w.condition != Healthy {
		return
	}
	free := w.available()
	own := groupSummary{cores: int32(max(w.freeCores, 0)), memory: int32(max(w.freeMemory, 0))}
	for class := range cellSizes {
		count := countCells(free, class)
		s.cells[class] = int32(count)
		own.cells[class] = int16(count)
	}
	if free == 0 {
		s.groups[0] = own
	}
	for class := range cellSizes {
		if holes(free, class) != 0 {
			s.groups[class+1] = own
		}
	}
}

// update reads the leaf's worker again.
func (x *index) update(leaf int) {
	i := x.size + leaf
	x.leaves[leaf].summarise(&x.tree[i])
	for i /= 2; i >= 1; i /= 2 {
		was := x.tree[i]
		x.tree[i].combine(&x.tree[2*i], &x.tree[2*i+1])
		if x.tree[i] == was {
			return
		}
	}
}

// next returns the first leaf in [lo, hi) that has what is needed, -1 when there is none.
func (x *index) next(lo, hi int, n need) int {
	if lo >= hi {
		return -1
	}
	return x.nextBelow(1, 0, x.size, lo, hi, n)
}

func (x *index) nextBelow(at, from, to, lo, hi int, n need) int {
	if to <= lo || hi <= from || !n.fits(&x.tree[at]) {
		return -1
	}
	if to-from == 1 {
		return from
	}
	middle := (from + to) / 2
	if leaf := x.nextBelow(2*at, from, middle, lo, hi, n); leaf >= 0 {
		return leaf
	}
	return x.nextBelow(2*at+1, middle, to, lo, hi, n)
}

// prefix returns the smallest end such that the leaves in [0, end) have the number of free cells of the class,
// or the number of leaves when all have fewer.
func (x *index) prefix(class, cells int) int {
	if class < 0 || int(x.tree[1].cells[class]) < cells {
		return len(x.leaves)
	}
	at := 1
	for at < x.size {
		at *= 2
		if left := int(x.tree[at].cells[class]); left < cells {
			cells -= left
			at++
		}
	}
	return min(at-x.size+1, len(x.leaves))
}
