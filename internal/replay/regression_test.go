package replay_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

// Limits of the outcomes that docs/TRACES.md states, as ratios of the scheduler's value to that of a baseline.
const (
	// maxLoungeSlowdown limits the mean slowdown on lounge-day relative to FIFO with backfill.
	maxLoungeSlowdown = 0.6
	// maxGalleryFragmentation and maxGalleryCompletion limit fragmentation and mean completion time on gallery-day relative
	// to EDF with best fit.
	maxGalleryFragmentation = 0.5
	maxGalleryCompletion    = 1.1
)

const (
	nameBackfill  = "fifo+backfill"
	nameEDF       = "edf+best-fit"
	nameScheduler = "scheduler"
)

// committedResults returns the result of each committed trace, which is replayed once for all tests.
var committedResults = map[string]func() (*replay.Result, error){
	"lounge-day": replayOnce("lounge-day"), "gallery-day": replayOnce("gallery-day"), "two-year": replayOnce("two-year"),
}

func replayOnce(name string) func() (*replay.Result, error) {
	return sync.OnceValues(func() (*replay.Result, error) {
		trace, err := replay.ReadFile(filepath.Join("..", "..", "testdata", "traces", name+".jsonl.gz"))
		if err != nil {
			return nil, err
		}
		return replay.Run(trace, nil, replay.Options{Candidates: append(replay.Baselines(), replay.Scheduler())})
	})
}

func result(t *testing.T, trace string) *replay.Result {
	t.Helper()
	result, err := committedResults[trace]()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestTables logs the tables of docs/TRACES.md; go test -v shows them.
func TestTables(t *testing.T) {
	for _, name := range tracegen.Names() {
		var table strings.Builder
		if err := result(t, name).WriteTable(&table); err != nil {
			t.Fatal(err)
		}
		t.Log("\n" + table.String())
	}
}

// checkInvariants checks the outcomes that must hold on every trace and seed.
func checkInvariants(t *testing.T, run *replay.PlanResult) {
	t.Helper()
	if run.ClaimsChecked == 0 || run.StartsChecked == 0 {
		t.Errorf("%d claims and %d starts checked, want both above 0", run.ClaimsChecked, run.StartsChecked)
	}
	if len(run.Violations) > 0 {
		t.Errorf("violations %v: %v", run.ViolationCounts, run.Violations)
	}
	if run.UrgentStartMaxMillis > replay.MaxUrgentStartMillis {
		t.Errorf("an urgent job started after %d ms", run.UrgentStartMaxMillis)
	}
	if run.Unfinished > 0 || run.WronglyFailed > 0 {
		t.Errorf("%d jobs unfinished, %d wrongly failed", run.Unfinished, run.WronglyFailed)
	}
}

func TestInvariants(t *testing.T) {
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) { checkInvariants(t, result(t, name).Find(nameScheduler)) })
	}
}

func TestInvariantsOnOtherSeeds(t *testing.T) {
	const seeds = 4
	for _, name := range tracegen.Names() {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				checkSeed(t, name, seed, replay.Options{})
			})
		}
	}
}

// TestInvariantsThroughTakeovers changes the owner of every data centre at a fixed interval.
func TestInvariantsThroughTakeovers(t *testing.T) {
	const (
		seed           = 5
		intervalMillis = 20*minute + 7
	)
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSeed(t, name, seed, replay.Options{TakeoverIntervalMillis: intervalMillis})
		})
	}
}

func checkSeed(t *testing.T, name string, seed uint64, options replay.Options) {
	trace, err := tracegen.Generate(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	options.Candidates = []replay.Candidate{replay.Scheduler()}
	result, err := replay.Run(trace, nil, options)
	if err != nil {
		t.Fatal(err)
	}
	checkInvariants(t, &result.Runs[0])
}

func TestLoungeSlowdown(t *testing.T) {
	all := result(t, "lounge-day")
	run, backfill := all.Find(nameScheduler), all.Find(nameBackfill)
	got, limit := run.Class(replay.AllClasses).MeanSlowdown, maxLoungeSlowdown*backfill.Class(replay.AllClasses).MeanSlowdown
	if got > limit {
		t.Errorf("mean slowdown %.2f, want at most %.2f", got, limit)
	}
}

func TestLoungeTails(t *testing.T) {
	all := result(t, "lounge-day")
	run, backfill := all.Find(nameScheduler), all.Find(nameBackfill)
	for _, class := range backfill.Classes {
		if got := run.Class(class.Class).P99Slowdown; got > class.P99Slowdown {
			t.Errorf("%s: p99 slowdown %.2f, want at most %.2f", class.Class, got, class.P99Slowdown)
		}
	}
}

func TestGalleryFragmentation(t *testing.T) {
	all := result(t, "gallery-day")
	run, edf := all.Find(nameScheduler), all.Find(nameEDF)
	if limit := maxGalleryFragmentation * edf.Fragmentation; run.Fragmentation > limit {
		t.Errorf("fragmentation %.4f, want at most %.4f", run.Fragmentation, limit)
	}
}

func TestGalleryCompletion(t *testing.T) {
	all := result(t, "gallery-day")
	run, edf := all.Find(nameScheduler), all.Find(nameEDF)
	if limit := maxGalleryCompletion * float64(edf.MeanCompletionMillis); float64(run.MeanCompletionMillis) > limit {
		t.Errorf("mean completion %d ms, want at most %.0f", run.MeanCompletionMillis, limit)
	}
}

func TestUtilisation(t *testing.T) {
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) {
			all := result(t, name)
			run := all.Find(nameScheduler)
			for _, candidate := range replay.Baselines() {
				if baseline := all.Find(candidate.Name); run.Utilisation < baseline.Utilisation {
					t.Errorf("utilisation %.4f, want at least the %.4f of %s", run.Utilisation, baseline.Utilisation, baseline.Planner)
				}
			}
		})
	}
}

// Guards against learned durations that make the outcome worse than declared ones where these say little.
func TestContendedWithLearnedDurations(t *testing.T) {
	trace, err := replay.ReadFile(filepath.Join("..", "..", "testdata", "traces", "contended.jsonl.gz"))
	if err != nil {
		t.Fatal(err)
	}
	all, err := replay.Run(trace, nil, replay.Options{Candidates: []replay.Candidate{replay.Scheduler(), replay.SchedulerDeclared()}})
	if err != nil {
		t.Fatal(err)
	}
	learned, declared := &all.Runs[0], &all.Runs[1]
	for _, class := range []string{"urgent", "ordinary", replay.AllClasses} {
		if got, want := learned.Class(class).InTime, declared.Class(class).InTime; got < want {
			t.Errorf("%s: %.4f end in time, want at least the %.4f with declared durations", class, got, want)
		}
	}
	if learned.Unfinished > 0 || learned.WronglyFailed > 0 {
		t.Errorf("%d jobs unfinished, %d wrongly failed", learned.Unfinished, learned.WronglyFailed)
	}
	for _, invariant := range []replay.Invariant{replay.PartialGang, replay.Overlap, replay.InvalidDecision} {
		if count := learned.ViolationCounts[invariant]; count > 0 {
			t.Errorf("%d violations of %v", count, invariant)
		}
	}
}
