package dispatch

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// Guards against a task that is blamed for the loss of a worker which had been lost shortly before: the earlier loss was forgotten when
// the worker was silent in between and answered again.
func TestWithdrawnLossKeepsEarlierOne(t *testing.T) {
	now := time.Now()
	earlier := now.Add(-4 * time.Second)
	ws := &workerState{entry: worker.RegistryEntry{Address: "a"}, silentSince: now, startedAtMs: 2}
	s := &session{now: now, workers: map[string]*workerState{"w": ws}, losses: map[string]workerLoss{"a": {silentSince: earlier, startedAtMs: 1}}}
	s.recordLoss(ws)
	s.withdrawLoss(ws)
	if got := s.losses["a"].unexplainedBefore(now); !got.Equal(earlier) {
		t.Errorf("the latest loss was at %v, want %v", got, earlier)
	}
}
