package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// sampleProgress is the progress in percent between two sights that make a sample: progress comes in whole percent.
	sampleProgress = 12
	// speedsEvery spaces the records of the speeds.
	speedsEvery = 3 * time.Second
)

// learnSpeed learns a worker's speed from the progress of a task.
func (s *session) learnSpeed(m *member, percent float64) {
	step := m.run.unit.step.spec
	if step.GetLongRunning() || m.run.started.IsZero() || percent >= allPercent {
		return
	}
	if m.baseAt.IsZero() || percent < m.base {
		m.base, m.baseAt = percent, s.now
		return
	}
	if percent-m.base < sampleProgress {
		return
	}
	m.host.speed.AddSample((percent-m.base)/allPercent, assign.Estimate(step), s.now.Sub(m.baseAt))
	m.base, m.baseAt = percent, s.now
}

// inherit takes over a speed that an earlier owner learned.
func (s *session) inherit(h *host) {
	if known := s.Replica.Speeds()[h.id]; known > 0 {
		h.speed = learned.RestoredSpeed(known)
	}
}

// recordSpeeds stores the speeds for a successor, if any was learned since the last time.
func (s *session) recordSpeeds() {
	if s.now.Sub(s.speedsAt) < speedsEvery {
		return
	}
	s.speedsAt = s.now
	speeds, samples := map[string]float64{}, 0
	for _, h := range s.workers {
		if h.speed.Samples() > 0 {
			speeds[h.id] = h.speed.Value()
			samples += h.speed.Samples()
		}
	}
	if samples == s.speedSamples {
		return
	}
	s.speedSamples = samples
	record, err := replica.SpeedsRecord(speeds)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.record(nil, record)
}
