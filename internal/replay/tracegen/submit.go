package tracegen

import (
	"fmt"
	"math"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// submit writes the jobs with their declarations, which are often off.
func (m *maker) submit(drawn []submission, wanted kind) {
	for _, next := range drawn {
		m.jobs++
		job := next.job
		job.Id = fmt.Sprintf("j%05d", m.jobs)
		job.RunMs = next.run.Milliseconds()
		job.CheckpointEveryMs, job.CheckpointMs = m.checkpoints(wanted.class)
		spec := job.GetSpec()
		spec.ExpectedMs = m.declared(next.run, spec.GetAccount())
		spec.Cores, spec.MemoryMib = m.resources(spec.GetShape())
		if wanted.slack[1] > 0 {
			factor := wanted.slack[0] + m.rng.Float64()*(wanted.slack[1]-wanted.slack[0])
			slack := time.Duration(factor*float64(next.run)) + 2*time.Minute
			spec.DeadlineUnixMs = startMillis + (next.at + slack).Milliseconds()
		}
		m.add(next.at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Submitted{Submitted: job}})
	}
}

// declared is up to ten times off either way for a quarter of the jobs, and a little for the others.
func (m *maker) declared(run time.Duration, account string) int64 {
	const (
		wrongOneIn = 4
		usualSigma = 0.25
		farthest   = 10.0
	)
	factor := math.Exp(m.rng.NormFloat64() * usualSigma)
	if m.rng.IntN(wrongOneIn) == 0 {
		factor = math.Pow(farthest, m.rng.Float64()*2-1)
	}
	if bias, biased := m.bias[account]; biased {
		factor *= bias
	}
	factor = min(max(factor, 1/farthest), farthest)
	return max(time.Duration(factor*float64(run)), time.Second).Round(time.Second).Milliseconds()
}

// checkpoints draws how often a job writes checkpoints and how long one takes; a tenth takes longer than a reclaim may.
func (m *maker) checkpoints(class apiv1.WorkClass) (everyMillis, takesMillis int64) {
	const (
		oneIn     = 10
		usual     = 300
		usualSpan = 500
		slow      = 3_000
		slowSpan  = 20_000
	)
	every := 10 * time.Minute
	if class == apiv1.WorkClass_WORK_CLASS_PATIENT {
		every = 20 * time.Minute
	}
	if m.rng.IntN(oneIn) == 0 {
		return every.Milliseconds(), slow + m.rng.Int64N(slowSpan)
	}
	return every.Milliseconds(), usual + m.rng.Int64N(usualSpan)
}

func (m *maker) resources(wanted *apiv1.Shape) (cores, memoryMiB uint32) {
	const taskMemoryMiB = 1 << 10
	if wanted.GetAccelerators() == 0 {
		return 1, taskMemoryMiB
	}
	return m.coresPerAccelerator * wanted.GetAccelerators(), m.memoryPerAccelerator * wanted.GetAccelerators()
}

// spoil makes every run of some jobs fail.
func (m *maker) spoil(count int) {
	for range count {
		job := m.lines[m.rng.IntN(len(m.lines))].GetSubmitted()
		if job != nil && job.GetSpec().GetWorkClass() != apiv1.WorkClass_WORK_CLASS_URGENT {
			job.Fails = true
		}
	}
}

// wave cancels most of an account's jobs submitted in the hours before, within seconds. An empty team means all teams.
func (m *maker) wave(at, before time.Duration, account, team string) {
	const (
		keptOneIn = 4
		span      = 5 * time.Second
	)
	from := startMillis + (at - before).Milliseconds()
	until := startMillis + at.Milliseconds()
	for _, line := range append([]*apiv1.TraceLine(nil), m.lines...) {
		job := line.GetSubmitted()
		inTime := line.GetTimeUnixMs() >= from && line.GetTimeUnixMs() < until
		if job == nil || !inTime || job.GetSpec().GetAccount() != account {
			continue
		}
		if (team != "" && job.GetSpec().GetTeam() != team) || m.rng.IntN(keptOneIn) == 0 {
			continue
		}
		after := time.Duration(m.rng.Int64N(int64(span))).Round(time.Millisecond)
		m.add(at+after, &apiv1.TraceLine{Event: &apiv1.TraceLine_Cancelled{Cancelled: &apiv1.TraceCancel{Id: job.GetId()}}})
	}
}

// failing makes a worker fail every task for a while.
func (m *maker) failing(worker string, from, until time.Duration) {
	m.worker(worker, from, apiv1.TraceCondition_TRACE_CONDITION_FAILING)
	m.worker(worker, until, apiv1.TraceCondition_TRACE_CONDITION_HEALTHY)
}

func (m *maker) worker(worker string, at time.Duration, condition apiv1.TraceCondition) {
	change := &apiv1.TraceWorker{Worker: worker, Condition: condition}
	m.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Worker{Worker: change}})
}

// loseRack takes a rack away for a while.
func (m *maker) loseRack(dataCentre, rack string, from, until time.Duration) {
	lost := &apiv1.TraceRack{DataCentre: dataCentre, Rack: rack, Condition: apiv1.TraceCondition_TRACE_CONDITION_LOST}
	m.add(from, &apiv1.TraceLine{Event: &apiv1.TraceLine_Rack{Rack: lost}})
	back := &apiv1.TraceRack{DataCentre: dataCentre, Rack: rack, Condition: apiv1.TraceCondition_TRACE_CONDITION_HEALTHY}
	m.add(until, &apiv1.TraceLine{Event: &apiv1.TraceLine_Rack{Rack: back}})
}
