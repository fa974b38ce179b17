package replay

import (
	"cmp"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// view returns what a decision depends on, as the owner of the data centre knows it.
func (d *dataCentreReplay) view() View {
	var out View
	out.Snapshot = &assign.Snapshot{Now: d.currentTime(), UrgentCores: map[string]float64{d.trace.name: d.urgentDemand.UpperEstimate()}}
	freeing := d.freeingResources()
	for _, h := range d.workers {
		out.Workers = append(out.Workers, assign.Worker{
			ID: h.GetName(), Service: d.trace.name, Rack: h.GetRack(), Free: h.capacity.Sub(h.used), Freeing: freeing[h.GetName()],
			Capacity: h.capacity, Speed: h.speed.Value(), Usable: d.usable(h), OnTrial: h.health.OnTrial(),
		})
	}
	mean, needed := d.meanWork(), d.urgentAccelerators()
	for _, each := range d.openJobs {
		unit := each.unit(mean)
		unit.Claimed = unit.Priority == 0 && needed[unit.Account] <= d.guaranteed.accelerators[unit.Account]
		switch each.phase {
		case waiting:
			unit.Reserved = d.reservations[unit.Task]
			out.Waiting = append(out.Waiting, unit)
		case starting, running:
			out.DeclaredEnds = append(out.DeclaredEnds, time.UnixMilli(max(each.startedAt, each.waitingSince)).Add(unit.Remaining))
			out.Running = append(out.Running, assign.RunningUnit{
				Task: unit.Task, Account: unit.Account, Priority: unit.Priority, Claimed: unit.Claimed, Step: each.step,
				Workers: each.workers, LostWork: d.lostCoreSeconds(each), Density: assign.Density(&unit, d.currentTime()),
			})
		}
	}
	return out
}

// usable tells whether a worker gets something new: one on trial has one task at a time.
func (d *dataCentreReplay) usable(h *workerState) bool {
	sound := h.condition == apiv1.TraceCondition_TRACE_CONDITION_HEALTHY || h.condition == apiv1.TraceCondition_TRACE_CONDITION_FAILING
	return sound && !h.health.Quarantined(d.currentTime()) && (!h.health.OnTrial() || h.used == assign.Resources{})
}

// freeingResources is the room of stopping runs on each worker.
func (d *dataCentreReplay) freeingResources() map[string]assign.Resources {
	freeing := map[string]assign.Resources{}
	for _, each := range d.openJobs {
		if each.phase == stopping {
			for _, name := range each.workers {
				freeing[name] = freeing[name].Add(assign.ResourcesOf(each.step))
			}
		}
	}
	return freeing
}

// meanWork is the mean work of the jobs of each priority so far.
func (d *dataCentreReplay) meanWork() map[uint32]float64 {
	mean := map[uint32]float64{}
	for priority, count := range d.submittedCount {
		mean[priority] = d.submittedWork[priority] / count
	}
	return mean
}

// urgentAccelerators are the accelerators that each account's urgent jobs need.
func (d *dataCentreReplay) urgentAccelerators() map[string]uint32 {
	needed := map[string]uint32{}
	for _, each := range d.openJobs {
		if each.spec.GetPriority() == 0 {
			needed[each.spec.GetAccount()] += uint32(each.accelerators()) //nolint:gosec // few hundred.
		}
	}
	return needed
}

// unit is what a job is to the planner.
func (j *job) unit(mean map[uint32]float64) assign.Unit {
	accepted := time.UnixMilli(j.spec.GetAcceptedUnixMs())
	left := 1 - float64(j.savedWork)/float64(j.trace.GetRunMs())
	return assign.Unit{
		Task: j.task(), Account: j.spec.GetAccount(), Service: j.spec.GetService(), Step: j.step, Priority: j.spec.GetPriority(),
		Due: accepted, LastAttempt: j.failures+1 >= maxFailures, WaitingSince: time.UnixMilli(j.waitingSince),
		Objective: accepted.Add(j.timeToObjective), LateUntil: accepted.Add(assign.LateFactor * j.timeToObjective),
		Remaining: time.Duration(left * float64(assign.Estimate(j.step))), Credit: assign.Credit(j.spec, mean[j.spec.GetPriority()]),
		Work: left * j.coreSeconds, Avoid: j.avoid,
	}
}

func (j *job) task() replica.Task {
	if j.step.GetGang() {
		return replica.Task{Job: j.spec.GetId(), Index: replica.GangIndex}
	}
	return replica.Task{Job: j.spec.GetId()}
}

// lostCoreSeconds is the work that stopping a run throws away, in core-seconds.
func (d *dataCentreReplay) lostCoreSeconds(target *job) float64 {
	if target.phase != running {
		return 0
	}
	took := d.now - target.startedAt
	if target.trace.GetCheckpointMs() <= maxStopMillis {
		took = min(took, maxStopMillis)
	}
	return float64(took) / referenceSpeed * float64(target.step.GetCount()) * assign.ResourcesOf(target.step).CoreEquivalent()
}

func capacityOf(worker *apiv1.Worker) assign.Resources {
	const millicores = 1000
	return assign.ResourcesFromProto(&storev1.Resources{
		CpuMillicores: worker.GetCores() * millicores, MemoryMb: worker.GetMemoryMib(), Accelerators: worker.GetAccelerators(),
	})
}

// bestSpeed is the speed of a job alone on the bestSpeed of the empty workers; 0 when it doesn't fit.
func (s *dataCentreTrace) bestSpeed(submitted *apiv1.TraceJob) float64 {
	step := storedJob(submitted, s.name, 0).GetSteps()[0]
	racks := map[string][]*apiv1.Worker{}
	for _, worker := range s.workers {
		group := ""
		if step.GetSameRack() {
			group = worker.GetRack()
		}
		racks[group] = append(racks[group], worker)
	}
	best := 0.0
	for _, workers := range racks {
		best = max(best, bestGangSpeed(workers, int(step.GetCount()), assign.ResourcesOf(step)))
	}
	return best
}

// bestGangSpeed is the speed of the slowest worker that some members need, the fastest workers first.
func bestGangSpeed(workers []*apiv1.Worker, members int, need assign.Resources) float64 {
	sorted := slices.SortedStableFunc(slices.Values(workers), func(a, b *apiv1.Worker) int {
		return cmp.Compare(b.GetSpeedPermille(), a.GetSpeedPermille())
	})
	for _, worker := range sorted {
		for room := capacityOf(worker); room.Contains(need) && members > 0; members-- {
			room = room.Sub(need)
		}
		if members <= 0 {
			return float64(worker.GetSpeedPermille()) / referenceSpeed
		}
	}
	return 0
}
