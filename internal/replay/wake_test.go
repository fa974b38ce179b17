package replay_test

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// sleeper is FIFO that decides nothing before a time and asks to be woken again and again.
type sleeper struct {
	policy.Policy
	until int64
	every int64
	now   int64
}

func (s *sleeper) Decide(nowMillis int64) []policy.Decision {
	s.now = nowMillis
	if nowMillis < s.until {
		return nil
	}
	return s.Policy.Decide(nowMillis)
}

func (s *sleeper) WakeMillis() int64 { return s.now + s.every }

func TestWakes(t *testing.T) {
	const day = 24 * 60 * minute
	cases := []struct {
		name                 string
		until                int64
		finished, unfinished int
	}{
		{"a wake starts the job", 5 * 60 * minute, 1, 0},
		{"wakes that lead to nothing end", 10 * day, 0, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			candidate := replay.Candidate{Name: "sleeper", New: func() policy.Policy {
				return &sleeper{Policy: baseline.NewFIFO(), until: start + tc.until, every: minute}
			}}
			run := newBuilder(1).job(0, "a", 1, 8, minute).run(t, candidate).Runs[0]
			if run.Finished != tc.finished || run.Unfinished != tc.unfinished {
				t.Errorf("finished %d, unfinished %d, want %d and %d", run.Finished, run.Unfinished, tc.finished, tc.unfinished)
			}
		})
	}
}
