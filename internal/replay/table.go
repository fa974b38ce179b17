package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// Text writes the result as tables for people: policies across, figures down.
func (r *Result) Text(writer io.Writer) error {
	if _, err := fmt.Fprintf(writer, "trace %s, seed %d\n", r.Trace, r.Seed); err != nil {
		return errors.Wrap(err, "write the table")
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.row(table, "", func(run *PolicyResult) string { return run.Policy })
	for _, class := range []string{"urgent", "ordinary", "patient", AllClasses} {
		r.row(table, class+" slowdown mean/p95/p99", func(run *PolicyResult) string {
			c := run.Class(class)
			return fmt.Sprintf("%.2f/%.2f/%.2f", c.MeanSlowdown, c.P95Slowdown, c.P99Slowdown)
		})
	}
	for _, line := range tableLines {
		r.row(table, line.name, line.value)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	if _, err := fmt.Fprintf(writer, "lower bound: mean completion %s (alone) or %s (capacity)\n",
		duration(r.Bound.MeanIdealMillis), duration(r.Bound.MeanCapacityMillis)); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return nil
}

func (r *Result) row(table io.Writer, name string, value func(*PolicyResult) string) {
	_, _ = fmt.Fprintf(table, "%s\t", name)
	for at := range r.Runs {
		_, _ = fmt.Fprintf(table, "%s\t", value(&r.Runs[at]))
	}
	_, _ = fmt.Fprintln(table)
}

type tableLine struct {
	name  string
	value func(*PolicyResult) string
}

var tableLines = []tableLine{
	{"finished/failed/cancelled/unfinished", func(r *PolicyResult) string {
		return fmt.Sprintf("%d/%d/%d/%d", r.Finished, r.Failed, r.Cancelled, r.Unfinished)
	}},
	{"wrongly failed", func(r *PolicyResult) string { return fmt.Sprint(r.WronglyFailed) }},
	{"mean completion", func(r *PolicyResult) string { return duration(r.MeanCompletionMillis) }},
	{"late jobs", func(r *PolicyResult) string { return fmt.Sprintf("%d of %d", r.LateJobs, r.Deadlines) }},
	{"fragmentation", func(r *PolicyResult) string { return percent(r.Fragmentation) }},
	{"fragmentation, largest shape", func(r *PolicyResult) string { return percent(r.FragmentationLargest) }},
	{"utilisation", func(r *PolicyResult) string { return percent(r.Utilisation) }},
	{"work done of capacity by speed", func(r *PolicyResult) string { return percent(r.WorkDone) }},
	{"preemptions/moves", func(r *PolicyResult) string { return fmt.Sprintf("%d/%d", r.Preemptions, r.Moves) }},
	{"lost to preemption/moves/failures, accelerator hours", func(r *PolicyResult) string {
		return fmt.Sprintf("%.1f/%.1f/%.1f", r.LostToPreemptionHours, r.LostToMovesHours, r.LostToFailuresHours)
	}},
	{"urgent start p99/max ms", func(r *PolicyResult) string {
		return fmt.Sprintf("%d/%d", r.UrgentStartP99Millis, r.UrgentStartMaxMillis)
	}},
	{"urgent starts late", func(r *PolicyResult) string { return fmt.Sprint(r.UrgentLate) }},
	{"guarantee violations of claims", func(r *PolicyResult) string {
		return fmt.Sprintf("%d of %d", r.GuaranteeViolations, r.ClaimsChecked)
	}},
	{"partial gangs of starts", func(r *PolicyResult) string {
		return fmt.Sprintf("%d of %d", r.PartialGangs, r.StartsChecked)
	}},
	{"overlaps/quota/other violations", func(r *PolicyResult) string {
		return fmt.Sprintf("%d/%d/%d", r.Overlaps, r.QuotaViolations, r.OtherViolations)
	}},
}

func duration(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(time.Second).String()
}

func percent(value float64) string {
	const whole = 100
	return fmt.Sprintf("%.2f%%", value*whole)
}
