package baseline

import (
	"math/bits"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// worker is a back end with what is free on it.
type worker struct {
	policy.Worker
	condition policy.Condition
	// free has bit i set when accelerator i is free.
	free      uint32
	cores     int
	memoryMiB int
}

// cluster is the free capacity of the workers of a data centre.
type cluster struct {
	workers []*worker
	byName  map[string]*worker
	racks   []*rack
}

type rack struct {
	name    string
	workers []*worker
}

func newCluster() *cluster {
	return &cluster{byName: map[string]*worker{}}
}

func (c *cluster) add(added policy.Worker) {
	w := &worker{Worker: added, free: fullMask(added.Accelerators), cores: added.Cores, memoryMiB: added.MemoryMiB}
	c.workers = append(c.workers, w)
	c.byName[added.Name] = w
	at := slices.IndexFunc(c.racks, func(r *rack) bool { return r.name == added.Rack })
	if at < 0 {
		at = len(c.racks)
		c.racks = append(c.racks, &rack{name: added.Rack})
	}
	c.racks[at].workers = append(c.racks[at].workers, w)
}

func (c *cluster) mark(name string, condition policy.Condition) {
	if w := c.byName[name]; w != nil {
		w.condition = condition
	}
}

func (c *cluster) take(taken *policy.Job, members []policy.Member) {
	for _, member := range members {
		w := c.byName[member.Worker]
		w.free &^= member.Mask
		w.cores -= taken.Cores
		w.memoryMiB -= taken.MemoryMiB
	}
}

func (c *cluster) give(given *policy.Job, members []policy.Member) {
	for _, member := range members {
		w := c.byName[member.Worker]
		w.free |= member.Mask
		w.cores += given.Cores
		w.memoryMiB += given.MemoryMiB
	}
}

// clone copies the free capacity, for a look into the future.
func (c *cluster) clone() *cluster {
	copied := newCluster()
	for _, w := range c.workers {
		copied.add(w.Worker)
		target := copied.byName[w.Name]
		target.condition = w.condition
		target.free = w.free
		target.cores = w.cores
		target.memoryMiB = w.memoryMiB
	}
	return copied
}

// room is the number of members of the job that fit on the worker.
func (w *worker) room(wanted *policy.Job) int {
	if w.condition != policy.Healthy || slices.Contains(wanted.FailedWorkers, w.Name) {
		return 0
	}
	fit := wanted.Shape.Members
	if wanted.Shape.Accelerators > 0 {
		fit = min(fit, cells(w.free, w.Accelerators, wanted.Shape.Accelerators))
	}
	if wanted.Cores > 0 {
		fit = min(fit, w.cores/wanted.Cores)
	}
	if wanted.MemoryMiB > 0 {
		fit = min(fit, w.memoryMiB/wanted.MemoryMiB)
	}
	return max(fit, 0)
}

// fullMask has the lowest n bits set.
func fullMask(n int) uint32 {
	return uint32(1)<<n - 1
}

// cells counts the free cells of size accelerators, each at a multiple of its size.
func cells(free uint32, accelerators, size int) int {
	count := 0
	for at := 0; at+size <= accelerators; at += size {
		if cell := fullMask(size) << at; free&cell == cell {
			count++
		}
	}
	return count
}

// carve returns a free cell of the given size: with bestFit the one whose surroundings are fullest,
// else the first. The caller knows that one is there.
func carve(free uint32, accelerators, size int, bestFit bool) uint32 {
	if size == 0 {
		return 0
	}
	best, bestFree := uint32(0), maxMaskBits+1
	for at := 0; at+size <= accelerators; at += size {
		cell := fullMask(size) << at
		if free&cell != cell {
			continue
		}
		if !bestFit {
			return cell
		}
		if around := surroundings(free, at, size); around < bestFree {
			best, bestFree = cell, around
		}
	}
	return best
}

const maxMaskBits = 32

// surroundings is the size of the largest free aligned cell that holds the cell at the position.
func surroundings(free uint32, at, size int) int {
	whole := size
	for wide := size * 2; wide < maxMaskBits; wide *= 2 {
		cell := fullMask(wide) << (at / wide * wide)
		if free&cell != cell {
			break
		}
		whole = wide
	}
	return whole
}

// freeCount is the number of free accelerators.
func (w *worker) freeCount() int { return bits.OnesCount32(w.free) }
