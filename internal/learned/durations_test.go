package learned_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// history feeds a predictor with steps of one task each.
type history struct {
	durations *learned.Durations
	random    *rand.Rand
	now       time.Time
}

func newHistory(seed uint64) *history {
	return &history{learned.NewDurations(), rand.New(rand.NewPCG(seed, 0)), time.Unix(1_700_000_000, 0)}
}

func work(account string) learned.Work {
	return learned.Work{Account: account, Queue: "q", Shape: learned.Shape{Accelerators: 1}}
}

// normal returns a factor whose logarithm has the given standard deviation.
func (h *history) normal(deviation float64) float64 {
	return math.Exp(deviation * h.random.NormFloat64())
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// finish lets a step of an account finish, and returns the logarithm of the ratio of its duration to the prediction made before.
func (h *history) finish(account string, declared, actual float64) float64 {
	h.now = h.now.Add(time.Second)
	series := h.durations.Series(work(account))
	predicted := series.Predict(seconds(declared)).Median
	h.durations.CountFinished(series)
	h.durations.Observe(series, learned.StepDuration{
		Declared: seconds(declared), Predicted: predicted, Actual: seconds(actual), Weight: 1, At: h.now,
	})
	return math.Log(actual / predicted.Seconds())
}

// medianFactor returns the median factor of errors.
func medianFactor(errors []float64) float64 {
	sorted := append([]float64(nil), errors...)
	for i := range sorted {
		sorted[i] = math.Abs(sorted[i])
	}
	slices.Sort(sorted)
	return math.Exp(sorted[len(sorted)/2])
}

// Guards against predictions that are worse than the median of the queue where estimates say little. With hindsight of a whole day the median
// of such a queue has a median factor of 1.40.
func TestPredictionsAreBetterThanEstimatesThatSayLittle(t *testing.T) {
	var all []float64
	for seed := range uint64(10) {
		h := newHistory(seed)
		var declaredErrors, predictedErrors []float64
		for i := range 400 {
			actual := 2 * h.normal(0.5)
			declared := 1.6 * h.normal(0.8) // the ratio of 10, 50 and 90% is then 0.37, 1.25 and 4.2
			predictedError := h.finish(fmt.Sprint("a", i%4), declared, actual)
			if i >= 20 {
				declaredErrors = append(declaredErrors, math.Log(actual/declared))
				predictedErrors = append(predictedErrors, predictedError)
			}
		}
		all = append(all, predictedErrors...)
		declared, predicted := medianFactor(declaredErrors), medianFactor(predictedErrors)
		if predicted > 0.85*declared {
			t.Errorf("seed %d: the predictions differ by %.2f, the estimates by %.2f", seed, predicted, declared)
		}
		accuracy := h.durations.Accuracy()["q"]
		if accuracy.FinishedRuns != 400 || !accuracy.Learned || math.Abs(accuracy.DeclaredFactor-declared) > 0.6 {
			t.Errorf("seed %d: the accuracy is %+v with a median factor %.2f of the estimates", seed, accuracy, declared)
		}
	}
	if predicted := medianFactor(all); predicted > 1.05*1.40 {
		t.Errorf("the predictions differ by %.2f, want at most 5%% more than 1.40", predicted)
	}
}

// Guards against a queue with good estimates that loses them to an average.
func TestGoodEstimatesAreKept(t *testing.T) {
	for seed := range uint64(10) {
		h := newHistory(seed)
		for range 200 {
			actual := 10 * h.normal(1)
			h.finish("a", actual*h.normal(0.1), actual)
			for _, declared := range []float64{1, 10, 100} {
				if ratio := h.durations.Series(work("a")).Predict(seconds(declared)).Median.Seconds() / declared; math.Abs(math.Log(ratio)) > 0.1 {
					t.Fatalf("seed %d: an estimate of %v s has become %.2f of that", seed, declared, ratio)
				}
			}
		}
	}
}

// Guards against plans that differ from those by declared estimates before there is any history.
func TestPredictionWithoutHistoryIsTheEstimate(t *testing.T) {
	durations := learned.NewDurations()
	for _, declared := range []time.Duration{0, time.Millisecond, 4321 * time.Millisecond, time.Hour} {
		if got := durations.Series(work("a")).Predict(declared); got.Median != declared {
			t.Errorf("the prediction for an estimate of %v is %v", declared, got.Median)
		}
	}
}

// Guards against a queue whose work changes tenfold and whose predictions follow only after hundreds of runs.
func TestTenfoldChangeIsFollowed(t *testing.T) {
	for _, factor := range []float64{10, 0.1} {
		for _, accounts := range []int{1, 3, 10} {
			for seed := range uint64(20) {
				h := newHistory(seed)
				for i := range 200 {
					h.finish(fmt.Sprint("a", i%accounts), 2*h.normal(0.8), 2*h.normal(0.5))
				}
				for i := range 20 {
					h.finish(fmt.Sprint("a", i%accounts), 2*h.normal(0.8), 2*factor*h.normal(0.5))
				}
				predicted := h.durations.Series(work("a0")).Predict(2 * time.Second).Median.Seconds()
				if ratio := predicted / (2 * factor); ratio < 0.55 || ratio > 1.8 {
					t.Errorf("factor %v, %d accounts, seed %d: 20 runs after the change the prediction is %.2f of the duration",
						factor, accounts, seed, ratio)
				}
			}
		}
	}
}

// Guards against the unusual tasks of one account that change what is predicted for the others.
func TestUnusualTasksOfOneAccountStayWithIt(t *testing.T) {
	for seed := range uint64(20) {
		h := newHistory(seed)
		var others, unusual []float64
		for i := range 400 {
			account, actual := fmt.Sprint("a", i%5), 2*h.normal(0.4)
			if i%2 == 1 {
				account, actual = "unusual", 20*h.normal(0.4)
			}
			residual := h.finish(account, 2*h.normal(0.6), actual)
			switch {
			case i < 60:
			case account == "unusual":
				unusual = append(unusual, residual)
			default:
				others = append(others, residual)
			}
		}
		if bias := mean(others); math.Abs(bias) > math.Log(1.25) {
			t.Errorf("seed %d: predictions for the other accounts are off by the factor %.2f", seed, math.Exp(bias))
		}
		if bias := mean(unusual); math.Abs(bias) > math.Log(1.4) {
			t.Errorf("seed %d: predictions for the unusual account are off by the factor %.2f", seed, math.Exp(bias))
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Guards against learning from short runs alone while the long ones still go on.
func TestRunsInProgressCountAsLonger(t *testing.T) {
	h := newHistory(1)
	for range 6 {
		h.finish("a", 8, 2*h.normal(0.2))
	}
	series := h.durations.Series(work("a"))
	before := series.Predict(8 * time.Second).Median
	var running []learned.Running
	for range 12 {
		running = append(running, learned.Running{Series: series, Declared: 8 * time.Second, Elapsed: 10 * time.Second})
	}
	h.durations.SetRunning(running)
	if after := series.Predict(8 * time.Second).Median; after < before*3/2 {
		t.Errorf("twelve runs that go on after 10 s change the prediction from %v to %v only", before, after)
	}
	h.durations.SetRunning(nil)
	if after := series.Predict(8 * time.Second).Median; after != before {
		t.Errorf("without runs in progress the prediction is %v, before them it was %v", after, before)
	}
}

// Guards against a remaining time that is 0 or negative, or that shrinks to nothing for a run that has long exceeded its expectation.
func TestRemainingTimeIsPositive(t *testing.T) {
	for _, spread := range []float64{0.1, 0.15, 0.5, 1.5} {
		d := learned.Distribution{Median: 2 * time.Second, Spread: spread}
		last := time.Duration(0)
		for _, elapsed := range []time.Duration{0, 1, 1500, 2000, 3000, 5000, 20_000, 200_000, 3_600_000} {
			elapsed *= time.Millisecond
			median, high := d.Remaining(elapsed)
			if median <= 0 || high < median || elapsed+median < last {
				t.Errorf("spread %v: after %v the remaining time is %v, at most %v", spread, elapsed, median, high)
			}
			last = elapsed + median
		}
	}
	median, _ := learned.Distribution{Median: 2 * time.Second, Spread: 0.5}.Remaining(2 * time.Second)
	if want := 2 * (math.Exp(0.5*0.6745) - 1); math.Abs(median.Seconds()-want) > 0.01 {
		t.Errorf("the median of what remains at the median is %v, want %.2f s", median, want)
	}
}
