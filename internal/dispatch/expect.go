package dispatch

import (
	"math"
	"time"

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
	for _, j := range s.jobs {
		if !j.hasEnded() {
			s.updateQueueStats(j)
		}
	}
}

// expected returns the expected durations of a job's latest occurrence.
func (s *session) expected(j *job) assign.Expectations {
	if len(j.occurrences) == 0 {
		return s.model.Occurrence(j.spec).Expected
	}
	return j.occurrences[len(j.occurrences)-1].expect.Expected
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
	for _, m := range r.members {
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
	p.Partial = p.Partial || !assign.RunsNear(r.unit.step.spec, r.racks())
	return p
}
