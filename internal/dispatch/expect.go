package dispatch

import (
	"math"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// updateExpectations updates the expected durations of all open jobs from what has been learned and from their runs in progress.
func (s *session) updateExpectations() {
	if !s.model.Learns() {
		return
	}
	var open []*expect.Occurrence
	for _, j := range s.jobs {
		if j.hasEnded() {
			continue
		}
		for _, o := range j.occurrences {
			if o.done() {
				continue
			}
			o.expect.Reset()
			for _, st := range o.steps {
				for _, u := range st.units {
					if u.run != nil && !u.run.startedAt.IsZero() {
						o.expect.Add(st.index, s.progress(u.run))
					}
				}
			}
			open = append(open, o.expect)
		}
	}
	s.model.Update(open)
}

// timeToObjective returns the time to the objective of an execution of a job. It counts on a worker of speed 1 while the declared estimates
// are used, and on fast workers otherwise.
func (s *session) timeToObjective(spec *storev1.Job, execution *expect.Occurrence) time.Duration {
	speed := 1.0
	if fast, known := s.objectiveSpeeds[s.serviceOf(spec)]; known && execution.Learned(0) {
		speed = fast
	}
	return assign.TimeToObjective(spec, execution.Expected, speed)
}

// recordDurations records what was learned of durations for the next owner.
func (s *session) recordDurations() {
	if durations := s.model.Record(s.now); durations != nil {
		record, err := replica.DurationsRecord(durations)
		if err != nil {
			s.term.StepDown(err.Error())
			return
		}
		s.appendRecords(s.model.Stored, record)
	}
}

// learnDuration learns from the run of a unit that is done. The duration of the whole task is known if the run began at its start, and in
// this term.
func (s *session) learnDuration(u *unit) {
	if r := u.run; r != nil {
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
	silent := false
	for _, m := range r.members {
		// The end of a task, or its progress, is noticed late then.
		silent = silent || m.worker.lostAt.After(r.startedAt)
		p.Speed = min(p.Speed, m.worker.speed.Value())
		p.Partial = p.Partial || m.startOrder.Checkpoint != ""
		if share := min(m.percent/fullPercent, 1); share < p.Share {
			p.Share, p.At = share, m.progressedAt.Sub(r.startedAt)
			p.BaseShare, p.BaseAt = m.firstPercent/fullPercent, m.firstReportedAt.Sub(r.startedAt)
		}
	}
	if !p.Partial {
		p.BaseShare, p.BaseAt = 0, 0
	}
	p.Partial = p.Partial || silent || !assign.RunsNear(r.unit.step.spec, r.racks())
	return p
}
