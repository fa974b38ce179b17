// Package replay runs a recorded trace through a policy in virtual time and measures the outcome.
//
// Every data centre has its own policy, as in the scheduler. The replay plays the workers: it starts
// and stops gangs with stated delays, ends them after their true run time at the speed of the slowest
// member, writes their checkpoints, and lets workers fail and racks go as the trace says. It checks
// each decision itself, without asking the policy. The same trace, sheet and options give the same
// result.
package replay

import (
	"slices"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// Defaults of Options, milliseconds but for the limit.
const (
	// DefaultStartMillis is the time from a Start decision to the running gang: a round trip to
	// reserve, an append to the log and a round trip to start.
	DefaultStartMillis = 100
	// DefaultFailMillis is the time from a start to the failure of a task that fails.
	DefaultFailMillis = 2_000
	// DefaultMaxFailures is the number of failed runs after which a job is given up.
	DefaultMaxFailures = 5
	// MaxReclaimMillis bounds the time until a guaranteed or urgent job runs.
	MaxReclaimMillis = 2_000
)

// ErrNoSheet means that neither the trace nor the caller has a sheet.
var ErrNoSheet = errors.New("no sheet: give one or put it into the header of the trace")

// ErrNoPolicies means that the options name no policy.
var ErrNoPolicies = errors.New("no policies: name at least one in the options")

// Candidate is a policy to run the trace through.
type Candidate struct {
	// Name is the heading in the result.
	Name string
	// New returns a fresh policy for one data centre.
	New func() policy.Policy
}

// Options time the replay; zero fields take the defaults.
type Options struct {
	Policies    []Candidate
	StartMillis int64
	FailMillis  int64
	MaxFailures int
}

func (o Options) withDefaults() Options {
	if o.StartMillis == 0 {
		o.StartMillis = DefaultStartMillis
	}
	if o.FailMillis == 0 {
		o.FailMillis = DefaultFailMillis
	}
	if o.MaxFailures == 0 {
		o.MaxFailures = DefaultMaxFailures
	}
	return o
}

// Run replays the trace once for each policy. A nil sheet means the one in the trace's header.
// Errors wrap ErrNoSheet, ErrNoPolicies, *JobError or, when the guarantees don't pack, *policy.PackError.
func Run(trace *Trace, sheet *apiv1.Sheet, options Options) (*Result, error) {
	if sheet == nil {
		sheet = trace.Header.GetSheet()
	}
	if sheet == nil {
		return nil, ErrNoSheet
	}
	if len(options.Policies) == 0 {
		return nil, ErrNoPolicies
	}
	plan, err := newPlan(trace, sheet)
	if err != nil {
		return nil, err
	}
	result := &Result{Trace: trace.Header.GetName(), Seed: trace.Header.GetSeed(), Bound: plan.bound()}
	for _, candidate := range options.Policies {
		result.Runs = append(result.Runs, plan.run(candidate, options.withDefaults()))
	}
	return result, nil
}

// run replays the plan through one policy for each data centre.
func (p *plan) run(candidate Candidate, options Options) PolicyResult {
	totals := newTotals(p.window)
	for _, site := range p.sites {
		domain := newDomain(site, candidate.New(), options, p.window)
		domain.run()
		totals.add(domain)
	}
	return totals.result(candidate.Name)
}

// window is the time that is measured, Unix milliseconds.
type window struct {
	from int64
	to   int64
}

// overlap is the part of a time span that lies in the window, milliseconds.
func (w window) overlap(from, to int64) int64 {
	return max(0, min(to, w.to)-max(from, w.from))
}

// sortedNames returns the keys of a set in order.
func sortedNames[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
