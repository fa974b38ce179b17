package replay

import (
	"cmp"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// view returns the input of the planner: the state of the data centre as its owner knows it.
func (d *dataCentreReplay) view() View {
	d.updateExpectations()
	var out View
	out.Snapshot = &assign.Snapshot{
		Now: d.currentTime(), StopDuration: maxStopMillis * time.Millisecond, UrgentCores: map[string]float64{d.trace.name: d.urgentDemand.PartCores()},
		UrgentWhole: map[string]assign.WholeDemand{
			d.trace.name: {Workers: d.urgentDemand.WholeWorkers(), RackWidth: d.urgentDemand.RackWidth()},
		},
	}
	freeing := d.freeingResources()
	for _, w := range d.workers {
		_, kept := d.kept[w.GetName()]
		out.Workers = append(out.Workers, assign.Worker{
			ID: w.GetName(), Service: d.trace.name, Rack: w.GetRack(), Free: w.capacity.Sub(w.used), Freeing: freeing[w.GetName()],
			Capacity: w.capacity, Speed: w.speed.Value(), Usable: d.usable(w), OnTrial: w.health.OnTrial(), Kept: kept,
		})
	}
	mean, urgent := d.meanWork(), d.urgentAccelerators()
	for _, j := range d.openJobs {
		unit := j.unit(mean)
		unit.Claimed = unit.Priority == 0 && urgent[unit.Account] <= d.guaranteed.accelerators[unit.Account]
		if j.phase != waiting {
			out.Shares.AddUse(&unit, unit.Members())
		}
		switch j.phase {
		case waiting:
			unit.Reserved = d.reservations[unit.Task]
			out.Waiting = append(out.Waiting, unit)
		case starting, running:
			out.DeclaredEnds = append(out.DeclaredEnds, time.UnixMilli(max(j.startedAt, j.waitingSince)).Add(unit.Remaining))
			out.Running = append(out.Running, assign.RunningUnit{
				Task: unit.Task, Account: unit.Account, Priority: unit.Priority, Claimed: unit.Claimed, Step: j.step,
				Workers: j.workers, LostWork: d.lostCoreSeconds(j), Remaining: d.expectedRemaining(j), Preemptions: j.preemptions,
				Objective: unit.Objective, LateUntil: unit.LateUntil, Credit: unit.Credit,
				PlacedAt: time.UnixMilli(j.placedAt),
				Service:  unit.Service,
			})
		}
	}
	d.accountUse.Observe(out.Snapshot)
	return out
}

// updateExpectations updates the expected durations of the open jobs.
func (d *dataCentreReplay) updateExpectations() {
	if !d.model.Learns() {
		return
	}
	open := make([]*expect.Occurrence, len(d.openJobs))
	for i, j := range d.openJobs {
		j.expect.Reset()
		if j.phase == running {
			j.expect.Add(0, d.progress(j))
		}
		open[i] = j.expect
	}
	d.model.Update(open)
	for _, j := range d.openJobs {
		d.updateWork(j)
	}
}

// updateWork updates the work that is expected of a job, also in that of the submitted jobs.
func (d *dataCentreReplay) updateWork(target *job) {
	work := assign.JobWork(target.spec, target.expect.Expected)
	d.submittedWork[target.spec.GetPriority()] += work - target.coreSeconds
	target.coreSeconds = work
}

// progress returns a run as its owner knows it. Progress in percent isn't part of the replay.
func (d *dataCentreReplay) progress(target *job) expect.Run {
	slowest, racks, _ := d.slowestWorker(target)
	return expect.Run{
		Elapsed: time.Duration(d.now-target.startedAt) * time.Millisecond, Speed: slowest.speed.Value(),
		Partial: target.savedAtStart > 0 || !assign.RunsNear(target.step, racks),
	}
}

// usable reports whether a worker may get new tasks. A worker on trial gets one only while it runs nothing else.
func (d *dataCentreReplay) usable(w *workerState) bool {
	accepting := w.condition == apiv1.TraceCondition_TRACE_CONDITION_HEALTHY ||
		w.condition == apiv1.TraceCondition_TRACE_CONDITION_FAILING
	return accepting && !w.health.Quarantined(d.currentTime()) && (!w.health.OnTrial() || w.used == assign.Resources{})
}

// freeingResources returns the resources that stopping runs use on each worker.
func (d *dataCentreReplay) freeingResources() map[string]assign.Resources {
	freeing := map[string]assign.Resources{}
	for _, j := range d.openJobs {
		if j.phase == stopping {
			for _, name := range j.workers {
				freeing[name] = freeing[name].Add(assign.ResourcesOf(j.step))
			}
		}
	}
	return freeing
}

// expectedRemaining returns the expected time until a run ends, as the progress that workers report shows it; 0 before it has begun.
func (d *dataCentreReplay) expectedRemaining(j *job) time.Duration {
	if j.phase != running || j.speed == 0 {
		return 0
	}
	percent := func(work int64) float64 { return fullPercent * float64(work) / float64(j.trace.GetRunMs()) }
	return assign.Progress{
		First:    assign.Report{Percent: percent(j.savedAtStart), Ago: time.Duration(d.now-j.startedAt) * time.Millisecond},
		Latest:   assign.Report{Percent: percent(d.workDone(j))},
		Estimate: assign.Estimate(j.step), Speed: 1,
	}.Remaining()
}

// fullPercent is the progress of a task that is done.
const fullPercent = 100

// meanWork returns the mean work of the jobs submitted so far of each priority, in core-seconds.
func (d *dataCentreReplay) meanWork() map[uint32]float64 {
	mean := map[uint32]float64{}
	for priority, count := range d.submittedCount {
		mean[priority] = d.submittedWork[priority] / count
	}
	return mean
}

// urgentAccelerators returns the number of accelerators that the open urgent jobs of each account need.
func (d *dataCentreReplay) urgentAccelerators() map[string]uint32 {
	accelerators := map[string]uint32{}
	for _, j := range d.openJobs {
		if j.spec.GetPriority() == 0 {
			accelerators[j.spec.GetAccount()] += uint32(j.accelerators()) //nolint:gosec // A few hundred at most.
		}
	}
	return accelerators
}

// unit returns a job as a unit for the planner. mean is the mean work of the jobs of each priority, in core-seconds.
func (j *job) unit(mean map[uint32]float64) assign.Unit {
	accepted := time.UnixMilli(j.spec.GetAcceptedUnixMs())
	remaining := 1 - float64(j.savedWork)/float64(j.trace.GetRunMs())
	timeToObjective := assign.TimeToObjective(j.spec, j.expect.Expected, 1)
	return assign.Unit{
		Task: j.task(), Account: j.spec.GetAccount(), Service: j.spec.GetService(), Step: j.step, Priority: j.spec.GetPriority(),
		Due: accepted, LastAttempt: j.failures+1 >= maxFailures, WaitingSince: time.UnixMilli(j.waitingSince),
		Objective: accepted.Add(timeToObjective), LateUntil: accepted.Add(assign.LateFactor * timeToObjective),
		Expected: j.expect.Expected[0], Margin: j.expect.Margin(0),
		Remaining: time.Duration(remaining * float64(j.expect.Expected[0])),
		Credit:    assign.Credit(j.spec, j.expect.Expected, mean[j.spec.GetPriority()]),
		Work:      remaining * j.coreSeconds, Avoid: j.avoid,
	}
}

func (j *job) task() replica.Task {
	if j.step.GetGang() {
		return replica.Task{Job: j.spec.GetId(), Index: replica.GangIndex}
	}
	return replica.Task{Job: j.spec.GetId()}
}

// lostCoreSeconds estimates the work that is lost if a run is stopped now, in core-seconds: all work since the start of the
// run, but at most that of maxStopMillis if a checkpoint can be written in that time.
func (d *dataCentreReplay) lostCoreSeconds(target *job) float64 {
	if target.phase != running {
		return 0
	}
	lostMillis := d.now - target.startedAt
	if target.trace.GetCheckpointMs() <= maxStopMillis {
		lostMillis = min(lostMillis, maxStopMillis)
	}
	// referenceSpeed is 1000, so the division converts milliseconds to seconds.
	return float64(lostMillis) / referenceSpeed * float64(target.step.GetCount()) * assign.ResourcesOf(target.step).CoreEquivalent()
}

func capacityOf(worker *apiv1.Worker) assign.Resources {
	const millicores = 1000
	return assign.ResourcesFromProto(&storev1.Resources{
		CpuMillicores: worker.GetCores() * millicores, MemoryMb: worker.GetMemoryMib(), Accelerators: worker.GetAccelerators(),
	})
}

// bestSpeed returns the speed of a job alone on the fastest empty workers that it fits, or 0 if it fits none.
func (t *dataCentreTrace) bestSpeed(submitted *apiv1.TraceJob) float64 {
	step := storedJob(submitted, t.name, 0).GetSteps()[0]
	groups := map[string][]*apiv1.Worker{} // by rack if the job asks for one rack
	for _, worker := range t.workers {
		group := ""
		if step.GetSameRack() {
			group = worker.GetRack()
		}
		groups[group] = append(groups[group], worker)
	}
	fastest := 0.0
	for _, workers := range groups {
		fastest = max(fastest, bestGangSpeed(workers, int(step.GetCount()), assign.ResourcesOf(step)))
	}
	return fastest
}

// bestGangSpeed returns the speed of the slowest worker when the members are placed on the fastest empty workers, or 0 if
// they don't fit.
func bestGangSpeed(workers []*apiv1.Worker, members int, need assign.Resources) float64 {
	sorted := slices.SortedStableFunc(slices.Values(workers), func(a, b *apiv1.Worker) int {
		return cmp.Compare(b.GetSpeedPermille(), a.GetSpeedPermille())
	})
	for _, worker := range sorted {
		for free := capacityOf(worker); free.Contains(need) && members > 0; members-- {
			free = free.Sub(need)
		}
		if members <= 0 {
			return float64(worker.GetSpeedPermille()) / referenceSpeed
		}
	}
	return 0
}
