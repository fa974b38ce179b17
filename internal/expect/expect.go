// Package expect combines what has been learned of durations with what the runs of a job itself show. It is pure: callers pass times.
//
// A step starts with the prediction for its work. Its own tasks that have finished, or that report progress, then count for more, as the
// tasks of a step take about the same time. Runs that have lasted for longer than predicted raise the expectation.
package expect

import (
	"math"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

const (
	// taskSpread is the standard deviation of the logarithms of the durations of one step's tasks, and observedSpread that of what a
	// task shows of its step: the speed of its worker isn't known exactly either.
	taskSpread     = 0.15
	observedSpread = 0.2
	// speedMargin allows for the errors of learned speeds, some per cent, and for starts and ends that are noticed late.
	speedMargin = 1.1
	// minPriorSpread is the least spread of the durations of different steps that is assumed where a step's own tasks show something else.
	minPriorSpread = 0.35
	// minShare is the progress of a run from which on it shows how long the run takes: progress is reported in whole percent, and late.
	minShare = 0.1
)

// Run is a run in progress.
type Run struct {
	// Elapsed is for how long all its members have run.
	Elapsed time.Duration
	// Speed is that of its slowest worker.
	Speed float64
	// Share is the progress, from 0 to 1, of the member that has made the least, as reported when the run had run for At; it was BaseShare
	// at BaseAt.
	Share, BaseShare float64
	At, BaseAt       time.Duration
	// Partial is true if the run shows nothing about the duration of a whole task: it resumed from a checkpoint, or it runs more slowly
	// than its workers, away from its data or on several racks.
	Partial bool
}

// total returns the duration of a run as its progress shows it; 0 if there is too little.
func (r Run) total() time.Duration {
	made := r.Share - r.BaseShare
	if made < minShare || r.At <= r.BaseAt {
		return 0
	}
	perShare := float64(r.At-r.BaseAt) / made
	return r.At + time.Duration(perShare*(1-r.Share))
}

// atSpeed1 returns a duration as it would be on a worker of speed 1.
func atSpeed1(duration time.Duration, speed float64) time.Duration {
	return time.Duration(float64(duration) * speed)
}

// Occurrence holds the expected durations of one execution of a job's steps.
type Occurrence struct {
	job *Job
	// durations is nil if the declared estimates are used.
	durations *learned.Durations
	declared  assign.Expectations
	// Expected has the expected duration of a task of each step, as of the latest update by Model.Update.
	Expected assign.Expectations
	steps    []step
}

// step is what is known of a step.
type step struct {
	// series is nil if the duration of the step isn't learned.
	series *learned.Series
	// tasks is the number of its tasks, units that of its tasks or gangs, finished the number of those that have finished, and sumLogs
	// the sum of the logarithms of
	// their durations in seconds.
	tasks, units, finished int
	sumLogs                float64
	// sampled is the weight of the samples that were taken of the step so far, and countedFinished the number of known durations in them.
	sampled float64
	// predicted is what was predicted before its first task started; 0 before.
	predicted time.Duration
	// inProgress is the number of runs in progress whose progress shows their duration, and progressLogs the sum of their logarithms; longest
	// is for how long the longest of the others has run, at speed 1.
	inProgress   int
	progressLogs float64
	longest      time.Duration
}

// Occurrence returns the expectations of the next execution of the job.
func (j *Job) Occurrence() *Occurrence {
	durations, spec := j.model.durations, j.spec
	o := &Occurrence{job: j, durations: durations, declared: assign.Declared(spec), steps: make([]step, len(spec.GetSteps()))}
	for i, s := range spec.GetSteps() {
		o.steps[i].tasks, o.steps[i].units = int(s.GetCount()), int(s.GetCount())
		if s.GetGang() {
			o.steps[i].units = 1
		}
		if durations != nil && !s.GetLongRunning() {
			o.steps[i].series = durations.Series(learned.Work{
				Account: spec.GetAccount(), Queue: spec.GetQueue(), Shape: learned.ShapeOf(s),
			})
		}
	}
	o.update()
	j.latest = o
	return o
}

// Learned reports whether the expected duration of a step isn't the declared one.
func (o *Occurrence) Learned(index int) bool {
	return o.steps[index].series != nil && o.steps[index].series.Learned()
}

// Margin returns the factor by which a step is assumed to exceed its expected duration; 0 if that is the declared estimate. It contains neither
// the error of the expectation nor the slowest of the step's tasks: where these make a job take longer, its objective is later as well.
func (o *Occurrence) Margin(index int) float64 {
	if !o.Learned(index) {
		return 0
	}
	return speedMargin
}

// Reset forgets the runs in progress; the caller then adds those that there are.
func (o *Occurrence) Reset() {
	for i := range o.steps {
		o.steps[i].inProgress, o.steps[i].progressLogs, o.steps[i].longest = 0, 0, 0
	}
}

// Add adds a run in progress of a step.
func (o *Occurrence) Add(index int, r Run) {
	st := &o.steps[index]
	if st.series == nil {
		return
	}
	o.notePrediction(index)
	if r.Partial {
		return
	}
	if total := r.total(); total > 0 {
		st.inProgress++
		st.progressLogs += math.Log(max(atSpeed1(total, r.Speed), time.Millisecond).Seconds())
		return
	}
	st.longest = max(st.longest, atSpeed1(r.Elapsed, r.Speed))
}

// notePrediction keeps what is predicted of a step before its first task runs.
func (o *Occurrence) notePrediction(index int) {
	if st := &o.steps[index]; st.predicted == 0 {
		st.predicted = max(time.Millisecond, st.series.Predict(o.declared[index]).Median)
	}
}

// running appends what the runs in progress of the steps show that have nothing better yet, for Durations.SetRunning.
func (o *Occurrence) running(running []learned.Running) []learned.Running {
	for i := range o.steps {
		if st := &o.steps[i]; st.longest > 0 && st.finished == 0 && st.inProgress == 0 {
			running = append(running, learned.Running{Series: st.series, Declared: o.declared[i], Elapsed: st.longest})
		}
	}
	return running
}

// Finish records that a task or gang of a step has finished. Its whole duration at speed 1 is 0 if it isn't known.
func (o *Occurrence) Finish(index int, duration time.Duration, now time.Time) {
	st := &o.steps[index]
	if st.series == nil {
		return
	}
	o.durations.CountFinished(st.series)
	if duration <= 0 {
		return
	}
	o.notePrediction(index)
	st.finished++
	st.sumLogs += math.Log(max(duration, time.Millisecond).Seconds())
	// A step of several tasks is learned from twice, as the first tasks to finish are the short ones.
	weight := 0.5
	switch {
	case st.units == 1:
		weight = 1
	case st.finished > 1 && (2*st.finished < st.units || st.sampled >= 1):
		return
	}
	st.sampled += weight
	mean := time.Duration(math.Exp(st.sumLogs/float64(st.finished)) * float64(time.Second))
	o.durations.Observe(st.series, learned.StepDuration{
		Declared: o.declared[index], Predicted: st.predicted, Actual: mean, Weight: weight, At: now,
	})
}

// update updates Expected.
func (o *Occurrence) update() {
	o.Expected = append(o.Expected[:0], o.declared...)
	for i := range o.steps {
		if o.Learned(i) {
			o.Expected[i] = o.distribution(i).Median
		}
	}
}

// distribution returns the distribution of the duration of a task of a step that isn't running, or whose run shows nothing.
func (o *Occurrence) distribution(index int) learned.Distribution {
	st := &o.steps[index]
	if st.series == nil {
		return learned.Distribution{Median: o.declared[index], Spread: learned.PriorSpread}
	}
	prior := st.series.Predict(o.declared[index])
	observed := float64(st.finished + st.inProgress)
	switch {
	case !st.series.Learned() || prior.Median <= 0:
		return prior
	case observed == 0 && st.longest > 0:
		median, _ := prior.Remaining(st.longest)
		return learned.Distribution{Median: st.longest + median, Spread: prior.Spread}
	case observed == 0:
		return prior
	}
	// Both are weighted by the inverse of their variance.
	priorSpread := max(prior.Spread, minPriorSpread)
	priorWeight, observedWeight := 1/(priorSpread*priorSpread), observed/(observedSpread*observedSpread)
	mean := (priorWeight*math.Log(prior.Median.Seconds()) + observedWeight*(st.sumLogs+st.progressLogs)/observed) /
		(priorWeight + observedWeight)
	return learned.Distribution{
		Median: max(time.Millisecond, time.Duration(math.Exp(mean)*float64(time.Second))),
		Spread: math.Sqrt(1/(priorWeight+observedWeight) + taskSpread*taskSpread),
	}
}

// Remaining returns the expected time until a run of a step ends, and the time within which it ends with a probability of 90%.
func (o *Occurrence) Remaining(index int, r Run) (median, high time.Duration) {
	if total := r.total(); total > 0 {
		return learned.Distribution{Median: total, Spread: taskSpread}.Remaining(r.Elapsed)
	}
	whole := o.distribution(index)
	if st := &o.steps[index]; st.longest > 0 && st.finished+st.inProgress == 0 && st.series.Learned() {
		// The distribution of the step is already that of durations that exceed its longest run.
		whole = st.series.Predict(o.declared[index])
	}
	whole.Median = time.Duration(float64(whole.Median) * (1 - r.BaseShare) / r.Speed)
	return whole.Remaining(r.Elapsed)
}
