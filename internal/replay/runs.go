package replay

import (
	"math"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// crossRackSlowdown is the factor by which a gang that asks for one rack takes longer on several racks.
const crossRackSlowdown = 3

// recenterIntervalMillis is the minimum time between two calls of Speeds.Recenter.
const recenterIntervalMillis = 3000

// referenceSpeed is the speedPermille of a worker that runs at speed 1.
const referenceSpeed = 1000

func (j *job) runsOn(worker string) bool { return slices.Contains(j.workers, worker) }

// accelerators returns the accelerators of all members of a job.
func (j *job) accelerators() int64 {
	return int64(j.step.GetCount() * j.step.GetNeed().GetAccelerators())
}

// startRun carries out a start that the planner decided on. A start that violates an invariant is recorded and not carried
// out.
func (d *dataCentreReplay) startRun(target *job, workers []string) {
	if !d.checker.checkStart(d, target, workers) {
		return
	}
	target.phase, target.workers, target.placedAt = starting, workers, d.now
	target.generation++
	d.addUsage(target, 1)
	d.schedule(target, startDue, startDelayMillis)
}

// addUsage adds a job's resources to the used resources of its workers; a negative factor subtracts them.
func (d *dataCentreReplay) addUsage(target *job, factor int) {
	resources := assign.ResourcesOf(target.step)
	if factor < 0 {
		resources = assign.Resources{}.Sub(resources)
	}
	for _, name := range target.workers {
		d.workersByName[name].used = d.workersByName[name].used.Add(resources)
	}
}

// beginRun begins the run of a gang when all members have started, and schedules its failure or its end.
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

// speedOf returns the speed of a job: that of its slowest member, divided by crossRackSlowdown if a gang that asks for one
// rack is on several.
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

// failingWorker returns the first worker of a job on which every run fails, or "" if there is none.
func (d *dataCentreReplay) failingWorker(target *job) string {
	for _, name := range target.workers {
		if d.workersByName[name].condition == apiv1.TraceCondition_TRACE_CONDITION_FAILING {
			return name
		}
	}
	return ""
}

// workDone returns the work that a job has done so far, saved or not.
func (d *dataCentreReplay) workDone(target *job) int64 {
	if target.phase != running && target.phase != stopping {
		return target.savedWork
	}
	return min(target.trace.GetRunMs(), target.savedAtStart+int64(float64(d.now-target.startedAt)*target.speed))
}

// checkpointedWork returns the work that a job has saved up to its last periodic checkpoint.
func (d *dataCentreReplay) checkpointedWork(target *job) int64 {
	interval := target.trace.GetCheckpointEveryMs()
	if interval == 0 || (target.phase != running && target.phase != stopping) {
		return target.savedWork
	}
	lastCheckpoint := (d.now - target.startedAt) / interval * interval
	return max(target.savedWork, min(target.trace.GetRunMs(), target.savedAtStart+int64(float64(lastCheckpoint)*target.speed)))
}

// stopRun preempts a run. All work of a running job is saved if its checkpoint takes no longer than maxStopMillis and the
// trace doesn't make the job fail; otherwise the work since the last periodic checkpoint is lost.
func (d *dataCentreReplay) stopRun(target *job) {
	if target.phase != running && target.phase != starting {
		d.checker.addViolation(InvalidDecision, target, d.now, "stop of a job that does not run")
		return
	}
	target.preemptions++
	checkpointMillis := target.trace.GetCheckpointMs()
	target.savesOnStop = target.phase == running && checkpointMillis <= maxStopMillis && !target.trace.GetFails()
	target.phase = stopping
	target.generation++ // invalidates the scheduled events of the run
	d.schedule(target, stopDue, min(checkpointMillis, maxStopMillis))
}

func (d *dataCentreReplay) completeStop(target *job) {
	saved := d.checkpointedWork(target)
	if target.savesOnStop {
		saved = d.workDone(target)
	}
	d.meter.preemptions++
	d.meter.lostToPreemption += d.lostAcceleratorMillis(target, saved)
	d.endRun(target, saved)
}

// loseRun ends a run that lost a worker.
func (d *dataCentreReplay) loseRun(target *job) {
	saved := d.checkpointedWork(target)
	d.meter.lostToFailures += d.lostAcceleratorMillis(target, saved)
	d.endRun(target, saved)
}

// lostAcceleratorMillis returns the accelerator time of the current run whose work is not saved, in milliseconds.
func (d *dataCentreReplay) lostAcceleratorMillis(target *job, saved int64) int64 {
	if target.startedAt == 0 || target.speed == 0 {
		return 0
	}
	return max(0, d.now-target.startedAt-int64(float64(saved-target.savedAtStart)/target.speed)) * target.accelerators()
}

// failRun ends a run that failed. The failure counts against the failing worker, or against the first worker if the job
// itself fails.
func (d *dataCentreReplay) failRun(target *job) {
	blamedWorker := d.failingWorker(target)
	if blamedWorker == "" {
		blamedWorker = target.workers[0]
	}
	target.failures++
	target.avoid[blamedWorker] = true
	d.workersByName[blamedWorker].health.RecordFailure(d.currentTime())
	saved := d.checkpointedWork(target)
	d.meter.lostToFailures += d.lostAcceleratorMillis(target, saved)
	d.endRun(target, saved)
	if target.failures >= maxFailures {
		d.closeJob(target, failed)
	}
}

func (d *dataCentreReplay) finishRun(target *job) {
	runTime := time.Duration(d.now-target.startedAt) * time.Millisecond
	workShare := float64(target.trace.GetRunMs()-target.savedAtStart) / float64(target.trace.GetRunMs())
	for _, name := range target.workers {
		d.workersByName[name].health.RecordSuccess()
	}
	duration := time.Duration(0)
	if p := d.progress(target); !p.Partial {
		duration = time.Duration(float64(p.Elapsed) * p.Speed)
	}
	target.expect.Finish(0, duration, d.currentTime())
	d.learnSpeed(target, workShare, runTime)
	d.endRun(target, target.trace.GetRunMs())
	d.closeJob(target, finished)
}

// learnSpeed updates the speed of the slowest worker of a job that is complete. Each job has one step of one unit, so that there are no
// other tasks to compare it with.
func (d *dataCentreReplay) learnSpeed(target *job, share float64, runTime time.Duration) {
	slowest, racks, workers := d.slowestWorker(target)
	if !assign.RunsNear(target.step, racks) {
		return
	}
	d.speeds.AddSample(&slowest.speed, &learned.StepRate{}, &learned.TaskRate{}, learned.SpeedSample{
		At: d.currentTime(), Share: share, Elapsed: runTime, Estimate: assign.Estimate(target.step), Workers: workers,
	})
	if d.now-d.recenteredAt < recenterIntervalMillis {
		return
	}
	d.recenteredAt = d.now
	all := make([]*learned.Speed, 0, len(d.workers))
	for _, w := range d.workers {
		all = append(all, &w.speed)
	}
	d.speeds.Recenter(all)
}

// slowestWorker returns the worker of a run that is the slowest as far as known, the rack of each member and the number of workers.
func (d *dataCentreReplay) slowestWorker(target *job) (slowest *workerState, racks []string, workers int) {
	distinct := map[string]bool{}
	slowest = d.workersByName[target.workers[0]]
	for _, name := range target.workers {
		worker := d.workersByName[name]
		racks, distinct[name] = append(racks, worker.GetRack()), true
		if worker.speed.Value() < slowest.speed.Value() {
			slowest = worker
		}
	}
	return slowest, racks, len(distinct)
}

func (d *dataCentreReplay) cancelJob(target *job) {
	if target.phase.ended() {
		return
	}
	d.endRun(target, target.savedWork)
	d.closeJob(target, cancelled)
}

// endRun releases a job's resources and sets the job to waiting with the saved work.
func (d *dataCentreReplay) endRun(target *job, saved int64) {
	if target.phase != waiting {
		d.meter.addRun(target, saved, d.now)
		d.addUsage(target, -1)
	}
	target.phase, target.workers, target.savedWork, target.waitingSince, target.savesOnStop = waiting, nil, saved, d.now, false
	target.generation++
}

func (d *dataCentreReplay) closeJob(target *job, final phase) {
	target.phase, target.endedAt = final, d.now
	d.openJobs = slices.DeleteFunc(d.openJobs, func(j *job) bool { return j == target })
	d.checker.checkEnded(d, target)
}

func (d *dataCentreReplay) schedule(target *job, kind eventKind, after int64) {
	d.queue.push(event{timeMillis: d.now + after, kind: kind, job: target, generation: target.generation})
}

// currentTime returns the virtual time.
func (d *dataCentreReplay) currentTime() time.Time { return time.UnixMilli(d.now) }
