package replay

import (
	"slices"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// meter sums what happens in one data centre. Accelerator times are in milliseconds.
type meter struct {
	measured   window
	lastMillis int64
	// free, unusable and present are accelerators from the last observation on.
	free, unusable, present int64

	freeTime, unusableTime, presentTime, usedTime int64
	lostToPreemption, lostToFailures              int64
	preemptions                                   int
}

// advance sums up to the time given.
func (m *meter) advance(now int64) {
	span := m.measured.overlap(m.lastMillis, now)
	m.freeTime += m.free * span
	m.unusableTime += m.unusable * span
	m.presentTime += m.present * span
	m.lastMillis = now
}

// addRun counts the part of a run whose work is kept as used.
func (m *meter) addRun(target *job, kept, now int64) {
	if target.startedAt == 0 || target.speed == 0 {
		return
	}
	until := min(now, target.startedAt+int64(float64(kept-target.savedAtStart)/target.speed))
	m.usedTime += m.measured.overlap(target.startedAt, until) * target.accelerators()
}

// observe takes the free accelerators, and which of them no waiting job could use whole.
func (m *meter) observe(d *dataCentreReplay) {
	m.free, m.present = 0, 0
	for _, h := range d.workers {
		if h.isPresent() {
			m.present += int64(h.capacity.Accelerators)
			m.free += int64(h.capacity.Sub(h.used).Accelerators)
		}
	}
	m.unusable = m.free - d.usableAccelerators()
}

// shape is what a gang asks for.
type shape struct {
	members  int
	need     assign.Resources
	sameRack bool
}

// usableAccelerators counts the free accelerators that at least one shape that waits or is guaranteed could take.
func (d *dataCentreReplay) usableAccelerators() int64 {
	shapes := slices.Clone(d.guaranteed.shapes)
	for _, each := range d.openJobs {
		if each.phase != waiting || each.step.GetNeed().GetAccelerators() == 0 {
			continue
		}
		if wanted := shapeOf(each.step); !slices.Contains(shapes, wanted) {
			shapes = append(shapes, wanted)
		}
	}
	most := make([]int, len(d.workers))
	for _, wanted := range shapes {
		d.addUsable(wanted, most)
	}
	total := int64(0)
	for _, accelerators := range most {
		total += int64(accelerators)
	}
	return total
}

func shapeOf(step *storev1.Step) shape {
	return shape{int(step.GetCount()), assign.ResourcesOf(step), step.GetSameRack()}
}

// addUsable raises what is usable on each worker by a shape, wherever a whole gang of it fits.
func (d *dataCentreReplay) addUsable(wanted shape, most []int) {
	fits, room := make([]int, len(d.workers)), map[string]int{}
	for i, h := range d.workers {
		if !h.isPresent() {
			continue
		}
		for left := h.capacity.Sub(h.used); left.Contains(wanted.need); left = left.Sub(wanted.need) {
			fits[i]++
		}
		room[wanted.placementGroup(h)] += fits[i]
	}
	for i, h := range d.workers {
		if room[wanted.placementGroup(h)] >= wanted.members {
			most[i] = max(most[i], fits[i]*wanted.need.Accelerators)
		}
	}
}

// placementGroup is where all members have to be.
func (s shape) placementGroup(h *workerState) string {
	if s.sameRack {
		return h.GetRack()
	}
	return ""
}
