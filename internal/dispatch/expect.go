package dispatch

import (
	"math"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// updateExpectations updates the expected durations of all open jobs from what has been learned and from their runs in progress.
func (s *session) updateExpectations() {
	if s.durations == nil {
		return
	}
	var running []learned.Running
	s.eachOpenOccurrence(func(_ *job, o *occurrence) {
		o.expect.Reset()
		for _, st := range o.steps {
			for _, u := range st.units {
				if u.run != nil && !u.run.startedAt.IsZero() {
					o.expect.Add(st.index, s.progress(u.run))
				}
			}
		}
		running = o.expect.Running(running)
	})
	s.durations.SetRunning(running)
	s.updateTypicalSpeed()
	s.eachOpenOccurrence(func(j *job, o *occurrence) {
		o.expected = o.expect.Expected(o.expected[:0])
		s.updateQueueStats(j)
	})
}

// updateTypicalSpeed computes the geometric mean of the known speeds, to which speeds are relative where durations are learned: as speeds
// compare runs with their expected durations, they also contain by how much these are wrong for the whole fleet.
func (s *session) updateTypicalSpeed() {
	sum, count := 0.0, 0.0
	for _, ws := range s.workers {
		if ws.listed && ws.speed.Samples() > 0 {
			sum += math.Log(ws.speed.Value())
			count++
		}
	}
	s.typicalSpeed = math.Exp(sum / max(count, 1))
}

// plannedSpeed returns the speed of a worker for plans. It is relative to the typical one once learned durations are in use.
func (s *session) plannedSpeed(ws *workerState) float64 {
	if s.durations == nil || !s.durations.InUse() {
		return ws.speed.Value()
	}
	return ws.speed.Value() / s.typicalSpeed
}

// eachOpenOccurrence calls use for each occurrence that isn't done of the jobs that have not ended.
func (s *session) eachOpenOccurrence(use func(*job, *occurrence)) {
	for _, j := range s.jobs {
		if j.hasEnded() {
			continue
		}
		for _, o := range j.occurrences {
			if !o.done() {
				use(j, o)
			}
		}
	}
}

// expected returns the expected durations of a job's latest occurrence.
func (s *session) expected(j *job) assign.Expectations {
	if len(j.occurrences) == 0 {
		return expect.New(s.durations, j.spec).Expected(nil)
	}
	return j.occurrences[len(j.occurrences)-1].expected
}

// learnDuration learns from the run of a unit that is done. The duration of the whole task is known if the run began at its start, and in
// this term.
func (s *session) learnDuration(u *unit) {
	if r := u.run; s.durations != nil && r != nil {
		duration := time.Duration(0)
		if p := s.progress(r); !r.startedAt.IsZero() && !p.Partial {
			duration = time.Duration(float64(p.Elapsed) * p.Speed)
		}
		u.step.occurrence.expect.Finish(u.step.index, duration, s.now)
	}
}

// progress returns the progress of a run whose members all run.
func (s *session) progress(r *run) expect.Run {
	p := expect.Run{Elapsed: s.now.Sub(r.startedAt), Speed: math.Inf(1), Share: math.Inf(1), Partial: r.restored || r.unit.step.spec.GetFills()}
	racks := make([]string, len(r.members))
	for i, m := range r.members {
		racks[i] = m.worker.entry.Rack
		p.Speed = min(p.Speed, m.worker.speed.Value()/s.typicalSpeed)
		p.Partial = p.Partial || m.startOrder.Checkpoint != ""
		if share := min(m.percent/fullPercent, 1); share < p.Share {
			p.Share, p.At = share, m.progressedAt.Sub(r.startedAt)
			p.BaseShare, p.BaseAt = m.firstPercent/fullPercent, m.firstReportedAt.Sub(r.startedAt)
		}
	}
	if !p.Partial {
		p.BaseShare, p.BaseAt = 0, 0
	}
	p.Partial = p.Partial || expect.Slowed(r.unit.step.spec, racks)
	return p
}
