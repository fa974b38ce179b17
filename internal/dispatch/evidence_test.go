package dispatch

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
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

// Guards against a task that starts again right before its job is given up: the hold ended up to a tick before the loss of its worker counted
// as certain.
func TestUnitAwaitsVerdictUntilLossIsConfirmed(t *testing.T) {
	now := time.Now()
	u := &unit{step: &step{job: &job{}}, lastRunEndedAt: now}
	u.crashes.add(0, 1, 0, requiredEvidence)
	u.run = &run{unit: u, number: 1}
	counted := []countedCrash{{member: &member{run: u.run}, evidence: requiredEvidence}}
	s := &session{silentLosses: map[string]silentLoss{"w": {at: now, counted: counted}}}
	u.step.job.cancelled = true // nothing is recorded
	for at := now; at.Before(now.Add(lossConfirmTime + 2*tickInterval)); at = at.Add(tickInterval) {
		for _, s.now = range []time.Time{at, at.Add(tickInterval - time.Millisecond)} {
			if len(s.silentLosses) > 0 && !u.awaitsVerdict(s.now) {
				t.Errorf("the unit may start %v after the loss, which isn't confirmed", s.now.Sub(now))
			}
		}
		s.now = at.Add(tickInterval)
		s.confirmLosses()
	}
	if len(s.silentLosses) > 0 {
		t.Error("the loss is never confirmed")
	}
}

// Guards against a job that is given up because the loss of a silent worker was proved after a run had lasted and another loss was counted.
func TestClearedLossIsNotProved(t *testing.T) {
	now := time.Now()
	u := &unit{step: &step{job: &job{}}}
	u.run = &run{unit: u, number: 1, startedAt: now.Add(-time.Minute)}
	lost := &member{run: u.run}
	s := &session{now: now, silentLosses: map[string]silentLoss{"w": {counted: []countedCrash{{member: lost, evidence: 1}}}}}
	s.Events = events.Discard()
	u.crashes.add(0, 1, 0, 1)
	s.clearCrashes(u.run)
	u.crashes.add(0, 1, 0, 1)
	s.proveSilentLoss("w")
	if got := u.crashes.evidence[0]; got != 0 {
		t.Errorf("evidence %v from a loss before the run that lasted, want 0", got)
	}
}
