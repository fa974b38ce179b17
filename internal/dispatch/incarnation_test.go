package dispatch

import (
	"context"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/leadership"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// sessionWith returns the session of an owner that has read the records.
func sessionWith(t *testing.T, records ...storelog.Record) *session {
	t.Helper()
	jobs := replica.New(events.Discard())
	jobs.Apply(records)
	return newSession(context.Background(), Dependencies{Events: events.Discard(), Replica: jobs, Options: Options{MaxLease: 10 * time.Second}},
		leadership.Term{})
}

// reportOf is a report of the incarnation that started at the time.
func reportOf(startedAtMs int64) worker.Report {
	return worker.Report{Reply: worker.Reply{ClockMs: 1, StartedAtMs: startedAtMs}}
}

// Guards against an owner that takes over and plans with the speed of a worker's former incarnation.
func TestRestoredSpeedHoldsForItsIncarnation(t *testing.T) {
	for _, test := range []struct {
		name               string
		recorded, answered int64
		want               bool
	}{{"same incarnation", 7, 7, true}, {"next incarnation", 7, 8, false}, {"record of an earlier version", 0, 8, true}} {
		speeds := &storev1.Speeds{Speed: map[string]float64{"w": 0.5}, WorkerStartMs: map[string]int64{}}
		if test.recorded != 0 {
			speeds.WorkerStartMs["w"] = test.recorded
		}
		record, err := replica.SpeedsRecord(speeds)
		if err != nil {
			t.Fatal(err)
		}
		s := sessionWith(t, record)
		ws := s.worker("w")
		s.noteIncarnation(ws, s.now, reportOf(test.answered))
		if got := ws.speed.Value(); (got == 0.5) != test.want {
			t.Errorf("%s: speed %v", test.name, got)
		}
	}
}

// Guards against a worker that gets no tasks, or not those of some jobs, because of what failed on its former incarnation.
func TestFailuresEndWithTheIncarnation(t *testing.T) {
	s := sessionWith(t)
	ws := s.worker("w")
	u := &unit{avoid: map[string]bool{"w": true, "other": true}}
	s.jobs["j"] = &job{occurrences: []*occurrence{{steps: []*step{{units: []*unit{u}}}}}}
	s.noteIncarnation(ws, s.now, reportOf(1))
	ws.health.RecordFailure(s.now)
	ws.ignored, ws.ignoresUntil = maxIgnored, s.now.Add(time.Minute)
	s.noteIncarnation(ws, s.now, reportOf(1))
	if !ws.health.OnTrial() || !u.avoid["w"] || !ws.ignoresOrders(s.now) {
		t.Error("the failures of this incarnation are forgotten")
	}
	if !s.noteIncarnation(ws, s.now, reportOf(2)) {
		t.Error("the worker has not started again")
	}
	if ws.health != (learned.Health{}) || u.avoid["w"] || !u.avoid["other"] || ws.ignoresOrders(s.now) {
		t.Errorf("failures of the former incarnation count: %+v, %v, %v", ws.health, u.avoid, ws.ignoresOrders(s.now))
	}
}

// Guards against an entry that is used for another incarnation of its worker than the one that wrote it.
func TestEntryHoldsForItsIncarnation(t *testing.T) {
	entry := func(startedAtMs int64, rack string) worker.RegistryEntry {
		return worker.RegistryEntry{ID: "w", Address: "a", Rack: rack, StartedAtMs: startedAtMs, Capacity: &storev1.Resources{Accelerators: 8}}
	}
	s := sessionWith(t)
	ws := s.worker("w")
	ws.polling = true // nothing is sent
	s.setEntry(ws, entry(1, "r1"))
	if s.noteIncarnation(ws, s.now, reportOf(2)); ws.knowsIncarnation() {
		t.Error("the entry of the incarnation before a takeover is used")
	}
	s.setEntry(ws, entry(2, "r2"))
	if !ws.knowsIncarnation() {
		t.Error("the entry of the incarnation that has answered isn't used")
	}
	s.expectIncarnation(ws, entry(3, "r3"))
	if ws.entry.Rack != "r2" || ws.knowsIncarnation() {
		t.Error("an entry of an incarnation that hasn't answered describes the worker, or is ignored")
	}
	s.now = s.now.Add(time.Second)
	if s.noteIncarnation(ws, s.now.Add(-2*time.Second), reportOf(2)); ws.knowsIncarnation() {
		t.Error("an answer to an earlier poll ends the doubt")
	}
	if s.noteIncarnation(ws, s.now, reportOf(3)); ws.entry.Rack != "r3" || !ws.knowsIncarnation() {
		t.Error("the entry of the incarnation that has answered isn't used")
	}
	s.expectIncarnation(ws, entry(4, "r4"))
	if s.noteIncarnation(ws, s.now, reportOf(3)); ws.entry.Rack != "r3" || !ws.knowsIncarnation() {
		t.Error("the entry of another writer keeps the worker from use")
	}
	// A deployment whose entries don't say of which incarnation they are.
	s.setEntry(ws, entry(0, "r3"))
	if !ws.knowsIncarnation() {
		t.Error("an entry without an incarnation isn't used")
	}
	if s.noteIncarnation(ws, s.now, reportOf(5)); ws.knowsIncarnation() {
		t.Error("an entry that was read before the worker started again is used")
	}
	if s.setEntry(ws, entry(0, "r5")); !ws.knowsIncarnation() {
		t.Error("an entry that was read after the worker started again isn't used")
	}
}

// Guards against reports of a worker that are never acknowledged, because a poll with the numbers of its former incarnation counted.
func TestAcknowledgementOfFormerIncarnationDoesNotCount(t *testing.T) {
	s := sessionWith(t)
	ws := s.worker("w")
	ws.polling = true // nothing is sent
	s.handleReport(ws, worker.Poll{}, s.now, reportOf(1), nil)
	ws.polling, ws.lastProcessed, ws.lastStored = true, 57, 57
	s.handleReport(ws, worker.Poll{Acknowledged: 57}, s.now, reportOf(2), nil)
	if ws.lastAcked != 0 || ws.lastStored != 0 {
		t.Errorf("acknowledged up to %d, stored up to %d, want 0 of the incarnation that has just begun", ws.lastAcked, ws.lastStored)
	}
}
