package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// speedsInterval is the minimum time between two records of the speeds.
const speedsInterval = 3 * time.Second

// learnSpeed updates the speed of a worker from the progress of a task, which is complete at the end of its run. All members of a gang
// progress alike, so that only the first gives samples, and wait for the others at the end.
func (s *session) learnSpeed(m *member, percent float64, ended bool) {
	r, st := m.run, m.run.unit.step
	if m.index != 0 || st.spec.GetLongRunning() || st.spec.GetFills() || r.startedAt.IsZero() || r.stopReason != "" ||
		(percent >= fullPercent && !ended) {
		return
	}
	report := learned.Report{Share: percent / fullPercent, At: s.now}
	if m.worker.clockReadAt.Equal(s.now) {
		report.ClockMs = m.worker.clockMs
	}
	share, elapsed, ok := m.progress.Add(report, r.startedAt, r.restored || m.startOrder.Checkpoint != "", ended)
	if !ok {
		return
	}
	speeds := make([]*learned.Speed, len(r.members))
	for i, other := range r.members {
		speeds[i] = &other.worker.speed
	}
	if slowest, workers := learned.Slowest(speeds); assign.RunsNear(st.spec, r.racks()) {
		s.speeds.AddSample(slowest, &st.rate, &m.rate, learned.SpeedSample{
			At: s.now, Share: share, Elapsed: elapsed, Estimate: assign.Estimate(st.spec), Workers: workers,
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

// restoreSpeed restores the speed of a worker that an earlier owner learned.
func (s *session) restoreSpeed(ws *workerState) {
	recorded := s.Replica.Speeds()
	if known := recorded.GetSpeed()[ws.id]; known > 0 {
		ws.speed, ws.speedStartMs = learned.RestoredSpeed(known), recorded.GetWorkerStartMs()[ws.id]
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
	speeds, samples := &storev1.Speeds{Speed: map[string]float64{}, WorkerStartMs: map[string]int64{}}, 0
	for _, ws := range s.workers {
		if ws.speed.Samples() > 0 {
			speeds.Speed[ws.id] = ws.speed.Value()
			if ws.speedStartMs != 0 {
				speeds.WorkerStartMs[ws.id] = ws.speedStartMs
			}
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
