package replay

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Result is the outcome of a trace with each planner.
type Result struct {
	Trace string       `json:"trace"`
	Seed  uint64       `json:"seed"`
	Runs  []PlanResult `json:"runs"`
}

// Find returns the outcome with the planner of that name, or nil.
func (r *Result) Find(name string) *PlanResult {
	for i := range r.Runs {
		if r.Runs[i].Planner == name {
			return &r.Runs[i]
		}
	}
	return nil
}

// ClassResult is the slowdown of the measured jobs of one class that finished. Jobs that the trace cancels are left out, so
// that all planners are compared on the same jobs. The slowdown is the time from submission to the end, divided by the run
// time alone on the fastest workers that the job fits, which counts as at least SlowdownFloorMillis.
type ClassResult struct {
	Class        string  `json:"class"`
	Jobs         int     `json:"jobs"`
	MeanSlowdown float64 `json:"mean_slowdown"`
	P95Slowdown  float64 `json:"p95_slowdown"`
	P99Slowdown  float64 `json:"p99_slowdown"`
	// InTime is the share of the jobs that ended by their objective, computed from their true run times at speed 1.
	InTime float64 `json:"in_time"`
}

// SlowdownFloorMillis is the minimum run time in the slowdown; without it very short jobs would dominate the figures.
const SlowdownFloorMillis = 10_000

// PlanResult is the outcome with one planner. Lost times are in accelerator hours, shares are from 0 to 1. Preemptions, lost
// times, checks and violations cover the whole trace; the other figures cover only the measured jobs and the measured time.
type PlanResult struct {
	Planner string `json:"planner"`
	// Classes holds the classes urgent, ordinary, patient and all.
	Classes []ClassResult `json:"classes"`

	Finished   int `json:"finished"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Unfinished int `json:"unfinished"`
	// WronglyFailed is the number of failed jobs that would have succeeded on healthy workers.
	WronglyFailed int `json:"wrongly_failed"`

	// MeanCompletionMillis is the mean time from submission to the end, over the same jobs as the slowdowns.
	MeanCompletionMillis int64 `json:"mean_completion_ms"`
	// Fragmentation is the share of free accelerator time that no waiting job or guaranteed shape could use.
	Fragmentation float64 `json:"fragmentation"`
	// Utilisation is the share of the accelerator time of present workers that was spent on saved work.
	Utilisation           float64 `json:"utilisation"`
	Preemptions           int     `json:"preemptions"`
	LostToPreemptionHours float64 `json:"lost_to_preemption_hours"`
	LostToFailuresHours   float64 `json:"lost_to_failures_hours"`

	// UrgentStartP99Millis and UrgentStartMaxMillis are the 99th percentile and the maximum of the time from the submission of
	// an urgent job until it first runs, or until the end of the replay if it never does. Cancelled jobs are left out.
	UrgentStartP99Millis int64 `json:"urgent_start_p99_ms"`
	UrgentStartMaxMillis int64 `json:"urgent_start_max_ms"`

	// StartsChecked is the number of planned starts that were checked for violations. ClaimsChecked is the number of urgent
	// jobs within their account's guarantee whose wait was checked.
	StartsChecked int `json:"starts_checked"`
	ClaimsChecked int `json:"claims_checked"`
	// ViolationCounts is the number of violations of each invariant. Violations holds the earliest ones, at most MaxViolations.
	ViolationCounts map[Invariant]int `json:"broken,omitempty"`
	Violations      []Violation       `json:"violations,omitempty"`
}

// MaxViolations is the maximum number of violations that a result lists.
const MaxViolations = 20

// AllClasses is the name of the ClassResult over all classes.
const AllClasses = "all"

var classNames = map[apiv1.WorkClass]string{
	apiv1.WorkClass_WORK_CLASS_URGENT: "urgent", apiv1.WorkClass_WORK_CLASS_ORDINARY: "ordinary",
	apiv1.WorkClass_WORK_CLASS_PATIENT: "patient",
}

// Class returns the result of the class of that name, or one without jobs if there is none.
func (r *PlanResult) Class(name string) ClassResult {
	for _, class := range r.Classes {
		if class.Class == name {
			return class
		}
	}
	return ClassResult{Class: name}
}

// totals sums the outcomes of all data centres with one planner.
type totals struct {
	measured         window
	slowdowns        map[string][]float64
	inTime           map[string]int
	urgentWaits      []int64
	completionMillis int64
	sum              PlanResult
	meter            meter
	violations       []Violation
}

func newTotals(measured window) *totals {
	return &totals{measured: measured, slowdowns: map[string][]float64{}, inTime: map[string]int{}}
}

func (t *totals) addDataCentre(d *dataCentreReplay) {
	m := &d.meter
	t.meter.freeTime += m.freeTime
	t.meter.unusableTime += m.unusableTime
	t.meter.presentTime += m.presentTime
	t.meter.usedTime += m.usedTime
	t.meter.lostToPreemption += m.lostToPreemption
	t.meter.lostToFailures += m.lostToFailures
	t.meter.preemptions += m.preemptions
	t.sum.StartsChecked += d.checker.starts
	t.sum.ClaimsChecked += d.checker.claims
	t.violations = append(t.violations, d.checker.violations...)
	for _, j := range d.allJobs {
		t.addJob(d, j)
	}
}

// addJob counts a job by its phase at the end of the replay, if it was submitted in the measured time.
func (t *totals) addJob(d *dataCentreReplay, target *job) {
	if target.spec.GetAcceptedUnixMs() < t.measured.from {
		return
	}
	switch target.phase {
	case finished:
		t.sum.Finished++
		t.addFinished(target)
	case failed:
		t.sum.Failed++
		if !target.trace.GetFails() {
			t.sum.WronglyFailed++
		}
	case cancelled:
		t.sum.Cancelled++
		return
	default:
		t.sum.Unfinished++
	}
	if target.spec.GetPriority() == 0 {
		start := target.firstStart
		if start == 0 {
			start = d.now
		}
		t.urgentWaits = append(t.urgentWaits, start-target.spec.GetAcceptedUnixMs())
	}
}

func (t *totals) addFinished(target *job) {
	if !target.compared {
		return
	}
	completionMillis := target.endedAt - target.spec.GetAcceptedUnixMs()
	t.completionMillis += completionMillis
	slowdown := max(1, float64(completionMillis)/float64(max(target.idealMillis, SlowdownFloorMillis)))
	name := classNames[target.trace.GetSpec().GetWorkClass()]
	t.slowdowns[name] = append(t.slowdowns[name], slowdown)
	t.slowdowns[AllClasses] = append(t.slowdowns[AllClasses], slowdown)
	trueRun := assign.Expectations{time.Duration(target.trace.GetRunMs()) * time.Millisecond}
	if completionMillis <= assign.TimeToObjective(target.spec, trueRun, 1).Milliseconds() {
		t.inTime[name]++
		t.inTime[AllClasses]++
	}
}

func (t *totals) result(name string) PlanResult {
	r := t.sum
	r.Planner = name
	for _, class := range []string{"urgent", "ordinary", "patient", AllClasses} {
		r.Classes = append(r.Classes, classResult(class, t.slowdowns[class], t.inTime[class]))
	}
	if count := len(t.slowdowns[AllClasses]); count > 0 {
		r.MeanCompletionMillis = t.completionMillis / int64(count)
	}
	r.Fragmentation = ratio(t.meter.unusableTime, t.meter.freeTime)
	r.Utilisation = ratio(t.meter.usedTime, t.meter.presentTime)
	r.Preemptions = t.meter.preemptions
	r.LostToPreemptionHours, r.LostToFailuresHours = hours(t.meter.lostToPreemption), hours(t.meter.lostToFailures)
	slices.Sort(t.urgentWaits)
	r.UrgentStartP99Millis, r.UrgentStartMaxMillis = quantile(t.urgentWaits, 99), quantile(t.urgentWaits, 100)
	slices.SortStableFunc(t.violations, func(a, b Violation) int { return cmp.Compare(a.TimeMillis, b.TimeMillis) })
	r.ViolationCounts = map[Invariant]int{}
	for _, violation := range t.violations {
		r.ViolationCounts[violation.Invariant]++
	}
	r.Violations = t.violations[:min(len(t.violations), MaxViolations)]
	return r
}

func classResult(name string, slowdowns []float64, inTime int) ClassResult {
	slices.Sort(slowdowns)
	result := ClassResult{
		Class: name, Jobs: len(slowdowns),
		InTime: float64(inTime) / float64(max(1, len(slowdowns))), P95Slowdown: quantile(slowdowns, 95), P99Slowdown: quantile(slowdowns, 99),
	}
	for _, slowdown := range slowdowns {
		result.MeanSlowdown += slowdown / float64(len(slowdowns))
	}
	return result
}

// quantile returns the percentile of sorted values by the nearest-rank method, or 0 if there are no values.
func quantile[V int64 | float64](sorted []V, percent int) V {
	const whole = 100
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, (len(sorted)*percent+whole-1)/whole-1)]
}

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func hours(millis int64) float64 {
	const hour = 60 * 60 * 1000
	return float64(millis) / hour
}
