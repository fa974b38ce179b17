// Package forecast states during a shortage which new jobs would end too late to be of use.
//
// The owner summarises its snapshot; every instance judges new jobs by the summary. Both are pure functions. A job counts as too late
// only if that is nearly certain, because a job that is refused without need is lost, and one that is accepted in vain only waits behind
// those that are still of use.
package forecast

import (
	"maps"
	"math"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// Validity is how long a summary counts from when it was read.
	Validity = 3 * time.Second
	// certainShare is the part of the work ahead of a job that is assumed to be done before it. The rest may be cancelled, fail or become
	// too late itself.
	certainShare = 0.7
	// pathMargin is the factor by which a job's critical path is assumed to exceed the declared one: the objective grows with it.
	pathMargin = 1.25
	// speedMargin is the factor by which work may be done faster than now.
	speedMargin = 1.25
)

// Summarise returns the forecast of the services with a shortage after a plan for the snapshot; nil if there is none. largest has the
// largest amount of each resource that a worker of the service has had, as far as it is known for certain, and meanWork the mean work of
// a job by queue, in core-seconds.
func Summarise(snapshot *assign.Snapshot, plan *assign.Plan, largest map[string]assign.Resources, meanWork map[string]float64) *storev1.Forecast {
	forecast := &storev1.Forecast{ValidMs: Validity.Milliseconds(), Services: map[string]*storev1.ServiceForecast{}}
	started := make(map[replica.Task]bool, len(plan.Starts))
	for _, start := range plan.Starts {
		started[start.Task] = true
	}
	for service, short := range snapshot.Shares.Short {
		if short {
			forecast.Services[service] = summariseService(snapshot, started, service)
			forecast.Services[service].MeanWork = meanWork
			if known, ok := largest[service]; ok {
				forecast.Services[service].Largest = &storev1.Resources{
					CpuMillicores: uint32(known.CPU), MemoryMb: uint32(known.Memory), Accelerators: uint32(known.Accelerators), //nolint:gosec // not negative.
				}
			}
		}
	}
	if len(forecast.Services) == 0 {
		return nil
	}
	return forecast
}

// Largest returns the largest amount of each resource of a worker by service: of those in known and in the snapshot.
func Largest(known map[string]assign.Resources, snapshot *assign.Snapshot) map[string]assign.Resources {
	largest := maps.Clone(known)
	if largest == nil {
		largest = map[string]assign.Resources{}
	}
	for i := range snapshot.Workers {
		service, capacity := snapshot.Workers[i].Service, snapshot.Workers[i].Capacity
		largest[service] = assign.Resources{
			CPU: max(largest[service].CPU, capacity.CPU), Memory: max(largest[service].Memory, capacity.Memory),
			Accelerators: max(largest[service].Accelerators, capacity.Accelerators),
		}
	}
	return largest
}

func summariseService(snapshot *assign.Snapshot, started map[replica.Task]bool, service string) *storev1.ServiceForecast {
	out := &storev1.ServiceForecast{}
	for i := range snapshot.Workers {
		if worker := &snapshot.Workers[i]; worker.Service == service && !worker.Gone {
			out.CoresInUse += max(0, worker.Capacity.Sub(worker.Free).CoreEquivalent())
		}
	}
	work, waits := map[uint32]map[int32]float64{}, map[assign.ShareKey]bool{}
	for i := range snapshot.Waiting {
		unit := &snapshot.Waiting[i]
		// What has become too late waits behind a new job.
		if unit.Service != service || started[unit.Task] || snapshot.Now.Add(unit.Remaining).After(unit.LateUntil) {
			continue
		}
		if work[unit.Priority] == nil {
			work[unit.Priority] = map[int32]float64{}
		}
		work[unit.Priority][quarterExponent(assign.Density(unit, snapshot.Now))] += unit.OwnWork()
		waits[assign.ShareKey{Service: service, Priority: unit.Priority, Account: unit.Account}] = true
	}
	for _, priority := range slices.Sorted(maps.Keys(work)) {
		level := &storev1.PriorityForecast{Priority: priority}
		for _, exponent := range slices.Backward(slices.Sorted(maps.Keys(work[priority]))) {
			level.Waiting = append(level.Waiting, &storev1.WaitingWork{DensityQuarterExponent: exponent, CoreSeconds: work[priority][exponent]})
		}
		for key := range waits {
			if due, known := snapshot.Shares.Due[key]; known && key.Priority == priority && snapshot.Shares.InUse[key] >= due {
				level.AtShare = append(level.AtShare, key.Account)
			}
		}
		slices.Sort(level.GetAtShare())
		out.Priorities = append(out.Priorities, level)
	}
	return out
}

// quarterExponent returns four times the binary logarithm of a density, rounded down: densities that differ by less than a fifth count as
// equal, as they depend on estimates.
func quarterExponent(density float64) int32 {
	const quarters = 4
	return int32(math.Floor(quarters * math.Log2(max(density, math.SmallestNonzeroFloat64))))
}

// Verdict is what a forecast says about a new job.
type Verdict struct {
	// NeverFits is true if no worker has what one of the job's tasks needs; Need and Largest are what it needs and what there is.
	NeverFits     bool
	Need, Largest assign.Resources
	// TooLate is true if the job would end too late to be of use. Start is the earliest time to its start.
	TooLate bool
	Start   time.Duration
	// RetryAfter is the time after which a job like it would start in time, and Work the time that the service takes for its work.
	RetryAfter, Work time.Duration
}

// Judge returns what the forecast of a service says about a new job that is due now.
func Judge(forecast *storev1.ServiceForecast, job *storev1.Job) Verdict {
	if verdict := judgeSize(forecast, job); verdict.NeverFits {
		return verdict
	}
	start, known := earliestStart(forecast, job)
	if !known {
		return Verdict{}
	}
	expected := assign.Declared(job)
	for i := range expected {
		expected[i] = time.Duration(pathMargin * float64(expected[i]))
	}
	path := slices.Max(append(assign.CriticalPaths(job, expected), 0))
	useful := assign.LateFactor * assign.TimeToObjective(job, expected, 1)
	if job.GetSchedule() != nil || start+path <= useful {
		return Verdict{Start: start}
	}
	work := time.Duration(assign.JobWork(job, assign.Declared(job)) / forecast.GetCoresInUse() * float64(time.Second))
	return Verdict{TooLate: true, Start: start, RetryAfter: start + path - useful, Work: work}
}

// judgeSize reports whether a task of the job needs more of some resource than any worker has.
func judgeSize(forecast *storev1.ServiceForecast, job *storev1.Job) Verdict {
	if forecast.GetLargest() == nil {
		return Verdict{}
	}
	largest := assign.ResourcesFromProto(forecast.GetLargest())
	for _, step := range job.GetSteps() {
		if need := assign.ResourcesOf(step); !largest.Contains(need) {
			return Verdict{NeverFits: true, Need: need, Largest: largest}
		}
	}
	return Verdict{}
}

// earliestStart returns the time in which what certainly is served before a new job is done; false if nothing is. A job of an account
// below its share passes all that waits.
func earliestStart(forecast *storev1.ServiceForecast, job *storev1.Job) (time.Duration, bool) {
	rate := speedMargin * forecast.GetCoresInUse()
	atShare := slices.ContainsFunc(forecast.GetPriorities(), func(level *storev1.PriorityForecast) bool {
		return level.GetPriority() == job.GetPriority() && slices.Contains(level.GetAtShare(), job.GetAccount())
	})
	if rate <= 0 || !atShare {
		return 0, false
	}
	expected := assign.Declared(job)
	unit := assign.Unit{
		Credit: assign.Credit(job, expected, forecast.GetMeanWork()[job.GetQueue()]), Work: assign.JobWork(job, expected),
		Objective: farFuture, LateUntil: farFuture,
	}
	// Of equal densities, those that wait for longest are served first.
	density, ahead := quarterExponent(assign.Density(&unit, time.Time{})), 0.0
	for _, level := range forecast.GetPriorities() {
		if level.GetPriority() > job.GetPriority() {
			break
		}
		for _, waiting := range level.GetWaiting() {
			if waiting.GetDensityQuarterExponent() >= density {
				ahead += waiting.GetCoreSeconds()
			}
		}
	}
	return time.Duration(certainShare * ahead / rate * float64(time.Second)), true
}

// farFuture is after all times that a job's density is computed for here.
var farFuture = time.Unix(1<<40, 0)
