// Package replay replays a recorded trace against the scheduler's planner in virtual time and measures the outcome. In the
// same run it replays the trace against baseline planners for comparison.
//
// Each data centre of the trace is a service with workers of its own. The replay simulates the workers: it starts and stops
// gangs with simulated delays, ends them after their true run time at the speed of the slowest member, keeps the work that
// a stop saves, and changes the condition of workers and racks as the trace says. It checks each start itself, independently
// of the planner.
// The same trace, sheet and options give the same result.
package replay

import (
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

const (
	// startDelayMillis is the time from a decision until the gang runs: an append to the store and an order to the workers.
	startDelayMillis = 20
	// maxStopMillis is the maximum duration of a stop. If a checkpoint takes longer, the work since the last periodic
	// checkpoint is lost.
	maxStopMillis = 900
	// failDelayMillis is the time from a start to the failure of a task that fails.
	failDelayMillis = 2_000
	// maxFailures is the number of failed runs after which a job has failed.
	maxFailures = 5
	// maxDecisionIntervalMillis is the maximum time between decisions while jobs wait. Even without events the plan can change
	// with time, for example when a job has waited for long enough to start on workers that the planner ruled out before.
	maxDecisionIntervalMillis = 60_000
	// maxIdleMillis is the time after which a replay ends if only decisions and takeovers occur: its waiting jobs need
	// workers that never come back.
	maxIdleMillis = 24 * 60 * 60 * 1000
	// MaxUrgentStartMillis is the maximum time from the submission of an urgent job until it runs.
	MaxUrgentStartMillis = 2_000
)

// ErrNoSheet means that neither the trace nor the caller provides a sheet.
var ErrNoSheet = errors.New("no sheet: provide one or add it to the header of the trace")

// ErrNoPlanners means that the options contain no planner.
var ErrNoPlanners = errors.New("no planners: add at least one candidate to the options")

// View is the input of a planner.
type View struct {
	*assign.Snapshot
	// DeclaredEnds are the times at which the runs end by their declared run times, in the order of Running.
	DeclaredEnds []time.Time
}

// Planner returns a plan for the view. It may modify the view.
type Planner func(View) assign.Plan

// Candidate is a planner to replay the trace with.
type Candidate struct {
	// Name identifies the planner in the result.
	Name string
	Plan Planner
	// Learns is true if the view has durations learned from the jobs that have finished, in place of the declared ones alone.
	Learns bool
}

// Scheduler returns the scheduler's own planner, as a candidate.
func Scheduler() Candidate {
	return Candidate{Name: "scheduler", Plan: makePlan, Learns: true}
}

// SchedulerDeclared returns the scheduler's own planner with the setting that plans use declared durations.
func SchedulerDeclared() Candidate { return Candidate{Name: "scheduler, declared", Plan: makePlan} }

func makePlan(view View) assign.Plan { return assign.MakePlan(view.Snapshot) }

// Options configure a replay.
type Options struct {
	Candidates []Candidate
	// TakeoverIntervalMillis is the time between changes of the owner. A new owner has the recorded state, but not what the
	// previous one learned or reserved. 0 means no takeovers.
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
	parts, measured, err := splitByDataCentre(trace, sheet)
	if err != nil {
		return nil, err
	}
	result := &Result{Trace: trace.Header.GetName(), Seed: trace.Header.GetSeed()}
	for _, candidate := range options.Candidates {
		totals := newTotals(measured)
		for _, part := range parts {
			run := newDataCentreReplay(part, candidate, options, measured)
			run.simulate()
			totals.addDataCentre(run)
		}
		result.Runs = append(result.Runs, totals.result(candidate.Name))
	}
	return result, nil
}

// window is the time span in which the outcome is measured, in Unix milliseconds.
type window struct{ from, to int64 }

// overlap returns the length of the part of a time span that lies in the window, in milliseconds.
func (w window) overlap(from, to int64) int64 { return max(0, min(to, w.to)-max(from, w.from)) }
