package learned_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// speedFleet generates samples of steps on workers of known speeds.
type speedFleet struct {
	random *rand.Rand
	speeds learned.Speeds
	known  []*learned.Speed
	actual []float64
	// estimateError and spread are standard deviations of logarithms.
	estimateError, spread float64
	now                   time.Time
}

func newSpeedFleet(seed uint64, workers int, actual ...float64) *speedFleet {
	f := &speedFleet{random: rand.New(rand.NewPCG(seed, 1)), estimateError: 0.9, spread: 0.15, now: time.Unix(1_700_000_000, 0)}
	for i := range workers {
		f.known = append(f.known, &learned.Speed{})
		f.actual = append(f.actual, actual[i%len(actual)])
	}
	return f
}

// runStep runs a step whose tasks take 6 s on average, each on one of the given workers, and reports their progress every
// eighth in turn.
func (f *speedFleet) runStep(workers ...int) {
	typical := 6 * math.Exp(0.5*f.random.NormFloat64())
	estimate := typical * math.Exp(f.estimateError*f.random.NormFloat64())
	var step learned.StepRate
	tasks := make([]learned.TaskRate, len(workers))
	durations := make([]float64, len(workers))
	for i := range durations {
		durations[i] = typical * math.Exp(f.spread*f.random.NormFloat64())
	}
	const reports = 8
	for range reports {
		for i, worker := range workers {
			f.speeds.AddSample(f.known[worker], &step, &tasks[i], learned.SpeedSample{
				At: f.now, Share: 1.0 / reports, Elapsed: seconds(durations[i] / f.actual[worker] / reports), Estimate: seconds(estimate),
				Workers: 1,
			})
		}
		f.now = f.now.Add(seconds(typical / reports))
	}
}

// runLoneTask runs a step of one task, or of one gang on several workers.
func (f *speedFleet) runLoneTask(workers ...int) {
	typical := 2.2 * math.Exp(0.3*f.random.NormFloat64())
	slowest := workers[0]
	actual := f.actual[slowest]
	for _, worker := range workers {
		actual = min(actual, f.actual[worker])
		if f.known[worker].Value() < f.known[slowest].Value() {
			slowest = worker
		}
	}
	f.speeds.AddSample(f.known[slowest], &learned.StepRate{}, &learned.TaskRate{}, learned.SpeedSample{
		At: f.now, Share: 1, Elapsed: seconds(typical * math.Exp(f.spread*f.random.NormFloat64()) / actual),
		Estimate: seconds(typical * math.Exp(f.estimateError*f.random.NormFloat64())), Workers: len(workers),
	})
}

// choose returns distinct workers.
func (f *speedFleet) choose(count int) []int { return f.random.Perm(len(f.known))[:count] }

// deviation returns the standard deviation of the logarithm of the learned speeds from the actual ones.
func (f *speedFleet) deviation() float64 {
	sum := 0.0
	for i, known := range f.known {
		sum += math.Pow(math.Log(known.Value()/f.actual[i]), 2)
	}
	return math.Sqrt(sum / float64(len(f.known)))
}

// Guards against learned speeds that reflect the errors of declared estimates instead of the workers.
func TestSpeedsAreLearnedDespiteWrongEstimates(t *testing.T) {
	for seed := range uint64(5) {
		f := newSpeedFleet(seed, 350, 0.8, 1, 1.25)
		for range 100 {
			f.runStep(f.choose(39)...)
			f.speeds.Recenter(f.known)
			for range 10 {
				f.runLoneTask(f.choose(1)...)
				f.runLoneTask(f.choose(13)...)
			}
		}
		if got := f.deviation(); got > 0.09 {
			t.Errorf("seed %d: the learned speeds deviate by %.3f after 11 runs on each worker, want at most 0.09", seed, got)
		}
	}
}

// Guards against speeds that are learned no more where no step has several tasks, although the estimates there are good.
func TestSpeedsAreLearnedFromGoodEstimates(t *testing.T) {
	f := newSpeedFleet(1, 60, 0.8, 1, 1.25)
	f.estimateError = 0.1
	for range 40 {
		for _, worker := range f.choose(60) {
			f.runLoneTask(worker)
		}
		f.now = f.now.Add(3 * time.Second)
		f.speeds.Recenter(f.known)
	}
	if got := f.deviation(); got > 0.09 {
		t.Errorf("the learned speeds deviate by %.3f after 40 lone tasks on each worker, want at most 0.09", got)
	}
}

// Guards against a worker that has become slow and gets tasks for long as if it were fast.
func TestWorkerThatTurnsSlowIsNoticed(t *testing.T) {
	f := newSpeedFleet(3, 60, 0.8, 1, 1.25)
	for range 200 {
		f.runStep(f.choose(20)...)
		f.speeds.Recenter(f.known)
	}
	const slow = 4
	f.actual[slow] /= 3
	for range 3 {
		f.runStep(append(f.choose(20), slow)...)
	}
	if got := f.known[slow].Value(); got > 1.4*f.actual[slow] {
		t.Errorf("the speed is %.2f three runs after it fell to %.2f, want at most 1.4 times that", got, f.actual[slow])
	}
	if got := f.deviation(); got > 0.1 {
		t.Errorf("the speeds deviate by %.3f, want at most 0.1: a slow worker must not change those of the others", got)
	}
	f.actual[slow] *= 3
	for range 3 {
		f.runStep(append(f.choose(20), slow)...)
	}
	if got := f.known[slow].Value(); got < f.actual[slow]/1.4 {
		t.Errorf("the speed is %.2f three runs after it rose to %.2f again, want at least that divided by 1.4", got, f.actual[slow])
	}
}

// Guards against a scale that drifts with the errors of estimates, or that follows a group of workers that becomes slow.
func TestTypicalSpeedStaysOne(t *testing.T) {
	f := newSpeedFleet(4, 120, 0.8, 1, 1.25)
	for round := range 1000 {
		if round == 500 {
			for i := range 30 {
				f.actual[i] /= 4
			}
		}
		f.runStep(f.choose(20)...)
		f.runLoneTask(f.choose(5)...)
		f.speeds.Recenter(f.known)
		var sound []float64
		for i := 30; i < len(f.known); i++ {
			sound = append(sound, f.known[i].Value())
		}
		slices.Sort(sound)
		if median := sound[len(sound)/2]; median < 0.8 || median > 1.25 {
			t.Fatalf("the median speed of the sound workers is %.2f in round %d, want 0.8 to 1.25", median, round)
		}
	}
}

// Guards against a gang on workers that are equally fast which changes the speeds of all members.
func TestGangTellsOfItsSlowestMemberOnly(t *testing.T) {
	f := newSpeedFleet(5, 30, 0.8, 1, 1.25)
	for range 100 {
		f.runStep(f.choose(15)...)
	}
	before := make([]float64, len(f.known))
	for i := range f.known {
		before[i] = f.known[i].Value()
	}
	f.runLoneTask(0, 1, 2) // worker 0 is the slowest
	for i := 1; i < len(f.known); i++ {
		if f.known[i].Value() != before[i] {
			t.Errorf("the speed of worker %d changed from %v to %v", i, before[i], f.known[i].Value())
		}
	}
}

// Guards against a speed that is no number for good after two reports at the same time about a task without an estimate.
func TestSpeedIgnoresEmptySamples(t *testing.T) {
	var speeds learned.Speeds
	var speed learned.Speed
	speeds.AddSample(&speed, &learned.StepRate{}, &learned.TaskRate{}, learned.SpeedSample{Share: 0.5})
	speeds.AddSample(&speed, &learned.StepRate{}, &learned.TaskRate{}, learned.SpeedSample{Share: 0.5, Elapsed: time.Second})
	speeds.Recenter([]*learned.Speed{&speed})
	if speed.Value() != 1 || speed.Samples() != 0 {
		t.Errorf("the speed is %v of %d samples, want 1 of none", speed.Value(), speed.Samples())
	}
}

func BenchmarkAddSample(b *testing.B) {
	f := newSpeedFleet(1, 350, 0.8, 1, 1.25)
	var step learned.StepRate
	var task learned.TaskRate
	for b.Loop() {
		f.speeds.AddSample(f.known[0], &step, &task, learned.SpeedSample{At: f.now, Share: 0.125, Elapsed: time.Second, Estimate: time.Second})
	}
}
