package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// WriteTable writes the result as a text table with a column for each planner and a row for each figure. Errors
// are those of the writer.
func (r *Result) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeRow(table, fmt.Sprintf("trace %s, seed %d", r.Trace, r.Seed), func(run *PlanResult) string { return run.Planner })
	for _, class := range []string{"urgent", "ordinary", "patient", AllClasses} {
		r.writeRow(table, class+" slowdown mean/p95/p99", func(run *PlanResult) string {
			c := run.Class(class)
			return fmt.Sprintf("%.2f/%.2f/%.2f", c.MeanSlowdown, c.P95Slowdown, c.P99Slowdown)
		})
		r.writeRow(table, class+" in time", func(run *PlanResult) string { return percent(run.Class(class).InTime) })
	}
	for _, row := range tableRows {
		r.writeRow(table, row.name, row.value)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return nil
}

func (r *Result) writeRow(table io.Writer, name string, value func(*PlanResult) string) {
	_, _ = fmt.Fprintf(table, "%s\t", name) // Flush returns the error
	for i := range r.Runs {
		_, _ = fmt.Fprintf(table, "%s\t", value(&r.Runs[i]))
	}
	_, _ = fmt.Fprintln(table)
}

type tableRow struct {
	name  string
	value func(*PlanResult) string
}

var tableRows = []tableRow{
	{"finished/failed/cancelled/unfinished", func(r *PlanResult) string {
		return fmt.Sprintf("%d/%d/%d/%d", r.Finished, r.Failed, r.Cancelled, r.Unfinished)
	}},
	{"wrongly failed", func(r *PlanResult) string { return fmt.Sprint(r.WronglyFailed) }},
	{"mean completion", func(r *PlanResult) string {
		return (time.Duration(r.MeanCompletionMillis) * time.Millisecond).Round(time.Second).String()
	}},
	{"fragmentation", func(r *PlanResult) string { return percent(r.Fragmentation) }},
	{"utilisation", func(r *PlanResult) string { return percent(r.Utilisation) }},
	{"preemptions", func(r *PlanResult) string { return fmt.Sprint(r.Preemptions) }},
	{"lost to preemption/failures, accelerator hours", func(r *PlanResult) string {
		return fmt.Sprintf("%.1f/%.1f", r.LostToPreemptionHours, r.LostToFailuresHours)
	}},
	{"urgent start p99/max ms", func(r *PlanResult) string {
		return fmt.Sprintf("%d/%d", r.UrgentStartP99Millis, r.UrgentStartMaxMillis)
	}},
	{"urgent starts late, guarantees missed of claims", func(r *PlanResult) string {
		return fmt.Sprintf("%d, %d of %d", r.ViolationCounts[UrgentStartLate], r.ViolationCounts[GuaranteeMissed], r.ClaimsChecked)
	}},
	{"partial gangs, overlaps, invalid of starts", func(r *PlanResult) string {
		return fmt.Sprintf("%d, %d, %d of %d",
			r.ViolationCounts[PartialGang], r.ViolationCounts[Overlap], r.ViolationCounts[InvalidDecision], r.StartsChecked)
	}},
}

func percent(value float64) string {
	const whole = 100
	return fmt.Sprintf("%.2f%%", value*whole)
}
