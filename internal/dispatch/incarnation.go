package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// areDifferent reports whether two start times are those of different incarnations; false if either is unknown.
func areDifferent(startedAtMs, otherMs int64) bool {
	return startedAtMs != 0 && otherMs != 0 && startedAtMs != otherMs
}

// knowsIncarnation reports whether a worker's entry is that of the incarnation that has answered, and no other one seems to be there.
// Without that, its capacity, labels, rack and data centre may be those of another machine.
func (ws *workerState) knowsIncarnation() bool { return !ws.staleEntry && ws.doubtedAt.IsZero() }

// expectIncarnation records an entry of another incarnation than the one that has answered. It describes the worker once that one answers:
// another writer may have written it, or the worker before it started again.
func (s *session) expectIncarnation(ws *workerState, entry worker.RegistryEntry) {
	ws.nextEntry, ws.listed, ws.replaced = &entry, true, false
	s.doubtIncarnation(ws)
}

// doubtIncarnation polls a worker at which another incarnation seems to be than the one that has answered.
func (s *session) doubtIncarnation(ws *workerState) {
	ws.doubtedAt = s.now
	s.pollSoon(ws)
}

// noteIncarnation compares the incarnation that has answered a poll with the one before, and reports whether the worker has started again.
// What is known of the one before doesn't hold for it: it may be another machine, also under the same id and at the same address.
func (s *session) noteIncarnation(ws *workerState, sentAt time.Time, report worker.Report) (restarted bool) {
	if report.StartedAtMs != 0 && ws.startedAtMs != report.StartedAtMs {
		restarted = ws.startedAtMs != 0
		if restarted {
			s.forgetIncarnation(ws, report)
		} else {
			s.countMissedCrash(ws, report)
		}
		former := ws.startedAtMs
		ws.startedAtMs = report.StartedAtMs
		ws.staleEntry = (restarted || ws.entry.StartedAtMs != 0) && ws.entry.StartedAtMs != report.StartedAtMs
		if next := ws.nextEntry; next != nil && next.StartedAtMs == report.StartedAtMs {
			s.setEntry(ws, *next)
			ws.doubtedAt = time.Time{}
		}
		if restarted || ws.staleEntry {
			s.Events.Log(events.WorkerRestarted, "worker", ws.id, "worker_start_ms", ws.startedAtMs, "former_start_ms", former,
				"entry_start_ms", ws.entry.StartedAtMs, "stale", ws.staleEntry, "members", len(ws.members))
		}
	}
	if areDifferent(ws.speedStartMs, ws.startedAtMs) {
		ws.speed = learned.Speed{}
	}
	ws.speedStartMs = ws.startedAtMs
	if !sentAt.Before(ws.doubtedAt) {
		ws.doubtedAt, ws.nextEntry = time.Time{}, nil
	}
	return restarted
}

// forgetIncarnation counts the loss of a worker's incarnation, after which another one has reported, and forgets what was known of it.
func (s *session) forgetIncarnation(ws *workerState, report worker.Report) {
	ws.lastProcessed, ws.lastStored, ws.lastAcked, ws.restarted = 0, 0, 0, true
	s.expectLease(ws, s.Options.MaxLease) // by an order with the clock of the former incarnation
	if !ws.unresponsive {
		s.recordLoss(ws)
	}
	s.countCrash(ws, signReport, s.lostMembers(ws, func(m *member) bool { return mayHaveStarted(m) && !isReported(m, report) }))
	ws.speed, ws.health = learned.Speed{}, learned.Health{}
	ws.ignored, ws.ignoredPause, ws.ignoresUntil = 0, 0, time.Time{}
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, u := range st.units {
					delete(u.avoid, ws.id)
				}
			}
		}
	}
}
