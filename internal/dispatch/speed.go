package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// minSampleProgress is the progress between two reports that makes a sample, in percent: progress is reported in whole
	// percent. The end of a task makes a sample of minFinalProgress.
	minSampleProgress = 12
	minFinalProgress  = 5
	// speedsInterval is the minimum time between two records of the speeds.
	speedsInterval = 3 * time.Second
)

// speedBase is a report of the progress of a task, which the next sample of the speed starts from.
type speedBase struct {
	percent float64
	at      time.Time
	// clockMs is the worker's clock; 0 if unknown.
	clockMs int64
}

// elapsedSince returns the time since an earlier report, by the worker's clock if possible: a busy instance reads reports late.
func (b speedBase) elapsedSince(earlier speedBase) time.Duration {
	if b.clockMs > earlier.clockMs && earlier.clockMs > 0 {
		return time.Duration(b.clockMs-earlier.clockMs) * time.Millisecond
	}
	return b.at.Sub(earlier.at)
}

// learnSpeed updates the speed of a worker from the progress of a task, which is complete at the end of its run. All members of a gang
// progress alike, so that only the first gives samples.
func (s *session) learnSpeed(m *member, percent float64, ended bool) {
	r, st := m.run, m.run.unit.step
	if m.index != 0 || st.spec.GetLongRunning() || st.spec.GetFills() || r.startedAt.IsZero() || r.stopReason != "" {
		return
	}
	if percent >= fullPercent && !ended {
		return // a gang's member waits for the others
	}
	current := speedBase{percent: percent, at: s.now}
	if m.worker.clockReadAt.Equal(s.now) {
		current.clockMs = m.worker.clockMs
	}
	if m.speedBase.at.IsZero() {
		switch {
		case !r.restored && m.startOrder.Checkpoint == "":
			m.speedBase = speedBase{at: r.startedAt}
		case m.percent > 0 && percent > m.percent && !ended:
			m.speedBase = current // the checkpoint is restored
			return
		default:
			return
		}
	}
	progress := percent - m.speedBase.percent
	if progress < 0 {
		m.speedBase = current
	}
	if progress < minSampleProgress && (!ended || progress < minFinalProgress) {
		return
	}
	elapsed := current.elapsedSince(m.speedBase)
	m.speedBase = current
	if assign.RunsNear(st.spec, r.racks()) {
		slowest, workers := r.slowestWorker()
		s.speeds.AddSample(&slowest.speed, &st.rate, &m.rate, learned.SpeedSample{
			At: s.now, Share: progress / fullPercent, Elapsed: elapsed, Estimate: assign.Estimate(st.spec), Workers: workers,
		})
	}
}

// racks returns the rack of each member's worker.
func (r *run) racks() []string {
	racks := make([]string, len(r.members))
	for i, m := range r.members {
		racks[i] = m.worker.entry.Rack
	}
	return racks
}

// slowestWorker returns the worker of a run that is the slowest as far as known, and the number of its workers.
func (r *run) slowestWorker() (*workerState, int) {
	slowest, workers := r.members[0].worker, map[*workerState]bool{}
	for _, m := range r.members {
		workers[m.worker] = true
		if m.worker.speed.Value() < slowest.speed.Value() {
			slowest = m.worker
		}
	}
	return slowest, len(workers)
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
	all := make([]*learned.Speed, 0, len(s.workers))
	for _, ws := range s.workers {
		all = append(all, &ws.speed)
	}
	s.speeds.Recenter(all)
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
