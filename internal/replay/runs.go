package replay

import (
	"fmt"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

const million = 1_000_000

// start applies a Start decision; one that breaks an invariant is counted and refused.
func (d *domain) start(decision *policy.Start) {
	target := d.jobs[decision.JobID]
	if target == nil || target.phase != waiting {
		d.checker.violate(InvalidDecision, decision.JobID, "start of a job that does not wait", d.nowMillis)
		return
	}
	if broken := d.checker.checkStart(target, decision.Members, d.nowMillis); broken {
		d.policy.StartRefused(target.spec.ID)
		return
	}
	target.phase = starting
	target.run++
	target.members = slices.Clone(decision.Members)
	d.checker.take(target)
	d.changed = true
	d.push(target, startDue, d.options.StartMillis)
}

// started begins the run of a gang whose members all hold.
func (d *domain) started(target *job) {
	target.phase = running
	target.startedMillis = d.nowMillis
	target.keptAtStart = target.keptMillis
	target.speedPermille = d.checker.slowest(target.members)
	if target.firstStartMillis == 0 {
		target.firstStartMillis = d.nowMillis
		d.checkUrgent(target)
	}
	d.claims.runs(target)
	d.policy.Started(target.spec.ID, d.nowMillis)
	if target.fails || d.checker.failingMember(target) != "" {
		d.push(target, failDue, d.options.FailMillis)
		return
	}
	d.push(target, finishDue, scaled(target.workMillis-target.keptMillis, target.speedPermille))
	d.pushCheckpoint(target)
}

func (d *domain) checkUrgent(target *job) {
	waited := d.nowMillis - target.spec.SubmittedMillis
	if target.spec.Class == policy.Urgent && waited > MaxReclaimMillis {
		d.checker.violate(UrgentLate, target.spec.ID, fmt.Sprintf("started after %d ms", waited), d.nowMillis)
	}
}

func (d *domain) pushCheckpoint(target *job) {
	if target.checkpointEvery > 0 {
		d.push(target, checkpointDue, target.checkpointEvery)
	}
}

func (d *domain) checkpoint(target *job) {
	if target.phase != running {
		return
	}
	target.keptMillis = d.done(target)
	d.policy.Checkpointed(target.spec.ID, d.ppm(target), d.nowMillis)
	d.pushCheckpoint(target)
}

// stop applies a Stop decision: a checkpoint if there is time for one, else a stop at the bound.
func (d *domain) stop(decision *policy.Stop) {
	target := d.jobs[decision.JobID]
	if target == nil || target.phase != running {
		d.checker.violate(InvalidDecision, decision.JobID, "stop of a job that does not run", d.nowMillis)
		return
	}
	target.phase = stopping
	target.stopReason = decision.Reason
	takes := target.checkpointTakes
	target.stopKeeps = takes <= decision.WithinMillis && !target.fails
	if !target.stopKeeps {
		takes = decision.WithinMillis
	}
	if target.stopKeeps {
		target.keptMillis = d.done(target)
	}
	d.push(target, stopDue, takes)
}

func (d *domain) stopped(target *job) {
	lost := d.lostTime(target)
	if target.stopReason == policy.Moved {
		d.meter.moves++
		d.meter.lostToMoves += lost
		d.end(target, policy.MovedEnd, target.keptMillis)
		return
	}
	d.meter.preemptions++
	d.meter.lostToPreemption += lost
	d.end(target, policy.PreemptedEnd, target.keptMillis)
}

// lostTime is the accelerator time of the current run that no checkpoint keeps, milliseconds.
func (d *domain) lostTime(target *job) int64 {
	kept := scaled(target.keptMillis-target.keptAtStart, target.speedPermille)
	return max(0, d.nowMillis-target.startedMillis-kept) * int64(target.accelerators())
}

func (d *domain) failRun(target *job) {
	culprit := d.checker.failingMember(target)
	if culprit == "" {
		culprit = target.members[0].Worker
	}
	target.failures++
	if told, ok := d.policy.(failureObserver); ok {
		told.StartFailed(target.spec.ID, culprit, d.nowMillis)
	}
	d.end(target, policy.Failed, target.keptMillis)
	if d.evidence == nil && d.health.failed(culprit, target.spec.ID) {
		d.mark(culprit, policy.Quarantined)
		d.queue.push(event{timeMillis: d.nowMillis + quarantineMillis, kind: probeDue, worker: culprit})
	}
	if target.failures >= d.options.MaxFailures {
		d.giveUp(target)
	}
}

// failureObserver is implemented by policies that keep a job away from workers that failed it.
type failureObserver interface {
	StartFailed(jobID, worker string, nowMillis int64)
}

// giveUp ends a waiting job that failed too often.
func (d *domain) giveUp(target *job) {
	d.policy.Ended(target.spec.ID, policy.Cancelled, d.ppm(target), d.nowMillis)
	d.close(target, failed)
}

// end ends a run with the work kept.
func (d *domain) end(target *job, result policy.EndResult, keptMillis int64) {
	target.keptMillis = keptMillis
	d.meter.ran(target, result, d.nowMillis)
	if result == policy.LostEnd || result == policy.Failed {
		d.meter.lostToFailures += d.lostTime(target)
	}
	d.policy.Ended(target.spec.ID, result, d.ppm(target), d.nowMillis)
	d.free(target)
	switch result {
	case policy.Finished:
		d.close(target, finished)
	case policy.Cancelled:
		d.close(target, cancelled)
	default:
		d.backToQueue(target)
	}
}

func (d *domain) backToQueue(target *job) {
	target.phase = waiting
	d.claims.waits(target)
}

func (d *domain) free(target *job) {
	d.checker.give(target)
	d.changed = true
	d.claims.gone(target)
	target.members = nil
	target.run++
}

func (d *domain) close(target *job, how outcome) {
	d.claims.gone(target)
	d.changed = true
	target.phase = ended
	target.outcome = how
	target.endMillis = d.nowMillis
}

func (d *domain) push(target *job, kind eventKind, afterMillis int64) {
	d.queue.push(event{timeMillis: d.nowMillis + afterMillis, kind: kind, job: target, run: target.run})
}

// done is the work done so far, kept or not.
func (d *domain) done(target *job) int64 {
	const unit = 1000
	worked := (d.nowMillis - target.startedMillis) * int64(target.speedPermille) / unit
	return min(target.keptAtStart+worked, target.workMillis)
}

func (d *domain) ppm(target *job) int {
	return int(target.keptMillis * million / target.workMillis)
}

func (j *job) accelerators() int { return j.spec.Shape.Members * j.spec.Shape.Accelerators }
