package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// ErrFailed means that an invariant was violated or never checked.
var ErrFailed = errors.New("the run failed: see the invariants with violations or without checks")

// tally counts the results of one kind of request.
type tally struct {
	class      string
	idempotent bool
	results    map[Result]int
	slowest    time.Duration
}

// PrintOutcomes writes a table of what was asked and answered.
func PrintOutcomes(out io.Writer, outcomes []Outcome, gangs []JobOutcome) {
	var tallies []*tally
	for _, class := range classes {
		for _, idempotent := range []bool{true, false} {
			tallies = append(tallies, &tally{class: class, idempotent: idempotent, results: make(map[Result]int)})
		}
	}
	for _, outcome := range outcomes {
		for _, t := range tallies {
			if t.class == outcome.Class && t.idempotent == outcome.Idempotent {
				t.results[outcome.Result]++
				t.slowest = max(t.slowest, outcome.Took)
			}
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tidempotent\tdone\tnot run\tunknown\tlost\tforeign\tslowest")
	for _, t := range tallies {
		fmt.Fprintf(table, "%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d ms\n", t.class, t.idempotent, t.results[Done],
			t.results[NotRun], t.results[Unknown], t.results[Lost], t.results[Foreign], t.slowest.Milliseconds())
	}
	for _, gang := range gangs {
		fmt.Fprintf(table, "gang job %s\t%s\truns %d\t%d ms\t%s\n", gang.ID, gang.State, gang.Runs, gang.Took.Milliseconds(), gang.Detail)
	}
	_ = table.Flush()
}

// PrintInvariants writes each invariant; a violated or unchecked one gives ErrFailed.
func PrintInvariants(out io.Writer, invariants []*Invariant) error {
	failed := false
	for _, invariant := range invariants {
		fmt.Fprintf(out, "%s: %d checks, %d violations\n", invariant.Name, invariant.Checks, len(invariant.Violations))
		for _, violation := range invariant.Violations {
			fmt.Fprintln(out, "  ", violation.Detail)
		}
		failed = failed || len(invariant.Violations) > 0 || invariant.Checks == 0
	}
	if failed {
		return ErrFailed
	}
	return nil
}
