package expect

import (
	"slices"
	"strings"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// recordInterval is the minimum time between two records of what was learned.
const recordInterval = 5 * time.Second

// Model is what an owner knows of durations, and how far that is recorded for the next owner.
type Model struct {
	// durations is nil if the declared estimates are used.
	durations *learned.Durations
	events    *events.Logger
	// recordedAt is when the latest record was made, with recorded observations; pending is true until it is stored.
	recordedAt time.Time
	recorded   uint64
	pending    bool
	// inUse has the queues whose predictions were in use when the latest record was made.
	inUse map[string]bool
}

// NewModel returns the model of a new owner, which continues with what the last one has recorded; nil if nothing was. Without learning, the
// declared estimates are used.
func NewModel(recorded *storev1.Durations, learning bool, logger *events.Logger) *Model {
	m := &Model{events: logger, inUse: map[string]bool{}}
	if !learning {
		return m
	}
	m.durations = learned.NewDurations()
	if recorded == nil {
		return m
	}
	restored, err := learned.RestoreDurations(recorded)
	if err != nil {
		logger.Log(events.DurationsIgnored, "error", err)
		return m
	}
	m.durations = restored
	runs := uint64(0)
	for name, accuracy := range restored.Accuracy() {
		runs += accuracy.FinishedRuns
		m.inUse[name] = accuracy.Learned
	}
	logger.Log(events.DurationsRestored, "queues", len(recorded.GetQueues()), "finished_runs", runs)
	return m
}

// Learns reports whether the model learns. Otherwise the declared estimates are used.
func (m *Model) Learns() bool { return m.durations != nil }

// Update updates what is expected of occurrences to whose runs in progress the caller has updated them.
func (m *Model) Update(occurrences []*Occurrence) {
	var running []learned.Running
	for _, o := range occurrences {
		running = o.running(running)
	}
	m.durations.SetRunning(running)
	for _, o := range occurrences {
		o.update()
	}
}

// Record returns what was learned, if that is to be recorded now, and nil otherwise. The next one follows only once this one is stored.
func (m *Model) Record(now time.Time) *storev1.Durations {
	if !m.Learns() || m.pending || now.Sub(m.recordedAt) < recordInterval || m.durations.Observations() == m.recorded {
		return nil
	}
	m.recordedAt, m.recorded, m.pending = now, m.durations.Observations(), true
	for name, accuracy := range m.durations.Accuracy() {
		if accuracy.Learned != m.inUse[name] {
			m.inUse[name] = accuracy.Learned
			m.events.Log(events.DurationsLearned, "queue", name, "in_use", accuracy.Learned, "finished_runs", accuracy.FinishedRuns,
				"declared_factor", accuracy.DeclaredFactor, "predicted_factor", accuracy.PredictedFactor)
		}
	}
	return m.durations.Record()
}

// Stored records that the latest record is stored.
func (m *Model) Stored() { m.pending = false }

// Queues returns how well the durations of each queue are known, sorted by its name.
func (m *Model) Queues() []*apiv1.QueueDurations {
	if !m.Learns() {
		return nil
	}
	var queues []*apiv1.QueueDurations
	for name, accuracy := range m.durations.Accuracy() {
		queues = append(queues, &apiv1.QueueDurations{
			Queue: name, FinishedRuns: accuracy.FinishedRuns, Learned: accuracy.Learned,
			DeclaredFactor: accuracy.DeclaredFactor, PredictedFactor: accuracy.PredictedFactor,
		})
	}
	slices.SortFunc(queues, func(a, b *apiv1.QueueDurations) int { return strings.Compare(a.GetQueue(), b.GetQueue()) })
	return queues
}
