package main

import (
	"context"
	"maps"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// standingFrom is how long after the load has ended no job may stand: the holds that follow the last faults have ended by then.
	standingFrom = 10 * time.Second
	// maxStanding is how long a job may have nothing running then, beside workers that are mostly free and have room for it twice over.
	maxStanding = 3 * time.Second
	// standingInterval is the interval between two looks at the workers.
	standingInterval = 200 * time.Millisecond
)

// submittedJob is what the load has submitted.
type submittedJob struct {
	steps []step
	// open is true from its acceptance on, until its caller cancels it or observes its end.
	open bool
}

// fitsTwice reports whether each step of a job has room for one of its tasks, or for its gang, twice over.
func (j submittedJob) fitsTwice(free map[string]int) bool {
	for _, st := range j.steps {
		wanted, fitting := 2, 0
		if st.Gang {
			wanted *= st.Count
		}
		for _, accelerators := range free {
			fitting += max(0, accelerators) / st.Gpu
		}
		if fitting < wanted {
			return false
		}
	}
	return true
}

// checkStanding checks until ctx is done that no accepted job has nothing running for long beside free workers.
func (s *soak) checkStanding(ctx context.Context) {
	standing, reported := map[string]time.Time{}, map[string]bool{}
	for ctx.Err() == nil {
		free, idle := s.idleJobs()
		s.properties.check("no job stands beside free workers", true, "")
		maps.DeleteFunc(standing, func(id string, _ time.Time) bool { return !idle[id] })
		for id := range idle {
			if _, known := standing[id]; !known {
				standing[id] = time.Now()
			}
			if stood := time.Since(standing[id]); stood > maxStanding && !reported[id] {
				reported[id] = true
				s.properties.fail("no job stands beside free workers", "job %s has had nothing running for %v; free accelerators: %v",
					id, stood, free)
			}
		}
		time.Sleep(standingInterval)
	}
}

// idleJobs returns the free accelerators of each worker, and the open jobs that have nothing running and fit there twice over; none
// unless most accelerators are free.
func (s *soak) idleJobs() (free map[string]int, idle map[string]bool) {
	free, idle = map[string]int{}, map[string]bool{}
	total, used := 0, 0
	for _, entry := range s.platform.Workers.Entries() {
		free[entry.ID] = int(entry.Capacity.GetAccelerators())
		total += free[entry.ID]
	}
	jobs := s.load.jobs()
	running := map[string]bool{}
	for _, name := range s.platform.Workers.RunningTasks() {
		task, err := replica.ParseTask(name)
		if err != nil || task.Step >= len(jobs[task.Job].steps) {
			s.properties.fail("no job stands beside free workers", "unknown task %s", name)
			continue
		}
		accelerators := jobs[task.Job].steps[task.Step].Gpu
		running[task.Job] = true
		free[s.platform.Workers.WorkerOf(name)] -= accelerators
		used += accelerators
	}
	for id, job := range jobs {
		if job.open && !running[id] && 2*used < total && job.fitsTwice(free) {
			idle[id] = true
		}
	}
	return free, idle
}
