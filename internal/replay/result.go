package replay

import (
	"cmp"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// Result is the outcome of a trace under each policy.
type Result struct {
	Trace string         `json:"trace"`
	Seed  uint64         `json:"seed"`
	Bound Bound          `json:"bound"`
	Runs  []PolicyResult `json:"runs"`
}

// Find returns the outcome under the policy of that name, or nil.
func (r *Result) Find(name string) *PolicyResult {
	for at := range r.Runs {
		if r.Runs[at].Policy == name {
			return &r.Runs[at]
		}
	}
	return nil
}

// ClassResult is the slowdown of the measured jobs of one class that finished and that the trace does not
// cancel, so that every policy is judged by the same jobs: the time from
// submission to the end over the run time alone on the fastest fitting workers, the latter taken as
// at least SlowdownFloorMillis.
type ClassResult struct {
	Class        string  `json:"class"`
	Jobs         int     `json:"jobs"`
	MeanSlowdown float64 `json:"mean_slowdown"`
	P95Slowdown  float64 `json:"p95_slowdown"`
	P99Slowdown  float64 `json:"p99_slowdown"`
}

// SlowdownFloorMillis keeps very short jobs from ruling the slowdown.
const SlowdownFloorMillis = 10_000

// PolicyResult is the outcome under one policy. Accelerator times are in hours, shares from 0 to 1.
type PolicyResult struct {
	Policy string `json:"policy"`
	// Classes are urgent, ordinary, patient and all.
	Classes []ClassResult `json:"classes"`

	Finished   int `json:"finished"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Unfinished int `json:"unfinished"`
	// WronglyFailed counts failed jobs that would have succeeded on sound workers.
	WronglyFailed int `json:"wrongly_failed"`

	// MeanCompletionMillis is the mean time from submission to the end, over the same jobs as the slowdowns.
	MeanCompletionMillis int64 `json:"mean_completion_ms"`
	// LastEndMillis is when the last job ended, Unix milliseconds.
	LastEndMillis int64 `json:"last_end_unix_ms"`
	Deadlines     int   `json:"deadlines"`
	LateJobs      int   `json:"late_jobs"`

	// Fragmentation is the share of free accelerators that no waiting or guaranteed shape can use,
	// FragmentationLargest the share that the largest of these shapes cannot use; both over time.
	Fragmentation        float64 `json:"fragmentation"`
	FragmentationLargest float64 `json:"fragmentation_largest"`
	// Utilisation is the share of the present accelerators on which work was done and kept.
	Utilisation float64 `json:"utilisation"`
	// WorkDone is the share of what the present accelerators could do at their speeds that was done and kept.
	WorkDone float64 `json:"work_done"`

	Preemptions           int     `json:"preemptions"`
	Moves                 int     `json:"moves"`
	LostToPreemptionHours float64 `json:"lost_to_preemption_hours"`
	LostToMovesHours      float64 `json:"lost_to_moves_hours"`
	LostToFailuresHours   float64 `json:"lost_to_failures_hours"`

	UrgentStartP99Millis int64 `json:"urgent_start_p99_ms"`
	UrgentStartMaxMillis int64 `json:"urgent_start_max_ms"`
	UrgentLate           int   `json:"urgent_late"`

	// StartsChecked and ClaimsChecked count what the invariants were checked on.
	StartsChecked       int `json:"starts_checked"`
	ClaimsChecked       int `json:"claims_checked"`
	GuaranteeViolations int `json:"guarantee_violations"`
	PartialGangs        int `json:"partial_gangs"`
	Overlaps            int `json:"overlaps"`
	QuotaViolations     int `json:"quota_violations"`
	OtherViolations     int `json:"other_violations"`
	Decisions           int `json:"decisions"`
	// Violations are the first ones, at most MaxViolations.
	Violations []Violation `json:"violations,omitempty"`
}

// MaxViolations bounds the violations that a result tells one by one.
const MaxViolations = 20

// Class returns the result of the class of that name.
func (r *PolicyResult) Class(name string) ClassResult {
	for _, class := range r.Classes {
		if class.Class == name {
			return class
		}
	}
	return ClassResult{Class: name}
}

// AllClasses is the name of the line over all classes.
const AllClasses = "all"

func className(class policy.Class) string {
	switch class {
	case policy.Urgent:
		return "urgent"
	case policy.Ordinary:
		return "ordinary"
	default:
		return "patient"
	}
}

// totals gathers the data centres of one replay.
type totals struct {
	measured   window
	slowdowns  map[string][]float64
	waits      []int64
	completion int64
	sum        PolicyResult
	meter      meter
	violations []Violation
}

func newTotals(measured window) *totals {
	return &totals{measured: measured, slowdowns: map[string][]float64{}}
}

func (t *totals) add(d *domain) {
	t.meter.add(d.meter)
	t.sum.StartsChecked += d.checker.checks
	t.sum.ClaimsChecked += d.claims.met
	t.violations = append(t.violations, d.checker.violations...)
	for _, ended := range d.order {
		t.addJob(d, ended)
	}
}

func (t *totals) addJob(d *domain, ended *job) {
	t.sum.LastEndMillis = max(t.sum.LastEndMillis, ended.endMillis)
	if ended.spec.SubmittedMillis < t.measured.from {
		return
	}
	switch ended.outcome {
	case finished:
		t.sum.Finished++
		t.addFinished(ended)
	case failed:
		t.sum.Failed++
		if !ended.fails {
			t.sum.WronglyFailed++
		}
	case cancelled:
		t.sum.Cancelled++
		return
	default:
		t.sum.Unfinished++
	}
	t.addDeadline(ended)
	t.addUrgent(d, ended)
}

func (t *totals) addFinished(ended *job) {
	if !ended.steady {
		return
	}
	took := ended.endMillis - ended.spec.SubmittedMillis
	t.completion += took
	slowdown := max(1, float64(took)/float64(max(ended.idealMillis, SlowdownFloorMillis)))
	name := className(ended.spec.Class)
	t.slowdowns[name] = append(t.slowdowns[name], slowdown)
	t.slowdowns[AllClasses] = append(t.slowdowns[AllClasses], slowdown)
}

func (t *totals) addDeadline(ended *job) {
	deadline := ended.spec.DeadlineMillis
	if deadline == 0 || !ended.steady {
		return
	}
	t.sum.Deadlines++
	if ended.outcome != finished || ended.endMillis > deadline {
		t.sum.LateJobs++
	}
}

func (t *totals) addUrgent(d *domain, ended *job) {
	if ended.spec.Class != policy.Urgent {
		return
	}
	start := ended.firstStartMillis
	if start == 0 {
		start = d.nowMillis
	}
	waited := start - ended.spec.SubmittedMillis
	t.waits = append(t.waits, waited)
	if waited > MaxReclaimMillis {
		t.sum.UrgentLate++
	}
}

func (m *meter) add(other *meter) {
	m.freeTime += other.freeTime
	m.unusableTime += other.unusableTime
	m.unusableLargestTime += other.unusableLargestTime
	m.presentTime += other.presentTime
	m.usedTime += other.usedTime
	m.speedTime += other.speedTime
	m.workedTime += other.workedTime
	m.lostToPreemption += other.lostToPreemption
	m.lostToMoves += other.lostToMoves
	m.lostToFailures += other.lostToFailures
	m.preemptions += other.preemptions
	m.moves += other.moves
	m.decisions += other.decisions
}

func (t *totals) result(name string) PolicyResult {
	r := t.sum
	r.Policy = name
	for _, class := range []string{"urgent", "ordinary", "patient", AllClasses} {
		r.Classes = append(r.Classes, classResult(class, t.slowdowns[class]))
	}
	if counted := len(t.slowdowns[AllClasses]); counted > 0 {
		r.MeanCompletionMillis = t.completion / int64(counted)
	}
	r.Fragmentation = share(t.meter.unusableTime, t.meter.freeTime)
	r.FragmentationLargest = share(t.meter.unusableLargestTime, t.meter.freeTime)
	r.Utilisation = share(t.meter.usedTime, t.meter.presentTime)
	r.WorkDone = share(t.meter.workedTime, t.meter.speedTime)
	r.Preemptions, r.Moves, r.Decisions = t.meter.preemptions, t.meter.moves, t.meter.decisions
	r.LostToPreemptionHours = hours(t.meter.lostToPreemption)
	r.LostToMovesHours = hours(t.meter.lostToMoves)
	r.LostToFailuresHours = hours(t.meter.lostToFailures)
	slices.Sort(t.waits)
	r.UrgentStartP99Millis = quantile(t.waits, 99)
	r.UrgentStartMaxMillis = quantile(t.waits, 100)
	t.countViolations(&r)
	return r
}

func (t *totals) countViolations(r *PolicyResult) {
	slices.SortStableFunc(t.violations, func(a, b Violation) int {
		return cmp.Compare(a.TimeMillis, b.TimeMillis)
	})
	for _, violation := range t.violations {
		switch violation.Invariant {
		case GuaranteeMissed:
			r.GuaranteeViolations++
		case PartialGang:
			r.PartialGangs++
		case Overlap:
			r.Overlaps++
		case QuotaExceeded:
			r.QuotaViolations++
		case UrgentLate:
			// Counted by job, started or not.
		default:
			r.OtherViolations++
		}
	}
	r.Violations = t.violations[:min(len(t.violations), MaxViolations)]
}

func classResult(name string, slowdowns []float64) ClassResult {
	slices.Sort(slowdowns)
	sum := 0.0
	for _, slowdown := range slowdowns {
		sum += slowdown
	}
	result := ClassResult{
		Class:       name,
		Jobs:        len(slowdowns),
		P95Slowdown: quantile(slowdowns, 95),
		P99Slowdown: quantile(slowdowns, 99),
	}
	if len(slowdowns) > 0 {
		result.MeanSlowdown = sum / float64(len(slowdowns))
	}
	return result
}

// quantile is the nearest-rank percentile of sorted values; zero of none.
func quantile[V any](sorted []V, percent int) V {
	var none V
	if len(sorted) == 0 {
		return none
	}
	const whole = 100
	rank := (len(sorted)*percent + whole - 1) / whole
	return sorted[max(rank, 1)-1]
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func hours(millis int64) float64 {
	const millisPerHour = 3_600_000
	return float64(millis) / millisPerHour
}
