package tracegen

import (
	"fmt"
	"math"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// submitJobs assigns ids, declared run times, checkpoints and deadlines to the jobs and adds an event for each submission.
func (g *generator) submitJobs(drawn []submission, w workload) {
	for _, next := range drawn {
		g.jobCount++
		job := next.job
		job.Id = fmt.Sprintf("j%05d", g.jobCount)
		job.RunMs = next.run.Milliseconds()
		job.CheckpointEveryMs, job.CheckpointMs = g.drawCheckpoints(w.class)
		spec := job.GetSpec()
		spec.ExpectedMs = g.declaredMillis(next.run, spec.GetAccount())
		spec.Cores, spec.MemoryMib = g.memberResources(spec.GetShape())
		if w.slack[1] > 0 {
			factor := w.slack[0] + g.rng.Float64()*(w.slack[1]-w.slack[0])
			slack := time.Duration(factor*float64(next.run)) + 2*time.Minute
			spec.DeadlineUnixMs = startMillis + (next.at + slack).Milliseconds()
		}
		g.addEvent(next.at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Submitted{Submitted: job}})
	}
}

// declaredMillis returns a random declared run time in milliseconds, a whole number of seconds. One job in four is wrong by
// a random factor of up to ten in either direction, the others by a small one. The account's bias multiplies the factor,
// which is then limited to ten in either direction.
func (g *generator) declaredMillis(run time.Duration, account string) int64 {
	const (
		outlierOneIn = 4
		usualSigma   = 0.25
		maxFactor    = 10.0
	)
	factor := math.Exp(g.rng.NormFloat64() * usualSigma)
	if g.rng.IntN(outlierOneIn) == 0 {
		factor = math.Pow(maxFactor, g.rng.Float64()*2-1)
	}
	if bias, biased := g.declarationBias[account]; biased {
		factor *= bias
	}
	factor = min(max(factor, 1/maxFactor), maxFactor)
	return max(time.Duration(factor*float64(run)), time.Second).Round(time.Second).Milliseconds()
}

// drawCheckpoints returns the time between a job's checkpoints and the random time to write one, in milliseconds. In one
// job of ten, writing a checkpoint takes longer than replay.MaxUrgentStartMillis.
func (g *generator) drawCheckpoints(class apiv1.WorkClass) (intervalMillis, writeMillis int64) {
	const (
		slowOneIn        = 10
		usualMinMillis   = 300
		usualRangeMillis = 500
		slowMinMillis    = 3_000
		slowRangeMillis  = 20_000
	)
	interval := 10 * time.Minute
	if class == apiv1.WorkClass_WORK_CLASS_PATIENT {
		interval = 20 * time.Minute
	}
	if g.rng.IntN(slowOneIn) == 0 {
		return interval.Milliseconds(), slowMinMillis + g.rng.Int64N(slowRangeMillis)
	}
	return interval.Milliseconds(), usualMinMillis + g.rng.Int64N(usualRangeMillis)
}

// memberResources returns the cores and MiB of memory that each member of a gang requests.
func (g *generator) memberResources(shape *apiv1.Shape) (cores, memoryMiB uint32) {
	const cpuMemberMemoryMiB = 1 << 10
	if shape.GetAccelerators() == 0 {
		return 1, cpuMemberMemoryMiB
	}
	return g.coresPerAccelerator * shape.GetAccelerators(), g.memoryPerAccelerator * shape.GetAccelerators()
}

// failJobs picks count events at random and makes every run of the jobs that they submit fail, except for urgent jobs.
func (g *generator) failJobs(count int) {
	for range count {
		job := g.events[g.rng.IntN(len(g.events))].GetSubmitted()
		if job != nil && job.GetSpec().GetWorkClass() != apiv1.WorkClass_WORK_CLASS_URGENT {
			job.Fails = true
		}
	}
}

// cancelRecentJobs cancels three quarters, on average, of an account's jobs that were submitted in the window before the
// given time. The cancellations arrive within 5 s of it. An empty team means all teams.
func (g *generator) cancelRecentJobs(at, window time.Duration, account, team string) {
	const (
		keptOneIn = 4
		maxDelay  = 5 * time.Second
	)
	from := startMillis + (at - window).Milliseconds()
	until := startMillis + at.Milliseconds()
	for _, line := range append([]*apiv1.TraceLine(nil), g.events...) {
		job := line.GetSubmitted()
		recent := line.GetTimeUnixMs() >= from && line.GetTimeUnixMs() < until
		if job == nil || !recent || job.GetSpec().GetAccount() != account {
			continue
		}
		if (team != "" && job.GetSpec().GetTeam() != team) || g.rng.IntN(keptOneIn) == 0 {
			continue
		}
		delay := time.Duration(g.rng.Int64N(int64(maxDelay))).Round(time.Millisecond)
		g.addEvent(at+delay, &apiv1.TraceLine{Event: &apiv1.TraceLine_Cancelled{Cancelled: &apiv1.TraceCancel{Id: job.GetId()}}})
	}
}

// failWorker makes every task that starts on a worker between the two times fail.
func (g *generator) failWorker(worker string, from, until time.Duration) {
	g.setWorkerCondition(worker, from, apiv1.TraceCondition_TRACE_CONDITION_FAILING)
	g.setWorkerCondition(worker, until, apiv1.TraceCondition_TRACE_CONDITION_HEALTHY)
}

func (g *generator) setWorkerCondition(worker string, at time.Duration, condition apiv1.TraceCondition) {
	change := &apiv1.TraceWorker{Worker: worker, Condition: condition}
	g.addEvent(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Worker{Worker: change}})
}

// loseRack takes all workers of a rack offline between the two times; the tasks that run on them are lost.
func (g *generator) loseRack(dataCentre, rack string, from, until time.Duration) {
	lost := &apiv1.TraceRack{DataCentre: dataCentre, Rack: rack, Condition: apiv1.TraceCondition_TRACE_CONDITION_LOST}
	g.addEvent(from, &apiv1.TraceLine{Event: &apiv1.TraceLine_Rack{Rack: lost}})
	restored := &apiv1.TraceRack{DataCentre: dataCentre, Rack: rack, Condition: apiv1.TraceCondition_TRACE_CONDITION_HEALTHY}
	g.addEvent(until, &apiv1.TraceLine{Event: &apiv1.TraceLine_Rack{Rack: restored}})
}
