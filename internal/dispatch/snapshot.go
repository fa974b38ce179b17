package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// snapshot returns the input of a plan.
func (s *session) snapshot() *assign.Snapshot {
	s.updateExpectations()
	s.steady, s.held = map[lossCause]map[string]bool{}, map[replica.Task]assign.Reason{}
	out := &assign.Snapshot{Now: s.now, StopDuration: s.Options.StopDuration, NoPreemption: !s.knowsRuns()}
	out.UrgentCores, out.UrgentWhole = s.urgentShapes()
	for _, ws := range s.workers {
		free, freeing := ws.free()
		_, kept := s.kept[ws.id]
		out.Workers = append(out.Workers, assign.Worker{
			ID: ws.id, Service: ws.entry.Service, Rack: ws.entry.Rack, Labels: ws.entry.Labels, Free: free, Freeing: freeing,
			Capacity: assign.ResourcesFromProto(ws.entry.Capacity), Speed: ws.speed.Value(), SpeedUnknown: ws.speed.Samples() == 0, Usable: s.usable(ws), Unhealthy: s.unhealthy(ws),
			Quarantined: ws.health.Quarantined(s.now), OnTrial: ws.health.OnTrial(), Gone: ws.unresponsive || !ws.listed,
			Empty: len(ws.members) == 0 && ws.unknownRuns == (assign.Resources{}), NearLatencyTarget: ws.latencyRatio() > highLatencyShare,
			Evacuated: s.Evacuations.Requested(ws.entry.DataCentre), Kept: kept,
		})
	}
	if current := s.Configs.Current(); current != nil {
		out.Shares.Weights = current.Weights()
	}
	assign.CountUnknownAsSlow(out.Workers)
	s.objectiveSpeeds = assign.ObjectiveSpeeds(out.Workers)
	withinGuarantee := s.accountsWithinGuarantee()
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled {
			continue
		}
		claimed := j.spec.GetPriority() == 0 && withinGuarantee[j.spec.GetAccount()]
		for _, o := range j.occurrences {
			s.addOccurrence(out, j, o, claimed)
		}
	}
	return out
}

// addOccurrence adds the units of an occurrence that wait or run.
func (s *session) addOccurrence(out *assign.Snapshot, j *job, o *occurrence, claimed bool) {
	criticalPaths := assign.CriticalPaths(j.spec, o.expect.Expected)
	timeToObjective := s.timeToObjective(j.spec, o.expect)
	common := assign.Unit{
		Account: j.spec.GetAccount(), Service: s.serviceOf(j.spec), Priority: j.spec.GetPriority(), Claimed: claimed,
		Due: o.dueAt, Objective: o.dueAt.Add(timeToObjective), LateUntil: o.dueAt.Add(assign.LateFactor * timeToObjective),
		Credit: assign.Credit(j.spec, o.expect.Expected, s.model.MeanWork(j.spec.GetQueue())), Work: o.waitingWork(),
	}
	for _, st := range o.steps {
		if st.readyAt.IsZero() || st.remaining == 0 {
			continue
		}
		unit := common
		unit.Step, unit.WaitingSince, unit.Remaining, unit.Expected = st.spec, st.readyAt, criticalPaths[st.index], o.expect.Expected[st.index]
		unit.Margin = o.expect.Margin(st.index)
		unit.TasksPerWorker, unit.Allowed = st.tasksPerWorker(), s.allowedWorkers(st)
		s.addStep(out, st, unit)
	}
}

// addStep adds the units of a step; common holds what they have in common.
func (s *session) addStep(out *assign.Snapshot, st *step, common assign.Unit) {
	maxAttempts, stoppable := s.maxAttempts(st.job.spec), st.stoppableCount()
	hold := st.holdsOthers()
	explain := st.asked || !s.now.Before(st.nextWaitReport)
	running := 0
	for _, u := range st.units {
		unit := common
		unit.Task = u.task
		running += runningMembers(u)
		switch {
		case u.done:
		case u.run == nil:
			if u.awaySince.After(unit.WaitingSince) {
				unit.WaitingSince = u.awaySince
			}
			unit.WaitingSince, unit.Preemptions = u.history.WaitingSince(unit.WaitingSince), u.history.Preemptions
			waited := s.now.Sub(st.readyAt)
			if u.lastRunEndedAt.After(st.readyAt) {
				waited = s.now.Sub(u.lastRunEndedAt)
			}
			unit.OnProbation, unit.Exclusive = u.suspect, s.needsExclusiveWorkers(u, waited)
			if reason := s.holdReason(u, hold, unit.Exclusive); reason != "" {
				if explain {
					s.held[u.task], explain = assign.Reason{Text: reason}, false
				}
				continue
			}
			switch {
			case unit.Exclusive:
				unit.Allowed = s.steadyWorkers(u, unit.Allowed)
			case s.needsSettledWorkers(u, waited):
				unit.Allowed = s.settledWorkers(unit.Allowed)
			}
			unit.Avoid, unit.LastAttempt = u.avoid, u.failures+1 >= maxAttempts
			unit.Reserved = s.reservations[u.task]
			unit.Explain, explain = explain, false
			out.Waiting = append(out.Waiting, unit)
		case !st.spec.GetLongRunning():
			unit.Work += assign.TaskWork(st.spec, unit.Expected) * float64(memberCount(u))
			s.addRunning(out, u, &unit)
		default:
			if stoppable--; stoppable >= 0 {
				s.addRunning(out, u, &unit)
			}
		}
	}
	out.Shares.AddUse(&common, running)
}

// runningMembers returns the number of tasks of a unit's run; 0 if it has none.
func runningMembers(u *unit) int {
	if u.run == nil || u.done {
		return 0
	}
	return memberCount(u)
}

// holdReason returns why a waiting unit is left out of the plan; empty if it isn't. With others, the step holds units that lost no
// workers, and exclusive is true if the unit needs workers that run nothing else.
func (s *session) holdReason(u *unit, others, exclusive bool) string {
	switch {
	case others && !u.crashedRepeatedly():
		return "workers crashed under one of its tasks: the others wait until that task runs without a crash"
	case u.awaitsVerdict(s.now):
		return "a worker fell silent under it: it waits until it is certain whether that worker has crashed"
	case exclusive && u.crashedRepeatedly() && (s.losingWorkers() || !s.hasSteadyTerm()):
		return "workers crashed under it: it waits until fewer workers are being lost"
	}
	return ""
}

// waitingWork returns the work of the units that neither run nor are done, in core-seconds.
func (o *occurrence) waitingWork() float64 {
	work := 0.0
	for _, st := range o.steps {
		for _, u := range st.units {
			if !u.done && u.run == nil {
				work += assign.TaskWork(st.spec, o.expect.Expected[st.index]) * float64(memberCount(u))
			}
		}
	}
	return work
}

// addRunning adds a unit that runs and isn't being stopped; waiting is the same unit as if it waited. A run that a worker has not
// reported to this owner yet is left out: whether stopping it would free anything is unknown.
func (s *session) addRunning(out *assign.Snapshot, u *unit, waiting *assign.Unit) {
	r := u.run
	if r.stopReason != "" || !r.reported() {
		return
	}
	left, high := s.remainingTime(r)
	after := waiting.Remaining - waiting.Expected // the steps after it
	out.Running = append(out.Running, assign.RunningUnit{
		Task: u.task, Account: waiting.Account, Priority: waiting.Priority, Claimed: waiting.Claimed, Step: u.step.spec,
		Workers: r.workerIDs(), LostWork: s.lostWork(r), Service: waiting.Service,
		Remaining: left, RemainingHigh: high, Objective: waiting.Objective.Add(-after), LateUntil: waiting.LateUntil.Add(-after),
		Credit:   waiting.Credit,
		PlacedAt: r.openedAt, Preemptions: u.history.Preemptions,
	})
}

// maxRestoredEstimates limits the age of a run that an earlier owner started, as a multiple of its expected duration: the age is the
// difference of two instances' clocks.
const maxRestoredEstimates = 3

// ranFor returns how long a run has run; 0 before all its members run. A run that an earlier owner started has run for longer than
// this owner has observed.
func (s *session) ranFor(r *run) time.Duration {
	observed := time.Duration(0)
	if !r.startedAt.IsZero() {
		observed = s.now.Sub(r.startedAt)
	}
	if !r.restored {
		return observed
	}
	estimate := r.unit.step.occurrence.expect.Expected[r.unit.step.index]
	age := estimate
	if r.recordedAtMs > 0 {
		age = min(time.Duration(s.now.UnixMilli()-r.recordedAtMs)*time.Millisecond, maxRestoredEstimates*estimate)
	}
	return max(observed, age, time.Duration(r.maxPercent/fullPercent*float64(estimate)))
}

// memberCount returns the number of tasks of a unit.
func memberCount(u *unit) int {
	if u.task.Index == replica.GangIndex {
		return int(u.step.spec.GetCount())
	}
	return 1
}

// stoppableCount returns how many tasks of a long-running step may be stopped now: as many as may be missing, less those
// that are.
func (st *step) stoppableCount() int {
	missing := 0
	for _, u := range st.units {
		if u.run == nil || u.run.stopReason != "" || !u.run.serving() {
			missing++
		}
	}
	return int(st.spec.GetMayMiss()) - missing
}

// tasksPerWorker returns the number of the step's unfinished tasks on each worker; nil if the step has no limit.
func (st *step) tasksPerWorker() map[string]int {
	if st.spec.GetMaxPerWorker() == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, u := range st.units {
		if u.run != nil {
			for _, member := range u.run.members {
				if member.phase != finished {
					counts[member.worker.id]++
				}
			}
		}
	}
	return counts
}

// serviceOf returns the service whose workers run a job.
func (s *session) serviceOf(spec *storev1.Job) string {
	if current := s.Configs.Current(); current != nil {
		if queue, known := current.Queue(spec.GetQueue()); known && queue.Service != "" {
			return queue.Service
		}
	}
	return spec.GetService()
}

// accountsWithinGuarantee reports for each account whether its jobs of priority 0 need no more accelerators than its
// guarantee.
func (s *session) accountsWithinGuarantee() map[string]bool {
	needed := map[string]uint64{}
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled || j.spec.GetPriority() != 0 {
			continue
		}
		for _, step := range j.spec.GetSteps() {
			needed[j.spec.GetAccount()] += uint64(step.GetCount()) * uint64(step.GetNeed().GetAccelerators())
		}
	}
	withinGuarantee := map[string]bool{}
	current := s.Configs.Current()
	if current == nil {
		return withinGuarantee
	}
	for account, accelerators := range needed {
		withinGuarantee[account] = accelerators <= uint64(current.Accounts[account].GuaranteedAccelerators)
	}
	return withinGuarantee
}
