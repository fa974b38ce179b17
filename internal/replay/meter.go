package replay

import (
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// meter sums what happens in one data centre. Accelerator times are in milliseconds.
type meter struct {
	measured window
	last     int64
	usable   *usable
	// free, unusable and unusableLargest are accelerators from the last observation on.
	free            int64
	unusable        int64
	unusableLargest int64
	present         int64
	// speed is the sum of the speeds of the present accelerators, per mille.
	speed int64

	freeTime            int64
	unusableTime        int64
	unusableLargestTime int64
	presentTime         int64
	usedTime            int64
	// speedTime and workedTime are times by speed: what the present accelerators could do, and what was done and kept.
	speedTime        int64
	workedTime       int64
	lostToPreemption int64
	lostToMoves      int64
	lostToFailures   int64
	preemptions      int
	moves            int
	decisions        int
}

func newMeter(measured window, checker *checker) *meter {
	return &meter{measured: measured, usable: newUsable(checker)}
}

// advance sums up to the time given.
func (m *meter) advance(nowMillis int64) {
	span := m.measured.overlap(m.last, nowMillis)
	m.freeTime += m.free * span
	m.unusableTime += m.unusable * span
	m.unusableLargestTime += m.unusableLargest * span
	m.presentTime += m.present * span
	m.speedTime += m.speed * span
	m.last = nowMillis
}

// ran counts the part of a run whose work was kept as used.
func (m *meter) ran(target *job, result policy.EndResult, nowMillis int64) {
	until := nowMillis
	if result != policy.Finished && result != policy.Cancelled {
		until = target.startedMillis + scaled(target.keptMillis-target.keptAtStart, target.speedPermille)
	}
	used := m.measured.overlap(target.startedMillis, min(until, nowMillis)) * int64(target.accelerators())
	m.usedTime += used
	m.workedTime += used * int64(target.speedPermille)
}

// observe takes the free accelerators of the healthy workers, and which of them no shape can use.
func (m *meter) observe(checker *checker, claims *claimChecker) {
	shapes := claims.shapes()
	m.free, m.present, m.speed = 0, 0, 0
	for _, worker := range checker.order {
		if worker.condition == policy.Lost {
			continue
		}
		m.present += int64(worker.Accelerators)
		m.speed += int64(worker.Accelerators) * int64(worker.SpeedPermille)
		if worker.condition == policy.Healthy {
			m.free += int64(worker.left.freeCount())
		}
	}
	m.usable.reset()
	m.unusableLargest = m.free
	for at, shape := range shapes {
		m.usable.add(shape)
		if at == 0 {
			m.unusableLargest = m.free - m.usable.total()
		}
	}
	m.unusable = m.free - m.usable.total()
}
