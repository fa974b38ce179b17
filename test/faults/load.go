package main

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/trial"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

// load is the requests and jobs of a run.
type load struct {
	work     sync.WaitGroup
	mu       sync.Mutex
	outcomes []trial.Outcome
	jobs     []trial.JobOutcome
	// cancelled are the jobs of the waves of cancellations.
	cancelled []trial.Cancellation
}

// startLoad asks requests, and submits and cancels jobs, for as long as faults are injected.
func startLoad(ctx context.Context, r *faultRun, given options) *load {
	l := &load{}
	config := trial.Config{
		Callers:     r.CallerAddresses(),
		Token:       site.CallerToken,
		Requests:    int(given.Time.Seconds()) * requestsPerSecond,
		PerSecond:   requestsPerSecond,
		Seed:        given.Seed,
		UnderFaults: true,
	}
	l.work.Go(func() {
		outcomes := trial.Requests(ctx, config)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.outcomes = outcomes
	})
	l.work.Go(func() { l.runJobs(ctx, config, given.Time) })
	return l
}

// runJobs submits batches of jobs, each after the last one ended, with a wave of cancellations between.
func (l *load) runJobs(ctx context.Context, config trial.Config, duration time.Duration) {
	started := time.Now()
	for batch := 0; time.Since(started) < duration && ctx.Err() == nil; batch++ {
		jobs := trial.Jobs(ctx, config, jobsPerBatch)
		cancelled := trial.CancelWave(ctx, config, jobsPerBatch)
		l.mu.Lock()
		l.jobs = append(l.jobs, jobs...)
		l.cancelled = append(l.cancelled, cancelled...)
		l.mu.Unlock()
	}
}

// finish waits for the load and returns what its callers learned.
func (l *load) finish() ([]trial.Outcome, []trial.JobOutcome) {
	l.work.Wait()
	return l.outcomes, l.jobs
}
