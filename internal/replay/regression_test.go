package replay_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

// Bounds of the stated outcomes in docs/TRACES.md.
const (
	// maxLoungeSlowdown is the mean slowdown of the lounge preset as a share of FIFO with backfill.
	maxLoungeSlowdown = 0.6
	// maxGalleryFragmentation and maxGalleryCompletion compare the gallery preset with EDF with best fit.
	maxGalleryFragmentation = 0.5
	maxGalleryCompletion    = 1.1
)

const (
	nameFIFO     = "fifo"
	nameBackfill = "fifo+backfill"
	nameEDF      = "edf+best-fit"
)

func baselines() []replay.Candidate {
	return []replay.Candidate{
		{Name: nameFIFO, New: baseline.NewFIFO},
		{Name: nameBackfill, New: baseline.NewBackfill},
		{Name: nameEDF, New: baseline.NewEDF},
	}
}

func preset(name string) replay.Candidate {
	config, ok := policy.Preset(name)
	if !ok {
		panic("no preset " + name)
	}
	return replay.Candidate{Name: name, New: func() policy.Policy { return policy.New(config) }}
}

// replayed replays a committed trace once for all tests.
var replayed = map[string]func() (*replay.Result, error){
	"lounge-day":  replayOnce("lounge-day", policy.PresetLounge),
	"gallery-day": replayOnce("gallery-day", policy.PresetGallery),
	"two-year":    replayOnce("two-year", policy.PresetLounge, policy.PresetGallery),
}

func replayOnce(name string, presets ...string) func() (*replay.Result, error) {
	return sync.OnceValues(func() (*replay.Result, error) {
		trace, err := replay.ReadFile(filepath.Join("..", "..", "testdata", "traces", name+".jsonl.gz"))
		if err != nil {
			return nil, err
		}
		candidates := baselines()
		for _, each := range presets {
			candidates = append(candidates, preset(each))
		}
		return replay.Run(trace, nil, replay.Options{Policies: candidates})
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

func find(t *testing.T, result *replay.Result, name string) *replay.PolicyResult {
	t.Helper()
	run := result.Find(name)
	if run == nil {
		t.Fatalf("no result for %s", name)
	}
	return run
}

// scheduled names each trace with each preset that is held to its outcomes.
var scheduled = []struct{ trace, preset string }{
	{"lounge-day", policy.PresetLounge},
	{"gallery-day", policy.PresetGallery},
	{"two-year", policy.PresetLounge},
	{"two-year", policy.PresetGallery},
}

func eachScheduled(t *testing.T, check func(*testing.T, *replay.Result, *replay.PolicyResult)) {
	for _, each := range scheduled {
		t.Run(each.trace+"/"+each.preset, func(t *testing.T) {
			all := result(t, each.trace)
			check(t, all, find(t, all, each.preset))
		})
	}
}

// TestTables prints the tables of docs/TRACES.md with go test -v.
func TestTables(t *testing.T) {
	for _, name := range tracegen.Names() {
		var table strings.Builder
		if err := result(t, name).Text(&table); err != nil {
			t.Fatal(err)
		}
		t.Log("\n" + table.String())
	}
}

// checkAlways checks the outcomes that hold on every trace and seed.
func checkAlways(t *testing.T, run *replay.PolicyResult) {
	t.Helper()
	t.Logf("%s", run.Policy)
	if run.ClaimsChecked == 0 || run.StartsChecked == 0 {
		t.Errorf("nothing was checked: %d claims, %d starts", run.ClaimsChecked, run.StartsChecked)
	}
	broken := run.GuaranteeViolations + run.PartialGangs + run.Overlaps + run.QuotaViolations + run.OtherViolations
	if broken > 0 {
		t.Errorf("%d guarantee, %d partial gang, %d overlap, %d quota and %d other violations: %v",
			run.GuaranteeViolations, run.PartialGangs, run.Overlaps, run.QuotaViolations, run.OtherViolations, run.Violations)
	}
	if run.UrgentLate > 0 || run.UrgentStartMaxMillis > replay.MaxReclaimMillis {
		t.Errorf("%d urgent starts late, the latest after %d ms: %v", run.UrgentLate, run.UrgentStartMaxMillis, run.Violations)
	}
	if run.Unfinished > 0 || run.WronglyFailed > 0 {
		t.Errorf("%d jobs unfinished, %d given up wrongly", run.Unfinished, run.WronglyFailed)
	}
}

func TestAlways(t *testing.T) {
	eachScheduled(t, func(t *testing.T, _ *replay.Result, run *replay.PolicyResult) { checkAlways(t, run) })
}

func TestAlwaysOnOtherSeeds(t *testing.T) {
	const seeds = 4
	for _, name := range tracegen.Names() {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				checkSeed(t, name, seed)
			})
		}
	}
}

func checkSeed(t *testing.T, name string, seed uint64) {
	trace, err := tracegen.Make(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	candidates := []replay.Candidate{preset(policy.PresetLounge), preset(policy.PresetGallery)}
	result, err := replay.Run(trace, nil, replay.Options{Policies: candidates})
	if err != nil {
		t.Fatal(err)
	}
	for at := range result.Runs {
		checkAlways(t, &result.Runs[at])
	}
}

func TestLoungeSlowdown(t *testing.T) {
	all := result(t, "lounge-day")
	run, backfill := find(t, all, policy.PresetLounge), find(t, all, nameBackfill)
	got, bound := run.Class(replay.AllClasses).MeanSlowdown, maxLoungeSlowdown*backfill.Class(replay.AllClasses).MeanSlowdown
	if got > bound {
		t.Errorf("mean slowdown %.2f, want at most %.2f", got, bound)
	}
	for _, class := range backfill.Classes {
		if got := run.Class(class.Class).P99Slowdown; got > class.P99Slowdown {
			t.Errorf("%s: p99 slowdown %.2f, want at most %.2f", class.Class, got, class.P99Slowdown)
		}
	}
}

func TestGalleryFragmentation(t *testing.T) {
	all := result(t, "gallery-day")
	run, edf := find(t, all, policy.PresetGallery), find(t, all, nameEDF)
	if bound := maxGalleryFragmentation * edf.Fragmentation; run.Fragmentation > bound {
		t.Errorf("fragmentation %.4f, want at most %.4f", run.Fragmentation, bound)
	}
}

func TestGalleryCompletion(t *testing.T) {
	all := result(t, "gallery-day")
	run, edf := find(t, all, policy.PresetGallery), find(t, all, nameEDF)
	if bound := maxGalleryCompletion * float64(edf.MeanCompletionMillis); float64(run.MeanCompletionMillis) > bound {
		t.Errorf("mean completion %d ms, want at most %.0f", run.MeanCompletionMillis, bound)
	}
}

func TestUtilisation(t *testing.T) {
	eachScheduled(t, func(t *testing.T, all *replay.Result, run *replay.PolicyResult) {
		for _, candidate := range baselines() {
			if base := find(t, all, candidate.Name); run.Utilisation < base.Utilisation {
				t.Errorf("utilisation %.4f, want at least %.4f of %s", run.Utilisation, base.Utilisation, base.Policy)
			}
		}
	})
}
