package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// minSampleProgress is the progress between two reports that makes a sample, in percent: progress is reported in whole
	// percent.
	minSampleProgress = 12
	// speedsInterval is the minimum time between two records of the speeds.
	speedsInterval = 3 * time.Second
)

// learnSpeed updates the speed of a worker from the progress of a task.
func (s *session) learnSpeed(m *member, percent float64) {
	step := m.run.unit.step.spec
	if step.GetLongRunning() || m.run.startedAt.IsZero() || percent >= fullPercent {
		return
	}
	if m.speedBaseAt.IsZero() || percent < m.speedBasePercent {
		m.speedBasePercent, m.speedBaseAt = percent, s.now
		return
	}
	if percent-m.speedBasePercent < minSampleProgress {
		return
	}
	m.worker.speed.AddSample((percent-m.speedBasePercent)/fullPercent, assign.Estimate(step), s.now.Sub(m.speedBaseAt))
	m.speedBasePercent, m.speedBaseAt = percent, s.now
}

// restoreSpeed restores the speed of a worker that an earlier owner learned.
func (s *session) restoreSpeed(ws *workerState) {
	if known := s.Replica.Speeds()[ws.id]; known > 0 {
		ws.speed = learned.RestoredSpeed(known)
	}
}

// recordSpeeds records the speeds for the next owner, if there are new samples.
func (s *session) recordSpeeds() {
	if s.now.Sub(s.lastSpeedsCheck) < speedsInterval {
		return
	}
	s.lastSpeedsCheck = s.now
	speeds, samples := map[string]float64{}, 0
	for _, ws := range s.workers {
		if ws.speed.Samples() > 0 {
			speeds[ws.id] = ws.speed.Value()
			samples += ws.speed.Samples()
		}
	}
	if samples == s.recordedSpeedSamples {
		return
	}
	s.recordedSpeedSamples = samples
	record, err := replica.SpeedsRecord(speeds)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.appendRecords(nil, record)
}
