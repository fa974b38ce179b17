package learned

import (
	"math"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// queueDecay and offsetDecay multiply the weight of what is known with each new step. An offset is based on fewer steps than its queue
	// and has to follow the work of one account.
	queueDecay  = 0.97
	offsetDecay = 0.94
	// priorLevel and priorSlope are the weight, in steps, of the assumption that durations are as declared: on average, and in
	// proportion to the declared estimate. The latter is multiplied by the variance of the logarithms, some 0.25.
	priorLevel = 3.0
	priorSlope = 1.0
	// priorAccount and priorShape are the weight, in steps, of the assumption that an account's work, or that of a shape, takes as
	// long as all work of the queue.
	priorAccount = 4.0
	priorShape   = 5.0
	// A residual counts as outlierDeviations standard deviations at most for the queue, and as maxResidual for its accounts and shapes.
	outlierDeviations = 2.5
	minOutlier        = 1.0
	maxResidual       = 2.5
	// minSteps is the number of steps from which on predictions are used, if the declared estimates are wrong by at least
	// minDeclaredError and the predictions were wrong by less than openErrorShare of that. They are used until that is no longer below
	// closeErrorShare. Errors are mean absolute differences of the logarithms. The bounds keep the declared estimates where they are
	// good, and where durations can't be predicted.
	minSteps         = 4.0
	minDeclaredError = 0.15
	openErrorShare   = 0.9
	closeErrorShare  = 1.0
	// errorDecay multiplies the weight of earlier errors with each new step.
	errorDecay = 0.94
	// Where the latest recentSteps steps took longer, or shorter, than predicted by the factor exp(minShift) and by shiftDeviations
	// standard deviations, the work of the queue has changed, and most of what was learned before is forgotten.
	recentSteps     = 7
	minRecentSteps  = 4
	minShift        = 0.9
	shiftDeviations = 1.8
	keptAfterShift  = 0.02
	// maxCensoredShift limits by how much runs in progress can raise what is predicted for their queue, as a logarithm.
	maxCensoredShift = 1.0
)

// Shape is what the tasks of a step have in common with those of other steps: the image if the job names one, otherwise what a task needs.
type Shape struct {
	Image                                 string
	CPUMillicores, MemoryMB, Accelerators uint32
}

// ShapeOf returns the shape of a step's tasks.
func ShapeOf(step *storev1.Step) Shape {
	if step.GetImage() != "" {
		return Shape{Image: step.GetImage()}
	}
	need := step.GetNeed()
	return Shape{CPUMillicores: need.GetCpuMillicores(), MemoryMB: need.GetMemoryMb(), Accelerators: need.GetAccelerators()}
}

// Work identifies steps whose durations are similar.
type Work struct {
	Account, Queue string
	Shape          Shape
}

// Durations predicts how long tasks take on a worker of speed 1, from those that have finished. By queue, the logarithm of the duration is a
// linear function of that of the declared estimate, and accounts, shapes and both together add an offset to it. All are shrunk
// towards the more general one, and the queue towards "as declared".
type Durations struct {
	queues map[string]*queueDurations
	series map[Work]*Series
	// changes is increased with each change of what is predicted.
	changes uint64
	// observations counts the samples.
	observations uint64
}

// NewDurations returns a predictor without history.
func NewDurations() *Durations {
	return &Durations{queues: map[string]*queueDurations{}, series: map[Work]*Series{}}
}

// Changes returns a number that increases with each change of what is predicted.
func (d *Durations) Changes() uint64 { return d.changes }

// Observations returns the number of samples that were learned from.
func (d *Durations) Observations() uint64 { return d.observations }

// Series is the history of the work with one key. It is valid as long as its Durations.
type Series struct {
	work    Work
	queue   *queueDurations
	offsets [3]*offset
}

// offsetKey identifies an offset in its queue: that of an account, of a shape, or of both together.
type offsetKey struct {
	account  string
	hasShape bool
	shape    Shape
}

// offset is a decayed sum of residuals, shrunk towards 0.
type offset struct {
	sum, weight, prior float64
	usedAt             time.Time
}

func (o *offset) value() float64 { return o.sum / (o.weight + o.prior) }

func (o *offset) add(residual, weight float64, at time.Time) {
	keep := math.Pow(offsetDecay, weight)
	o.sum, o.weight, o.usedAt = o.sum*keep+weight*residual, o.weight*keep+weight, at
}

// queueDurations is what is known of a queue. Its sums are weighted; x is the logarithm of the declared estimate and z that of the ratio of
// the duration to it, less the offsets.
type queueDurations struct {
	weight, sumX, sumXX, sumZ, sumXZ float64
	offsets                          map[offsetKey]*offset
	residuals                        residuals
	// declaredError and predictedError are weighted sums of absolute logarithms, with their weight errorWeight.
	declaredError, predictedError, errorWeight float64
	declaredFactors, predictedFactors          residuals
	inUse                                      bool
	// censoredShift is by how much runs in progress raise the prediction.
	censoredShift float64
	recent        []recentStep
	finished      uint64
	usedAt        time.Time
}

// recentStep is one of the latest observations of a queue.
type recentStep struct {
	series         *Series
	x, y, residual float64
	weight         float64
	at             time.Time
}

func newQueueDurations() *queueDurations {
	return &queueDurations{offsets: map[offsetKey]*offset{}, residuals: newResiduals(), declaredFactors: newFactors(), predictedFactors: newFactors()}
}

// Series returns the history of the work with a key.
func (d *Durations) Series(work Work) *Series {
	if known, ok := d.series[work]; ok {
		return known
	}
	queue := d.queue(work.Queue)
	s := &Series{work: work, queue: queue, offsets: [3]*offset{
		queue.offset(offsetKey{account: work.Account}),
		queue.offset(offsetKey{hasShape: true, shape: work.Shape}),
		queue.offset(offsetKey{account: work.Account, hasShape: true, shape: work.Shape}),
	}}
	d.series[work] = s
	return s
}

func (d *Durations) queue(name string) *queueDurations {
	if d.queues[name] == nil {
		d.queues[name] = newQueueDurations()
	}
	return d.queues[name]
}

func (q *queueDurations) offset(key offsetKey) *offset {
	if q.offsets[key] == nil {
		q.offsets[key] = &offset{prior: priorAccount}
		if key.hasShape {
			q.offsets[key].prior = priorShape
		}
	}
	return q.offsets[key]
}

// centre returns what the queue predicts without offsets, as a logarithm. Both the level and the slope are shrunk towards 0, that is,
// towards the declared estimate x.
func (q *queueDurations) centre(x float64) float64 {
	if q.weight <= 0 {
		return x
	}
	mean := q.sumX / q.weight
	varianceX, covariance := q.sumXX-q.sumX*mean, q.sumXZ-q.sumZ*mean
	// A slope below -1 would predict shorter durations for longer estimates.
	slope := min(max(covariance/(max(0, varianceX)+priorSlope), -1), 1)
	return x + q.sumZ/(q.weight+priorLevel) + slope*(x-mean)
}

// offset returns the sum of the offsets.
func (s *Series) offset() float64 {
	sum := 0.0
	for _, o := range s.offsets {
		sum += o.value()
	}
	return sum
}

// logMedian returns the logarithm of the predicted duration in seconds.
func (s *Series) logMedian(x float64) float64 { return s.queue.centre(x) + s.offset() }

// Learned reports whether the predictions differ from the declared estimates: only once finished runs have shown that these are worse.
func (s *Series) Learned() bool { return s.queue.inUse }

// Predict returns the distribution of the durations of tasks with a declared estimate. Its median is the estimate while no better
// prediction is in use.
func (s *Series) Predict(declared time.Duration) Distribution {
	spread := s.queue.residuals.spread()
	if !s.queue.inUse {
		return Distribution{Median: declared, Spread: spread}
	}
	return Distribution{Median: fromLog(s.logMedian(toLog(declared)) + s.queue.censoredShift), Spread: spread}
}

// StepDuration is what finished tasks of one step show. Tasks of a step take about the same time, so all of them together count as one observation:
// the weights of a step's samples add up to 1.
type StepDuration struct {
	// Declared is the declared estimate, Predicted what was predicted before the step's first task started, and Actual the duration on
	// a worker of speed 1.
	Declared, Predicted, Actual time.Duration
	Weight                      float64
	At                          time.Time
}

// CountFinished counts a finished run.
func (d *Durations) CountFinished(s *Series) { s.queue.finished++ }

// Observe learns from a sample.
func (d *Durations) Observe(s *Series, sample StepDuration) {
	if sample.Actual <= 0 || sample.Weight <= 0 {
		return
	}
	d.changes++
	d.observations++
	q, x, y := s.queue, toLog(sample.Declared), toLog(sample.Actual)
	q.usedAt = sample.At
	declaredError, predictedError := math.Abs(y-x), math.Abs(y-toLog(sample.Predicted))
	q.declaredFactors.add(math.Exp(declaredError), sample.Weight)
	q.predictedFactors.add(math.Exp(predictedError), sample.Weight)
	residual := y - s.logMedian(x)
	q.residuals.add(math.Exp(residual), sample.Weight)
	q.recent = append(q.recent, recentStep{s, x, y, residual, sample.Weight, sample.At})
	if len(q.recent) > recentSteps {
		q.recent = q.recent[1:]
	}
	q.learn(s, x, y, sample.Weight, sample.At)
	if q.hasShifted() {
		q.restart()
	}
	q.judge()
}

// learn updates the errors, the queue and the offsets with one observation.
func (q *queueDurations) learn(s *Series, x, y, weight float64, at time.Time) {
	before := s.logMedian(x)
	keepError := math.Pow(errorDecay, weight)
	q.declaredError = q.declaredError*keepError + weight*math.Abs(y-x)
	q.predictedError = q.predictedError*keepError + weight*math.Abs(y-before)
	q.errorWeight = q.errorWeight*keepError + weight

	outlier := max(minOutlier, outlierDeviations*q.residuals.spread())
	z := before + clamp(y-before, outlier) - s.offset() - x
	keep := math.Pow(queueDecay, weight)
	q.weight = q.weight*keep + weight
	q.sumX = q.sumX*keep + weight*x
	q.sumXX = q.sumXX*keep + weight*x*x
	q.sumZ = q.sumZ*keep + weight*z
	q.sumXZ = q.sumXZ*keep + weight*x*z

	target := before + clamp(y-before, maxResidual)
	for _, o := range s.offsets {
		others := s.offset() - o.value()
		o.add(target-q.centre(x)-others, weight, at)
	}
}

// judge decides whether predictions are used.
func (q *queueDurations) judge() {
	declared, predicted := q.declaredError/q.errorWeight, q.predictedError/q.errorWeight
	switch {
	case q.errorWeight < minSteps && !q.inUse:
	case declared < minDeclaredError, predicted >= closeErrorShare*declared:
		q.inUse = false
	case predicted < openErrorShare*declared:
		q.inUse = true
	}
}

// hasShifted reports whether the latest steps show that the work of the queue has changed. Each account counts once: the tasks of one
// account that are not like the others' are a matter of its offset.
func (q *queueDurations) hasShifted() bool {
	if len(q.recent) < minRecentSteps {
		return false
	}
	byAccount := map[string][]float64{}
	for _, step := range q.recent {
		account := step.series.work.Account
		byAccount[account] = append(byAccount[account], step.residual)
	}
	var medians []float64
	for _, values := range byAccount {
		medians = append(medians, median(values))
	}
	shift := median(medians)
	if len(medians) == 2 && math.Abs(medians[0]) < math.Abs(medians[1]) {
		shift = medians[0]
	} else if len(medians) == 2 {
		shift = medians[1]
	}
	return math.Abs(shift) > max(minShift, shiftDeviations*q.residuals.spread())
}

// restart forgets most of what was learned of the queue, and learns the latest steps anew that show that its work has changed.
func (q *queueDurations) restart() {
	steps := q.recent
	shift := 0.0
	for _, step := range steps {
		shift += step.residual
	}
	for _, sum := range []*float64{
		&q.weight, &q.sumX, &q.sumXX, &q.sumZ, &q.sumXZ, &q.declaredError, &q.predictedError, &q.errorWeight,
	} {
		*sum *= keptAfterShift
	}
	for _, o := range q.offsets {
		o.sum, o.weight = o.sum*keptAfterShift, o.weight*keptAfterShift
	}
	q.recent, q.residuals = nil, newResiduals()
	for _, step := range steps {
		if math.Abs(step.residual) > minShift/2 && math.Signbit(step.residual) == math.Signbit(shift) {
			q.learn(step.series, step.x, step.y, step.weight, step.at)
		}
	}
}

// Running is a step with runs in progress, none of which has finished yet.
type Running struct {
	Series   *Series
	Declared time.Duration
	// Elapsed is for how long the longest of its runs has run, at speed 1.
	Elapsed time.Duration
}

// SetRunning takes into account what the runs in progress show: that they take longer than they have taken so far. Otherwise only the short
// ones would be learned from at first. Each step that has run for longer than predicted counts as one observation of its expected
// logarithm; the others show nothing yet.
func (d *Durations) SetRunning(running []Running) {
	excess, count := map[*queueDurations]float64{}, map[*queueDurations]float64{}
	for _, r := range running {
		q := r.Series.queue
		predicted := Distribution{Median: fromLog(r.Series.logMedian(toLog(r.Declared))), Spread: q.residuals.spread()}
		if r.Elapsed <= predicted.Median {
			continue
		}
		excess[q] += min(predicted.meanExcess(r.Elapsed), maxResidual)
		count[q]++
	}
	for _, q := range d.queues {
		shift := min(excess[q]/(q.weight+priorLevel+count[q]), maxCensoredShift)
		if math.Abs(shift-q.censoredShift) > censoredResolution {
			q.censoredShift = shift
			d.changes++
		}
	}
}

// censoredResolution is the smallest change of a shift that changes the predictions.
const censoredResolution = 0.01

// QueueAccuracy is how well the durations of a queue's steps are known beforehand.
type QueueAccuracy struct {
	FinishedRuns uint64
	// DeclaredFactor and PredictedFactor are the median factors by which the declared estimate, and the prediction that was made before the
	// step started, differ from the duration. They are 0 without history.
	DeclaredFactor, PredictedFactor float64
	// Learned is true if predictions are used in place of declared estimates.
	Learned bool
}

// Accuracy returns the accuracy for each queue with finished runs.
func (d *Durations) Accuracy() map[string]QueueAccuracy {
	all := map[string]QueueAccuracy{}
	for name, q := range d.queues {
		if q.finished > 0 {
			all[name] = QueueAccuracy{
				FinishedRuns: q.finished, Learned: q.inUse,
				DeclaredFactor: q.declaredFactors.quantile(0.5), PredictedFactor: q.predictedFactors.quantile(0.5),
			}
		}
	}
	return all
}

// toLog returns the logarithm of a duration in seconds. A duration that isn't declared counts as one second: what differs from that
// is learned like any other error.
func toLog(duration time.Duration) float64 {
	if duration <= 0 {
		duration = time.Second
	}
	return math.Log(max(duration, time.Millisecond).Seconds())
}

func fromLog(value float64) time.Duration {
	return max(time.Millisecond, scale(time.Second, math.Exp(value)))
}

// clamp limits the absolute value.
func clamp(value, limit float64) float64 { return min(max(value, -limit), limit) }
