package expect_test

import (
	"math"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
)

var now = time.Unix(1_700_000_000, 0)

// job returns a job with one step of count tasks.
func job(count uint32, declared time.Duration) *storev1.Job {
	return &storev1.Job{
		Queue: "q", Account: "a", StretchFactor: 3, TargetDurationMs: 1000,
		Steps: []*storev1.Step{{Count: count, EstimateMs: declared.Milliseconds(), Need: &storev1.Resources{Accelerators: 1}}},
	}
}

// untrained returns a model without history.
func untrained(learning bool) *expect.Model { return expect.NewModel(nil, learning, events.Discard()) }

// trained returns a model after 30 jobs that took four times their estimate, give or take a third.
func trained() *expect.Model {
	model := untrained(true)
	for i := range 30 {
		factor := 4 * math.Exp(0.3*math.Sin(float64(i)))
		model.Job(job(1, 2*time.Second)).Occurrence().Finish(0, time.Duration(2*factor*float64(time.Second)), now)
	}
	return model
}

// expected returns what is expected of a job's only step.
func expected(model *expect.Model, o *expect.Occurrence) time.Duration {
	if model.Learns() {
		model.Update([]*expect.Occurrence{o})
	}
	return o.Expected[0]
}

// wantAbout fails if a duration differs from the wanted one by more than a share of it.
func wantAbout(t *testing.T, what string, got, want time.Duration, share float64) {
	t.Helper()
	if math.Abs(float64(got-want)) > share*float64(want) {
		t.Errorf("%s is %v, want about %v", what, got, want)
	}
}

// Guards against plans that change before finished runs have shown that the declared estimates are wrong, and with the setting "declared".
func TestDeclaredEstimatesWithoutHistory(t *testing.T) {
	for name, model := range map[string]*expect.Model{"no history": untrained(true), "declared": untrained(false)} {
		o := model.Job(job(10, 2*time.Second)).Occurrence()
		o.Add(0, expect.Run{Elapsed: 30 * time.Second, Speed: 1})
		o.Finish(0, 20*time.Second, now)
		if got := expected(model, o); got != 2*time.Second {
			t.Errorf("%s: the expectation is %v, want the estimate of 2 s", name, got)
		}
		if median, high := o.Remaining(0, expect.Run{Elapsed: 30 * time.Second, Speed: 1}); median <= 0 || high < median {
			t.Errorf("%s: the remaining time is %v, at most %v, want it to be positive", name, median, high)
		}
	}
}

// Guards against a job whose order collapses when its objective passes: its runs that go on show that it takes longer, and with that the
// objective is later.
func TestObjectiveMovesWithRunsInProgress(t *testing.T) {
	spec := job(5, 2*time.Second)
	model := trained()
	o := model.Job(spec).Occurrence()
	wantAbout(t, "the expectation before the start", expected(model, o), 8*time.Second, 0.2)
	for elapsed := time.Second; elapsed < 10*time.Minute; elapsed += elapsed / 2 {
		o.Reset()
		o.Add(0, expect.Run{Elapsed: elapsed, Speed: 1})
		model.Update([]*expect.Occurrence{o})
		if objective := assign.TimeToObjective(spec, o.Expected, 1); objective < elapsed {
			t.Errorf("after %v without a pause the job's objective of %v has passed", elapsed, objective)
		}
	}
}

// Guards against a step whose tasks are expected to differ from those that have finished or report progress.
func TestOtherTasksOfStepAreExpectedToTakeAsLong(t *testing.T) {
	model := trained()
	o := model.Job(job(39, 2*time.Second)).Occurrence()
	o.Finish(0, 18*time.Second, now)
	o.Finish(0, 22*time.Second, now)
	wantAbout(t, "the expectation after two tasks of 20 s", expected(model, o), 20*time.Second, 0.25)
	o = model.Job(job(39, 2*time.Second)).Occurrence()
	for range 5 {
		// On a worker of speed 0.8, 30% are done after 7.5 s, so the task takes 25 s there.
		o.Add(0, expect.Run{Elapsed: 8 * time.Second, Speed: 0.8, Share: 0.3, At: 7500 * time.Millisecond})
	}
	wantAbout(t, "the expectation after progress at a rate of 20 s", expected(model, o), 20*time.Second, 0.25)
}

// Guards against one large job that counts as many observations: its tasks are of one kind.
func TestTasksOfOneStepAreOneObservation(t *testing.T) {
	model := trained()
	before := expected(model, model.Job(job(1, 2*time.Second)).Occurrence())
	large := model.Job(job(39, 2*time.Second)).Occurrence()
	for range 39 {
		large.Finish(0, 24*time.Second, now)
	}
	if after := expected(model, model.Job(job(1, 2*time.Second)).Occurrence()); after > before*13/10 {
		t.Errorf("a job of 39 tasks of 24 s changes the expectation of the next one from %v to %v", before, after)
	}
	if runs := model.Queues()[0].GetFinishedRuns(); runs != 30+39 {
		t.Errorf("%d finished runs are counted, want 69", runs)
	}
}

// Guards against gangs with slack that are kept off slow workers because their slowest member is counted twice: the objective that counts is
// a multiple of the slowest task as well.
func TestMarginIsTheSameForGangsOfAnySize(t *testing.T) {
	for _, tasks := range []uint32{1, 13, 64} {
		if got := trained().Job(job(tasks, 2*time.Second)).Occurrence().Margin(0); got < 1 || got > 1.2 {
			t.Errorf("the margin of %d tasks is %.2f, want 1 to 1.2", tasks, got)
		}
	}
	if got := untrained(true).Job(job(13, 2*time.Second)).Occurrence().Margin(0); got != 0 {
		t.Errorf("the margin is %v without learned durations, want 0", got)
	}
}

// Guards against learning from resumed runs, and from runs on unsuitable racks, as if they showed whole tasks of usual duration.
func TestPartialRunsAreNotLearnedFrom(t *testing.T) {
	model := trained()
	before := expected(model, model.Job(job(1, 2*time.Second)).Occurrence())
	for range 20 {
		o := model.Job(job(1, 2*time.Second)).Occurrence()
		o.Add(0, expect.Run{Elapsed: time.Minute, Speed: 1, Share: 0.5, At: time.Minute, Partial: true})
		o.Finish(0, 0, now)
	}
	if after := expected(model, model.Job(job(1, 2*time.Second)).Occurrence()); after != before {
		t.Errorf("partial runs change the expectation from %v to %v", before, after)
	}
}

// Guards against a remaining time that ignores the progress since the last report, or that comes from the estimate although the run itself
// reports how fast it is.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	o := trained().Job(job(1, 2*time.Second)).Occurrence()
	run := expect.Run{Elapsed: 12 * time.Second, Speed: 1, Share: 0.5, At: 10 * time.Second}
	o.Add(0, run)
	median, high := o.Remaining(0, run)
	wantAbout(t, "the remaining time at 50% after 10 s, 2 s later", median, 8*time.Second, 0.1)
	wantAbout(t, "its high quantile", high, 12*time.Second, 0.25)
	// It resumed at 40%, and has made 30% in 3 s since.
	run = expect.Run{Elapsed: 3 * time.Second, Speed: 1, BaseShare: 0.4, Share: 0.7, At: 3 * time.Second, Partial: true}
	median, _ = o.Remaining(0, run)
	wantAbout(t, "the remaining time of a resumed run", median, 3*time.Second, 0.15)
	run = expect.Run{Elapsed: time.Hour, Speed: 1, Share: 0.99, At: 10 * time.Second}
	if median, high = o.Remaining(0, run); median <= 0 || high < median {
		t.Errorf("long after its expected end a run has %v left, at most %v, want it to be positive", median, high)
	}
}

// Guards against a record for each finished run, and against a burst of records after an outage of the store.
func TestRecordIsMadeEveryFiveSecondsAtMost(t *testing.T) {
	model, records := trained(), 0
	for i := range 200 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		model.Job(job(1, 2*time.Second)).Occurrence().Finish(0, 8*time.Second, at)
		if model.Record(at) != nil {
			records++
			model.Stored()
		}
	}
	if records != 4 {
		t.Errorf("%d records are made in 20 s, want 4", records)
	}
	model.Job(job(1, 2*time.Second)).Occurrence().Finish(0, 8*time.Second, now)
	for i := 30; i < 90; i += 10 {
		if record := model.Record(now.Add(time.Duration(i) * time.Second)); (record != nil) != (i == 30) {
			t.Errorf("after %d s without an answer of the store a record is made: %v", i, record != nil)
		}
	}
}

// Guards against a new owner that starts without what the last one knew, and against one that fails or plans with garbage because the record
// is of another version.
func TestModelContinuesFromRecord(t *testing.T) {
	record := trained().Record(now)
	restored := expect.NewModel(record, true, events.Discard())
	wantAbout(t, "the restored expectation", expected(restored, restored.Job(job(1, 2*time.Second)).Occurrence()), 8*time.Second, 0.2)
	record.Version++
	other := expect.NewModel(record, true, events.Discard())
	if got := expected(other, other.Job(job(1, 2*time.Second)).Occurrence()); got != 2*time.Second {
		t.Errorf("with a record of another version the expectation is %v, want the estimate of 2 s", got)
	}
}
