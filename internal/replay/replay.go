// Package replay plays a recorded trace through the scheduler's decisions in virtual time and measures the outcome, beside
// baselines in the same run.
//
// Each data centre of the trace is a service with workers of its own. The replay plays the workers: it starts and stops
// gangs with stated delays, ends them after their true run time at the speed of the slowest member, keeps what a stop
// saves, and lets workers fail and racks go as the trace says. It checks each start itself, without asking the planner.
// The same trace, sheet and options give the same result.
package replay

import (
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

const (
	// startDelayMillis is the time from a decision to the running gang: an append to the store and an order.
	startDelayMillis = 20
	// maxStopMillis bounds the time that a stop takes; what a checkpoint can't save in it is lost since the last one.
	maxStopMillis = 900
	// failDelayMillis is the time from a start to the failure of a task that fails.
	failDelayMillis = 2_000
	// maxFailures is the number of failed runs after which a job is given up.
	maxFailures = 5
	// maxDecisionIntervalMillis spaces the decisions while jobs wait and nothing happens: patience runs out with time alone.
	maxDecisionIntervalMillis = 60_000
	// maxIdleMillis ends a replay in which jobs wait for workers that never come back.
	maxIdleMillis = 24 * 60 * 60 * 1000
	// MaxUrgentStartMillis bounds the time until an urgent job runs.
	MaxUrgentStartMillis = 2_000
)

// ErrNoSheet means that neither the trace nor the caller has a sheet.
var ErrNoSheet = errors.New("no sheet: give one or put it into the header of the trace")

// ErrNoPlanners means that the options name no planner.
var ErrNoPlanners = errors.New("no planners: name at least one in the options")

// View is what a planner decides on.
type View struct {
	*assign.Snapshot
	// DeclaredEnds are when the runs end as declared, in the order of Running.
	DeclaredEnds []time.Time
}

// Planner decides. It may change the view.
type Planner func(View) assign.Plan

// Candidate is a planner to run the trace through.
type Candidate struct {
	// Name is the heading in the result.
	Name string
	Plan Planner
}

// Scheduler is the product's own planner.
func Scheduler() Candidate {
	return Candidate{Name: "scheduler", Plan: func(view View) assign.Plan { return assign.MakePlan(view.Snapshot) }}
}

// Options say what is replayed.
type Options struct {
	Candidates []Candidate
	// TakeoverIntervalMillis is the time between changes of the owner: a new one knows what is recorded, not what the one before
	// learned or reserved. 0 means none.
	TakeoverIntervalMillis int64
}

// Run replays the trace once for each candidate. A nil sheet means the one in the trace's header. Errors wrap ErrNoSheet,
// ErrNoPlanners, *GuaranteeError or *JobError.
func Run(trace *Trace, sheet *apiv1.Sheet, options Options) (*Result, error) {
	if sheet == nil {
		sheet = trace.Header.GetSheet()
	}
	if sheet == nil {
		return nil, ErrNoSheet
	}
	if len(options.Candidates) == 0 {
		return nil, ErrNoPlanners
	}
	sites, measured, err := splitByDataCentre(trace, sheet)
	if err != nil {
		return nil, err
	}
	result := &Result{Trace: trace.Header.GetName(), Seed: trace.Header.GetSeed()}
	for _, candidate := range options.Candidates {
		totals := newTotals(measured)
		for _, site := range sites {
			played := newDomain(site, candidate.Plan, options, measured)
			played.simulate()
			totals.addDataCentre(played)
		}
		result.Runs = append(result.Runs, totals.result(candidate.Name))
	}
	return result, nil
}

// window is the time that is measured, Unix milliseconds.
type window struct{ from, to int64 }

// overlap is the part of a time span that lies in the window, milliseconds.
func (w window) overlap(from, to int64) int64 { return max(0, min(to, w.to)-max(from, w.from)) }
