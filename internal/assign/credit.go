package assign

import (
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// maxRelativeWork limits the work of a job, relative to the mean of its queue, that counts for its credit.
	maxRelativeWork = 5.0
	// baseCreditShare is the part of the credit of a job of mean work that doesn't depend on its work.
	baseCreditShare = 0.3
	// minSlackStops is the minimum slack of a job, in multiples of the time that a run takes to stop, with which it can wait
	// for a preemption. The slack must also cover the start, imprecise estimates and other jobs that wait for the same workers.
	minSlackStops = 10
	// LateFactor times TimeToObjective is how long after it was due a job that misses its objective still earns part of
	// its credit.
	LateFactor = 3
)

// Expectations are the expected durations of a task of each step of a job on a worker of speed 1, in the order of the steps.
type Expectations []time.Duration

// Declared returns the durations that the caller declared. They are what is expected where nothing better is known.
func Declared(spec *storev1.Job) Expectations {
	expected := make(Expectations, len(spec.GetSteps()))
	for i, step := range spec.GetSteps() {
		expected[i] = Estimate(step)
	}
	return expected
}

// Estimate returns the declared duration of a task of the step on a worker of speed 1.
func Estimate(step *storev1.Step) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// TaskWork returns the work of one task of a step in core-seconds.
func TaskWork(step *storev1.Step, expected time.Duration) float64 {
	return ResourcesFromProto(step.GetNeed()).CoreEquivalent() * expected.Seconds()
}

// JobWork returns the work of one occurrence of a job in core-seconds.
func JobWork(spec *storev1.Job, expected Expectations) float64 {
	work := 0.0
	for i, step := range spec.GetSteps() {
		work += float64(step.GetCount()) * TaskWork(step, expected[i])
	}
	return work
}

// CriticalPaths returns for each step the time from its start to the end of the job at speed 1: its own expected duration and
// those on the longest path of steps that depend on it.
func CriticalPaths(spec *storev1.Job, expected Expectations) []time.Duration {
	steps := spec.GetSteps()
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += expected[i]
		for _, earlier := range steps[i].GetAfter() {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

// IsUrgent reports whether a job has the highest priority (0) and so little slack before its objective that it can't wait
// for a preemption; stop is how long a run takes to stop.
func IsUrgent(spec *storev1.Job, expected Expectations, stop time.Duration) bool {
	return spec.GetPriority() == 0 && TimeToObjective(spec, expected, 1)-criticalPath(spec, expected) < minSlackStops*stop
}

// criticalPath returns the sum of the expected durations on the longest path of dependent steps.
func criticalPath(spec *storev1.Job, expected Expectations) time.Duration {
	length := time.Duration(0)
	for _, path := range CriticalPaths(spec, expected) {
		length = max(length, path)
	}
	return length
}

// TimeToObjective returns the time from when a job is due to its objective, the end of the time in which it earns its full
// credit: its critical path on a worker of the given speed times its stretch factor, plus its target duration.
func TimeToObjective(spec *storev1.Job, expected Expectations, speed float64) time.Duration {
	return time.Duration(spec.GetStretchFactor()*float64(criticalPath(spec, expected))/speed) +
		time.Duration(spec.GetTargetDurationMs())*time.Millisecond
}

// objectiveQuantile is the quantile of the workers' speeds on which objectives count: callers compare a job with how long it takes on a
// good worker, and the learned speeds of the very fastest are overestimated.
const objectiveQuantile = 0.8

// slowQuantile is the quantile of the known speeds that a worker of unknown speed counts as.
const slowQuantile = 0.25

// CountUnknownAsSlow gives the workers of unknown speed the speed of the slow workers of their service. So urgent units avoid them, as
// a third of a fleet may be too slow for these, and units with slack start there first, which shows their speeds soon.
func CountUnknownAsSlow(workers []Worker) {
	byService := map[string][]float64{}
	for _, worker := range workers {
		if !worker.Gone && !worker.SpeedUnknown {
			byService[worker.Service] = append(byService[worker.Service], worker.Speed)
		}
	}
	for _, speeds := range byService {
		slices.Sort(speeds)
	}
	for i := range workers {
		if worker := &workers[i]; worker.SpeedUnknown && len(byService[worker.Service]) > 0 {
			speeds := byService[worker.Service]
			worker.Speed = min(1, speeds[int(slowQuantile*float64(len(speeds)-1))])
		}
	}
}

// ObjectiveSpeeds returns the worker speed on which the objectives of jobs with learned durations count, by service: that of its fast workers.
func ObjectiveSpeeds(workers []Worker) map[string]float64 {
	byService := map[string][]float64{}
	for _, worker := range workers {
		if !worker.Gone && !worker.SpeedUnknown {
			byService[worker.Service] = append(byService[worker.Service], worker.Speed)
		}
	}
	fast := make(map[string]float64, len(byService))
	for service, speeds := range byService {
		slices.Sort(speeds)
		fast[service] = max(1, speeds[int(objectiveQuantile*float64(len(speeds)-1))])
	}
	return fast
}

// Credit returns what a job earns if it ends by its objective. It decreases with the priority number and grows with the work
// of the job relative to meanWork, the mean work in its queue in core-seconds; 0 means that the mean is unknown.
func Credit(spec *storev1.Job, expected Expectations, meanWork float64) float64 {
	relative := 1.0
	if meanWork > 0 {
		relative = JobWork(spec, expected) / meanWork
	}
	return (baseCreditShare + (1-baseCreditShare)*min(relative, maxRelativeWork)) / float64(1+spec.GetPriority())
}
