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

// Bounds of the stated outcomes in docs/TRACES.md.
const (
	// maxLoungeSlowdown is the mean slowdown on lounge-day as a share of FIFO with backfill.
	maxLoungeSlowdown = 0.6
	// maxGalleryFragmentation and maxGalleryCompletion compare gallery-day with EDF with best fit.
	maxGalleryFragmentation = 0.5
	maxGalleryCompletion    = 1.1
)

const (
	nameBackfill  = "fifo+backfill"
	nameEDF       = "edf+best-fit"
	nameScheduler = "scheduler"
)

// replayed replays each committed trace once for all tests.
var replayed = map[string]func() (*replay.Result, error){
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
	result, err := replayed[trace]()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestTables prints the tables of docs/TRACES.md with go test -v.
func TestTables(t *testing.T) {
	for _, name := range tracegen.Names() {
		var table strings.Builder
		if err := result(t, name).WriteTable(&table); err != nil {
			t.Fatal(err)
		}
		t.Log("\n" + table.String())
	}
}

// checkAlways checks the outcomes that hold on every trace and seed.
func checkAlways(t *testing.T, run *replay.PlanResult) {
	t.Helper()
	if run.ClaimsChecked == 0 || run.StartsChecked == 0 {
		t.Errorf("nothing was checked: %d claims, %d starts", run.ClaimsChecked, run.StartsChecked)
	}
	if len(run.Violations) > 0 {
		t.Errorf("broken %v: %v", run.ViolationCounts, run.Violations)
	}
	if run.UrgentStartMaxMillis > replay.MaxUrgentStartMillis {
		t.Errorf("an urgent job started after %d ms", run.UrgentStartMaxMillis)
	}
	if run.Unfinished > 0 || run.WronglyFailed > 0 {
		t.Errorf("%d jobs unfinished, %d given up wrongly", run.Unfinished, run.WronglyFailed)
	}
}

func TestAlways(t *testing.T) {
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) { checkAlways(t, result(t, name).Find(nameScheduler)) })
	}
}

func TestAlwaysOnOtherSeeds(t *testing.T) {
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

// TestAlwaysThroughTakeovers changes the owner of every data centre all the time.
func TestAlwaysThroughTakeovers(t *testing.T) {
	const (
		seed  = 5
		every = 20*minute + 7
	)
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSeed(t, name, seed, replay.Options{TakeoverIntervalMillis: every})
		})
	}
}

func checkSeed(t *testing.T, name string, seed uint64, options replay.Options) {
	trace, err := tracegen.Make(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	options.Candidates = []replay.Candidate{replay.Scheduler()}
	result, err := replay.Run(trace, nil, options)
	if err != nil {
		t.Fatal(err)
	}
	checkAlways(t, &result.Runs[0])
}

func TestLoungeSlowdown(t *testing.T) {
	all := result(t, "lounge-day")
	run, backfill := all.Find(nameScheduler), all.Find(nameBackfill)
	got, bound := run.Class(replay.AllClasses).MeanSlowdown, maxLoungeSlowdown*backfill.Class(replay.AllClasses).MeanSlowdown
	if got > bound {
		t.Errorf("mean slowdown %.2f, want at most %.2f", got, bound)
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
	if bound := maxGalleryFragmentation * edf.Fragmentation; run.Fragmentation > bound {
		t.Errorf("fragmentation %.4f, want at most %.4f", run.Fragmentation, bound)
	}
}

func TestGalleryCompletion(t *testing.T) {
	all := result(t, "gallery-day")
	run, edf := all.Find(nameScheduler), all.Find(nameEDF)
	if bound := maxGalleryCompletion * float64(edf.MeanCompletionMillis); float64(run.MeanCompletionMillis) > bound {
		t.Errorf("mean completion %d ms, want at most %.0f", run.MeanCompletionMillis, bound)
	}
}

func TestUtilisation(t *testing.T) {
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) {
			all := result(t, name)
			run := all.Find(nameScheduler)
			for _, candidate := range replay.Baselines() {
				if base := all.Find(candidate.Name); run.Utilisation < base.Utilisation {
					t.Errorf("utilisation %.4f, want at least %.4f of %s", run.Utilisation, base.Utilisation, base.Planner)
				}
			}
		})
	}
}
