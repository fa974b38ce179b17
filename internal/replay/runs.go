package replay

import (
	"math"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// crossRackSlowdown is how much longer a gang takes that should share a rack and doesn't.
const crossRackSlowdown = 3

// referenceSpeed is a worker's speed in the trace that counts as 1.
const referenceSpeed = 1000

func (j *job) runsOn(worker string) bool { return slices.Contains(j.workers, worker) }

// accelerators is how many a job holds.
func (j *job) accelerators() int64 {
	return int64(j.step.GetCount() * j.step.GetNeed().GetAccelerators())
}

// startRun applies a decision; one that breaks an invariant is counted and refused.
func (d *dataCentreReplay) startRun(target *job, workers []string) {
	if !d.checker.checkStart(d, target, workers) {
		return
	}
	target.phase, target.workers = starting, workers
	target.generation++
	d.addUsage(target, 1)
	d.schedule(target, startDue, startDelayMillis)
}

// addUsage takes a job's room on its workers, or gives it back with a factor of -1.
func (d *dataCentreReplay) addUsage(target *job, factor int) {
	room := assign.ResourcesOf(target.step)
	if factor < 0 {
		room = assign.Resources{}.Sub(room)
	}
	for _, name := range target.workers {
		d.workersByName[name].used = d.workersByName[name].used.Add(room)
	}
}

// beginRun begins the run of a gang whose members are all there.
func (d *dataCentreReplay) beginRun(target *job) {
	target.phase, target.startedAt, target.savedAtStart, target.speed = running, d.now, target.savedWork, d.speedOf(target)
	if target.firstStart == 0 {
		target.firstStart = d.now
		d.checker.checkFirstStart(d, target)
	}
	if target.trace.GetFails() || d.failingWorker(target) != "" {
		d.schedule(target, failDue, failDelayMillis)
		return
	}
	d.schedule(target, finishDue, int64(math.Ceil(float64(target.trace.GetRunMs()-target.savedWork)/target.speed)))
}

// speedOf is the speed of the slowest member, less on several racks where the gang should share one.
func (d *dataCentreReplay) speedOf(target *job) float64 {
	speed, racks := math.Inf(1), map[string]bool{}
	for _, name := range target.workers {
		speed = min(speed, float64(d.workersByName[name].GetSpeedPermille())/referenceSpeed)
		racks[d.workersByName[name].GetRack()] = true
	}
	if target.step.GetSameRack() && len(racks) > 1 {
		return speed / crossRackSlowdown
	}
	return speed
}

// failingWorker is the first worker of a job that fails what it starts; empty when none does.
func (d *dataCentreReplay) failingWorker(target *job) string {
	for _, name := range target.workers {
		if d.workersByName[name].condition == apiv1.TraceCondition_TRACE_CONDITION_FAILING {
			return name
		}
	}
	return ""
}

// workDone is the work workDone so far, kept or not.
func (d *dataCentreReplay) workDone(target *job) int64 {
	if target.phase != running && target.phase != stopping {
		return target.savedWork
	}
	return min(target.trace.GetRunMs(), target.savedAtStart+int64(float64(d.now-target.startedAt)*target.speed))
}

// checkpointedWork is the work that the last periodic checkpoint kept.
func (d *dataCentreReplay) checkpointedWork(target *job) int64 {
	every := target.trace.GetCheckpointEveryMs()
	if every == 0 || (target.phase != running && target.phase != stopping) {
		return target.savedWork
	}
	whole := (d.now - target.startedAt) / every * every
	return max(target.savedWork, min(target.trace.GetRunMs(), target.savedAtStart+int64(float64(whole)*target.speed)))
}

// stopRun lets a run give way: it is saved if there is time for it, else it goes back to its last checkpoint.
func (d *dataCentreReplay) stopRun(target *job) {
	if target.phase != running && target.phase != starting {
		d.checker.addViolation(InvalidDecision, target, d.now, "stop of a job that does not run")
		return
	}
	takes := target.trace.GetCheckpointMs()
	target.savesOnStop = target.phase == running && takes <= maxStopMillis && !target.trace.GetFails()
	target.phase = stopping
	target.generation++ // what was to come of the run is void
	d.schedule(target, stopDue, min(takes, maxStopMillis))
}

func (d *dataCentreReplay) completeStop(target *job) {
	kept := d.checkpointedWork(target)
	if target.savesOnStop {
		kept = d.workDone(target)
	}
	d.meter.preemptions++
	d.meter.lostToPreemption += d.lostAcceleratorMillis(target, kept)
	d.endRun(target, kept)
}

// loseRun ends a run whose worker went.
func (d *dataCentreReplay) loseRun(target *job) {
	kept := d.checkpointedWork(target)
	d.meter.lostToFailures += d.lostAcceleratorMillis(target, kept)
	d.endRun(target, kept)
}

// lostAcceleratorMillis is the accelerator time of the current run that isn't kept, milliseconds.
func (d *dataCentreReplay) lostAcceleratorMillis(target *job, kept int64) int64 {
	if target.startedAt == 0 || target.speed == 0 {
		return 0
	}
	return max(0, d.now-target.startedAt-int64(float64(kept-target.savedAtStart)/target.speed)) * target.accelerators()
}

func (d *dataCentreReplay) failRun(target *job) {
	culprit := d.failingWorker(target)
	if culprit == "" {
		culprit = target.workers[0]
	}
	target.failures++
	target.avoid[culprit] = true
	d.workersByName[culprit].health.RecordFailure(d.currentTime())
	kept := d.checkpointedWork(target)
	d.meter.lostToFailures += d.lostAcceleratorMillis(target, kept)
	d.endRun(target, kept)
	if target.failures >= maxFailures {
		d.closeJob(target, failed)
	}
}

func (d *dataCentreReplay) finishRun(target *job) {
	took := time.Duration(d.now-target.startedAt) * time.Millisecond
	share := float64(target.trace.GetRunMs()-target.savedAtStart) / float64(target.trace.GetRunMs())
	for _, name := range target.workers {
		d.workersByName[name].health.RecordSuccess()
		d.workersByName[name].speed.AddSample(share, assign.Estimate(target.step), took)
	}
	d.endRun(target, target.trace.GetRunMs())
	d.closeJob(target, finished)
}

func (d *dataCentreReplay) cancelJob(target *job) {
	if target.phase.ended() {
		return
	}
	d.endRun(target, target.savedWork)
	d.closeJob(target, cancelled)
}

// endRun frees a job's room and lets it wait.
func (d *dataCentreReplay) endRun(target *job, kept int64) {
	if target.phase != waiting {
		d.meter.addRun(target, kept, d.now)
		d.addUsage(target, -1)
	}
	target.phase, target.workers, target.savedWork, target.waitingSince, target.savesOnStop = waiting, nil, kept, d.now, false
	target.generation++
}

func (d *dataCentreReplay) closeJob(target *job, how phase) {
	target.phase, target.endedAt = how, d.now
	d.openJobs = slices.DeleteFunc(d.openJobs, func(each *job) bool { return each == target })
	d.checker.checkEnded(d, target)
}

func (d *dataCentreReplay) schedule(target *job, kind eventKind, after int64) {
	d.queue.push(event{timeMillis: d.now + after, kind: kind, job: target, generation: target.generation})
}

// currentTime is now as the planner knows it.
func (d *dataCentreReplay) currentTime() time.Time { return time.UnixMilli(d.now) }
