package replay

import (
	"math"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// remoteSlowdown is how much longer a gang takes that should share a rack and doesn't.
const remoteSlowdown = 3

// unitSpeed is a worker's speed in the trace that counts as 1.
const unitSpeed = 1000

func (j *job) on(worker string) bool { return slices.Contains(j.workers, worker) }

// accelerators is how many a job holds.
func (j *job) accelerators() int64 {
	return int64(j.step.GetCount() * j.step.GetNeed().GetAccelerators())
}

// start applies a decision; one that breaks an invariant is counted and refused.
func (d *domain) start(target *job, workers []string) {
	if !d.check.start(d, target, workers) {
		return
	}
	target.phase, target.workers = starting, workers
	target.run++
	d.use(target, 1)
	d.push(target, startDue, startMillis)
}

// use takes a job's room on its workers, or gives it back with a factor of -1.
func (d *domain) use(target *job, factor int) {
	room := assign.ResourcesOf(target.step)
	if factor < 0 {
		room = assign.Resources{}.Sub(room)
	}
	for _, name := range target.workers {
		d.hosts[name].used = d.hosts[name].used.Add(room)
	}
}

// started begins the run of a gang whose members are all there.
func (d *domain) started(target *job) {
	target.phase, target.started, target.keptAtStart, target.speed = running, d.now, target.kept, d.speedOf(target)
	if target.firstStart == 0 {
		target.firstStart = d.now
		d.check.firstStart(d, target)
	}
	if target.trace.GetFails() || d.culprit(target) != "" {
		d.push(target, failDue, failMillis)
		return
	}
	d.push(target, finishDue, int64(math.Ceil(float64(target.trace.GetRunMs()-target.kept)/target.speed)))
}

// speedOf is the speed of the slowest member, less on several racks where the gang should share one.
func (d *domain) speedOf(target *job) float64 {
	speed, racks := math.Inf(1), map[string]bool{}
	for _, name := range target.workers {
		speed = min(speed, float64(d.hosts[name].GetSpeedPermille())/unitSpeed)
		racks[d.hosts[name].GetRack()] = true
	}
	if target.step.GetSameRack() && len(racks) > 1 {
		return speed / remoteSlowdown
	}
	return speed
}

// culprit is the first worker of a job that fails what it starts; empty when none does.
func (d *domain) culprit(target *job) string {
	for _, name := range target.workers {
		if d.hosts[name].condition == apiv1.TraceCondition_TRACE_CONDITION_FAILING {
			return name
		}
	}
	return ""
}

// done is the work done so far, kept or not.
func (d *domain) done(target *job) int64 {
	if target.phase != running && target.phase != stopping {
		return target.kept
	}
	return min(target.trace.GetRunMs(), target.keptAtStart+int64(float64(d.now-target.started)*target.speed))
}

// checkpointed is the work that the last periodic checkpoint kept.
func (d *domain) checkpointed(target *job) int64 {
	every := target.trace.GetCheckpointEveryMs()
	if every == 0 || (target.phase != running && target.phase != stopping) {
		return target.kept
	}
	whole := (d.now - target.started) / every * every
	return max(target.kept, min(target.trace.GetRunMs(), target.keptAtStart+int64(float64(whole)*target.speed)))
}

// stop lets a run give way: it is saved if there is time for it, else it goes back to its last checkpoint.
func (d *domain) stop(target *job) {
	if target.phase != running && target.phase != starting {
		d.check.violate(InvalidDecision, target, d.now, "stop of a job that does not run")
		return
	}
	takes := target.trace.GetCheckpointMs()
	target.saves = target.phase == running && takes <= stopMillis && !target.trace.GetFails()
	target.phase = stopping
	target.run++ // what was to come of the run is void
	d.push(target, stopDue, min(takes, stopMillis))
}

func (d *domain) stopped(target *job) {
	kept := d.checkpointed(target)
	if target.saves {
		kept = d.done(target)
	}
	d.meter.preemptions++
	d.meter.lostToPreemption += d.lostTime(target, kept)
	d.endRun(target, kept)
}

// lost ends a run whose worker went.
func (d *domain) lost(target *job) {
	kept := d.checkpointed(target)
	d.meter.lostToFailures += d.lostTime(target, kept)
	d.endRun(target, kept)
}

// lostTime is the accelerator time of the current run that isn't kept, milliseconds.
func (d *domain) lostTime(target *job, kept int64) int64 {
	if target.started == 0 || target.speed == 0 {
		return 0
	}
	return max(0, d.now-target.started-int64(float64(kept-target.keptAtStart)/target.speed)) * target.accelerators()
}

func (d *domain) failed(target *job) {
	culprit := d.culprit(target)
	if culprit == "" {
		culprit = target.workers[0]
	}
	target.failures++
	target.avoid[culprit] = true
	d.hosts[culprit].health.RecordFailure(d.time())
	kept := d.checkpointed(target)
	d.meter.lostToFailures += d.lostTime(target, kept)
	d.endRun(target, kept)
	if target.failures >= maxFailures {
		d.close(target, failed)
	}
}

func (d *domain) finish(target *job) {
	took := time.Duration(d.now-target.started) * time.Millisecond
	share := float64(target.trace.GetRunMs()-target.keptAtStart) / float64(target.trace.GetRunMs())
	for _, name := range target.workers {
		d.hosts[name].health.RecordSuccess()
		d.hosts[name].speed.AddSample(share, assign.Estimate(target.step), took)
	}
	d.endRun(target, target.trace.GetRunMs())
	d.close(target, finished)
}

func (d *domain) cancel(target *job) {
	if target.phase.over() {
		return
	}
	d.endRun(target, target.kept)
	d.close(target, cancelled)
}

// endRun frees a job's room and lets it wait.
func (d *domain) endRun(target *job, kept int64) {
	if target.phase != waiting {
		d.meter.ran(target, kept, d.now)
		d.use(target, -1)
	}
	target.phase, target.workers, target.kept, target.since, target.saves = waiting, nil, kept, d.now, false
	target.run++
}

func (d *domain) close(target *job, how phase) {
	target.phase, target.end = how, d.now
	d.open = slices.DeleteFunc(d.open, func(each *job) bool { return each == target })
	d.check.closed(d, target)
}

func (d *domain) push(target *job, kind eventKind, after int64) {
	d.queue.push(event{at: d.now + after, kind: kind, job: target, run: target.run})
}

// time is now as the planner knows it.
func (d *domain) time() time.Time { return time.UnixMilli(d.now) }
