package policy

import (
	"fmt"
	"math/bits"
)

// MisfitError reports a job that no set of workers could run, even when they were empty.
type MisfitError struct {
	Shape Shape
	// Largest is the largest shape of the same adjacency that would fit; zero members when none does.
	Largest Shape
}

// Error names the largest shape that fits.
func (e *MisfitError) Error() string {
	if e.Largest.Members == 0 {
		return fmt.Sprintf("no worker has what one member of %s asks for: ask for fewer accelerators, cores or less memory", e.Shape)
	}
	return fmt.Sprintf("no workers have room for %s with its cores and memory: the largest that fits is %s", e.Shape, e.Largest)
}

// CheckFits returns nil when the job could run on the healthy and quarantined workers if they were empty, else a
// *MisfitError with the largest shape that would fit.
func (s *Scheduler) CheckFits(job Job) error {
	workers := make([]Worker, 0, len(s.workers))
	for _, w := range s.workers {
		if w.condition == Healthy || w.condition == Quarantined {
			workers = append(workers, w.Worker)
		}
	}
	return CheckFits(workers, job)
}

// CheckFits returns nil when the job could run on the workers if they were empty, else a *MisfitError.
func CheckFits(workers []Worker, job Job) error {
	if mostMembers(workers, job, job.Shape.Accelerators) >= job.Shape.Members {
		return nil
	}
	return &MisfitError{Shape: job.Shape, Largest: LargestFitting(workers, job)}
}

// LargestFitting returns the shape with the most accelerators, of the job's adjacency, cores and memory a member,
// that the workers could run if they were empty, and that is not larger than the job's. It has zero members when
// not even a single member with one accelerator fits.
func LargestFitting(workers []Worker, job Job) Shape {
	var best Shape
	for accelerators := job.Shape.Accelerators; ; accelerators /= 2 {
		members := min(mostMembers(workers, job, accelerators), job.Shape.Members)
		candidate := Shape{Members: members, Accelerators: accelerators, Adjacency: job.Shape.Adjacency}
		if members > 0 && (best.Members == 0 || candidate.Total() > best.Total()) {
			best = candidate
		}
		if accelerators <= 1 {
			return best
		}
	}
}

// mostMembers returns how many members fit on the empty workers, within the job's adjacency.
func mostMembers(workers []Worker, job Job, accelerators int) int {
	most, total := 0, 0
	inRack := make(map[string]int)
	q := request{members: MaxMembers, class: -1, cores: job.Cores, memory: job.MemoryMiB}
	if accelerators > 0 {
		q.class = classOf(accelerators)
	}
	if q.class >= sizeClasses || bits.OnesCount(uint(accelerators)) > 1 {
		return 0
	}
	for _, w := range workers {
		members := q.fits(allAccelerators(w.Accelerators), w.Cores, w.MemoryMiB)
		total += members
		inRack[w.Rack] += members
		if job.Shape.Adjacency == SameWorker {
			most = max(most, members)
		}
		if job.Shape.Adjacency == SameRack {
			most = max(most, inRack[w.Rack])
		}
	}
	if job.Shape.Adjacency == SameDataCentre {
		return total
	}
	return most
}
