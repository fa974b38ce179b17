package replay_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
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

func preset(t *testing.T, name string) replay.Candidate {
	t.Helper()
	config, ok := policy.Preset(name)
	if !ok {
		t.Fatalf("no preset %q", name)
	}
	return replay.Candidate{Name: name, New: func() policy.Policy { return policy.New(config) }}
}

func replayFile(t *testing.T, name string, presets ...string) *replay.Result {
	t.Helper()
	trace, err := replay.ReadFile(filepath.Join("..", "..", "testdata", "traces", name+".jsonl.gz"))
	if err != nil {
		t.Fatal(err)
	}
	candidates := baselines()
	for _, each := range presets {
		candidates = append(candidates, preset(t, each))
	}
	result, err := replay.Run(trace, nil, replay.Options{Policies: candidates})
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := result.Text(&table); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + table.String())
	return result
}

func TestBase(t *testing.T) {
	for _, n := range []string{"lounge-day", "gallery-day", "two-year"} {
		replayFile(t, n)
	}
}

func TestTables(t *testing.T) {
	for name, presets := range map[string][]string{
		"lounge-day":  {policy.PresetLounge},
		"gallery-day": {policy.PresetGallery},
		"two-year":    {policy.PresetLounge, policy.PresetGallery},
	} {
		result := replayFile(t, name, presets...)
		for _, run := range result.Runs {
			for _, v := range run.Violations[:min(4, len(run.Violations))] {
				t.Log(name, run.Policy, v)
			}
		}
	}
}
