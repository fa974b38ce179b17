package learned_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// Guards against samples of a few whole per cent, of the time in which a checkpoint is restored, and of the time in which a busy instance
// has not read a report.
func TestProgressIsDividedIntoSamples(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	type report struct {
		percent float64
		at      float64
		clock   int64
		ended   bool
		want    float64
	}
	for _, test := range []struct {
		name    string
		resumed bool
		reports []report
	}{
		{"from the start", false, []report{{percent: 5, at: 1}, {percent: 20, at: 4, want: 4}, {percent: 30, at: 6}, {percent: 40, at: 8, want: 4}}},
		{"to the end", false, []report{{percent: 90, at: 9, want: 9}, {percent: 100, at: 10, ended: true, want: 1}}},
		{"end after little", false, []report{{percent: 97, at: 9, want: 9}, {percent: 100, at: 10, ended: true}}},
		{"resumed", true, []report{{percent: 40, at: 0.1}, {percent: 40, at: 0.5}, {percent: 45, at: 1}, {percent: 65, at: 3, want: 2}}},
		{"resumed and ended", true, []report{{percent: 40, at: 0.1}, {percent: 100, at: 5, ended: true}}},
		{"repeated", false, []report{{percent: 50, at: 1, want: 1}, {percent: 10, at: 2}, {percent: 30, at: 4, want: 2}}},
		{"read late", false, []report{{percent: 20, at: 2, clock: 1000, want: 2}, {percent: 40, at: 5, clock: 3000, want: 2}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var progress learned.Progress
			for i, r := range test.reports {
				_, elapsed, ok := progress.Add(learned.Report{Share: r.percent / 100, At: start.Add(seconds(r.at)), ClockMs: r.clock}, start, test.resumed, r.ended)
				if ok != (r.want > 0) || elapsed.Seconds() != r.want && ok {
					t.Errorf("report %d gives a sample of %v (%v), want %v s", i, elapsed, ok, r.want)
				}
			}
		})
	}
}
