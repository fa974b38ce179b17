package replay

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// capacity is what one worker can still take.
type capacity struct {
	// free has bit i set when accelerator i is free.
	free         uint32
	accelerators int
	cores        int
	memoryMiB    int
}

func emptyCapacity(worker policy.Worker) capacity {
	return capacity{
		free:         uint32(uint64(1)<<worker.Accelerators - 1),
		accelerators: worker.Accelerators,
		cores:        worker.Cores,
		memoryMiB:    worker.MemoryMiB,
	}
}

// cells counts the free cells of size accelerators, each at a multiple of its size.
func (c capacity) cells(size int) int {
	count := 0
	for at := 0; at+size <= c.accelerators; at += size {
		cell := uint32(uint64(1)<<size-1) << at
		if c.free&cell == cell {
			count++
		}
	}
	return count
}

// members counts the members of the job that fit, at most all.
func (c capacity) members(job *policy.Job) int {
	fit := job.Shape.Members
	if job.Shape.Accelerators > 0 {
		fit = min(fit, c.cells(job.Shape.Accelerators))
	}
	if job.Cores > 0 {
		fit = min(fit, c.cores/job.Cores)
	}
	if job.MemoryMiB > 0 {
		fit = min(fit, c.memoryMiB/job.MemoryMiB)
	}
	return max(fit, 0)
}

// fastestSpeed is the speed of the job alone on the fastest of the empty workers, per mille; 0 when
// it does not fit.
func fastestSpeed(workers []policy.Worker, job *policy.Job) int {
	byGroup := map[string][]policy.Worker{}
	for _, worker := range workers {
		group := groupName(job.Shape.Adjacency, worker)
		byGroup[group] = append(byGroup[group], worker)
	}
	best := 0
	for _, group := range byGroup {
		best = max(best, groupSpeed(group, job))
	}
	return best
}

// groupName is the place that all members of a gang of the adjacency must share.
func groupName(adjacency policy.Adjacency, worker policy.Worker) string {
	switch adjacency {
	case policy.SameWorker:
		return worker.Name
	case policy.SameRack:
		return worker.Rack
	default:
		return ""
	}
}

func groupSpeed(workers []policy.Worker, job *policy.Job) int {
	slices.SortStableFunc(workers, func(a, b policy.Worker) int {
		return cmp.Compare(b.SpeedPermille, a.SpeedPermille)
	})
	room := 0
	for _, worker := range workers {
		room += emptyCapacity(worker).members(job)
		if room >= job.Shape.Members {
			return worker.SpeedPermille
		}
	}
	return 0
}

// aligned tells whether the mask is one cell of size accelerators at a multiple of its size.
func aligned(mask uint32, size int) bool {
	if size == 0 {
		return mask == 0
	}
	if bits.OnesCount32(mask) != size {
		return false
	}
	at := bits.TrailingZeros32(mask)
	return at%size == 0 && mask>>at == uint32(uint64(1)<<size-1)
}
