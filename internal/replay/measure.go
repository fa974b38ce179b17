package replay

import (
	"slices"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// meter sums the accelerator times of one data centre, in accelerator milliseconds, and counts its preemptions.
type meter struct {
	measured   window
	lastMillis int64
	// free, unusable and present are the numbers of accelerators at the last observation. present counts those of workers
	// that are not lost; unusable counts free ones that no waiting job or guaranteed shape can use.
	free, unusable, present int64

	freeTime, unusableTime, presentTime, usedTime int64
	lostToPreemption, lostToFailures              int64
	preemptions                                   int
}

// advance adds the times from the last call until now.
func (m *meter) advance(now int64) {
	span := m.measured.overlap(m.lastMillis, now)
	m.freeTime += m.free * span
	m.unusableTime += m.unusable * span
	m.presentTime += m.present * span
	m.lastMillis = now
}

// addRun adds to usedTime the part of a run whose work is saved.
func (m *meter) addRun(target *job, saved, now int64) {
	if target.startedAt == 0 || target.speed == 0 {
		return
	}
	until := min(now, target.startedAt+int64(float64(saved-target.savedAtStart)/target.speed))
	m.usedTime += m.measured.overlap(target.startedAt, until) * target.accelerators()
}

// observe counts the present, free and unusable accelerators.
func (m *meter) observe(d *dataCentreReplay) {
	m.free, m.present = 0, 0
	for _, w := range d.workers {
		if w.isPresent() {
			m.present += int64(w.capacity.Accelerators)
			m.free += int64(w.capacity.Sub(w.used).Accelerators)
		}
	}
	m.unusable = m.free - d.usableAccelerators()
}

// shape is the number of members of a gang, what each needs, and whether all must be on one rack.
type shape struct {
	members  int
	need     assign.Resources
	sameRack bool
}

// usableAccelerators returns the number of free accelerators that a waiting job or a guaranteed shape could use.
func (d *dataCentreReplay) usableAccelerators() int64 {
	shapes := slices.Clone(d.guaranteed.shapes)
	for _, j := range d.openJobs {
		if j.phase != waiting || j.step.GetNeed().GetAccelerators() == 0 {
			continue
		}
		if requested := shapeOf(j.step); !slices.Contains(shapes, requested) {
			shapes = append(shapes, requested)
		}
	}
	usable := make([]int, len(d.workers))
	for _, requested := range shapes {
		d.addUsable(requested, usable)
	}
	total := int64(0)
	for _, accelerators := range usable {
		total += int64(accelerators)
	}
	return total
}

func shapeOf(step *storev1.Step) shape {
	return shape{int(step.GetCount()), assign.ResourcesOf(step), step.GetSameRack()}
}

// addUsable raises usable, the number of usable accelerators of each worker, to the number that members of the requested
// shape could use there. It counts only workers where a whole gang fits, on their rack if the shape asks for one rack.
func (d *dataCentreReplay) addUsable(requested shape, usable []int) {
	fits, groupFits := make([]int, len(d.workers)), map[string]int{}
	for i, w := range d.workers {
		if !w.isPresent() {
			continue
		}
		for free := w.capacity.Sub(w.used); free.Contains(requested.need); free = free.Sub(requested.need) {
			fits[i]++
		}
		groupFits[requested.placementGroup(w)] += fits[i]
	}
	for i, w := range d.workers {
		if groupFits[requested.placementGroup(w)] >= requested.members {
			usable[i] = max(usable[i], fits[i]*requested.need.Accelerators)
		}
	}
}

// placementGroup returns the rack of a worker if all members must be on one rack, else "".
func (s shape) placementGroup(w *workerState) string {
	if s.sameRack {
		return w.GetRack()
	}
	return ""
}
