package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// snapshot returns what a plan depends on.
func (s *session) snapshot() *assign.Snapshot {
	out := &assign.Snapshot{Now: s.now, UrgentCores: s.urgentCores()}
	for _, ws := range s.workers {
		free, freeing := ws.free()
		out.Workers = append(out.Workers, assign.Worker{
			ID: ws.id, Service: ws.entry.Service, Rack: ws.entry.Rack, Labels: ws.entry.Labels, Free: free, Freeing: freeing,
			Capacity: assign.ResourcesFromProto(ws.entry.Capacity), Speed: ws.speed.Value(), Usable: s.usable(ws), OnTrial: ws.health.OnTrial(),
			NearLatencyTarget: ws.latencyRatio() > highLatencyShare,
		})
	}
	claims := s.accountsWithinGuarantee()
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled {
			continue
		}
		claimed := j.spec.GetPriority() == 0 && claims[j.spec.GetAccount()]
		for _, o := range j.occurrences {
			s.addOccurrence(out, j, o, claimed)
		}
	}
	return out
}

// addOccurrence adds the units of an occurrence that wait or run.
func (s *session) addOccurrence(out *assign.Snapshot, j *job, o *occurrence, claimed bool) {
	chain := assign.CriticalPaths(j.spec)
	span := assign.TimeToObjective(j.spec)
	common := assign.Unit{
		Account: j.spec.GetAccount(), Service: s.serviceOf(j.spec), Priority: j.spec.GetPriority(), Claimed: claimed, Due: o.dueAt,
		Objective: o.dueAt.Add(span), LateUntil: o.dueAt.Add(assign.LateFactor * span), Credit: assign.Credit(j.spec, s.meanWork(j.spec.GetQueue())), Work: o.waitingWork(),
	}
	for _, st := range o.steps {
		if st.readyAt.IsZero() || st.remaining == 0 {
			continue
		}
		unit := common
		unit.Step, unit.WaitingSince, unit.Remaining = st.spec, st.readyAt, chain[st.index]
		unit.TasksPerWorker, unit.Allowed = st.runningPerWorker(), s.allowedWorkers(st)
		s.addStep(out, st, unit)
	}
}

// addStep adds the units of a step; what they have in common is in common.
func (s *session) addStep(out *assign.Snapshot, st *step, common assign.Unit) {
	attempts, spare := s.maxAttempts(st.job.spec), st.stoppableCount()
	for _, u := range st.units {
		unit := common
		unit.Task = u.task
		switch {
		case u.done:
		case u.run == nil:
			unit.Avoid, unit.LastAttempt = u.avoid, u.failures+1 >= attempts
			unit.Reserved = s.reservations[u.task]
			if u.lastRunEndedAt.After(unit.WaitingSince) {
				unit.WaitingSince = u.lastRunEndedAt
			}
			out.Waiting = append(out.Waiting, unit)
		case !st.spec.GetLongRunning():
			unit.Work += assign.TaskWork(st.spec) * float64(memberCount(u))
			s.addRunning(out, u, &unit)
		default:
			if spare--; spare >= 0 {
				s.addRunning(out, u, &unit)
			}
		}
	}
}

// waitingWork is the work of the units that neither run nor are done, in core-seconds.
func (o *occurrence) waitingWork() float64 {
	work := 0.0
	for _, st := range o.steps {
		for _, u := range st.units {
			if !u.done && u.run == nil {
				work += assign.TaskWork(st.spec) * float64(memberCount(u))
			}
		}
	}
	return work
}

// addRunning adds a unit that runs and isn't told to stop; waits is what it would be if it waited.
func (s *session) addRunning(out *assign.Snapshot, u *unit, waits *assign.Unit) {
	r := u.run
	if r.stopReason != "" {
		return
	}
	out.Running = append(out.Running, assign.RunningUnit{
		Task: u.task, Account: waits.Account, Priority: waits.Priority, Claimed: waits.Claimed, Step: u.step.spec,
		Workers: r.workerIDs(), LostWork: s.lostWork(r), Density: assign.Density(waits, s.now),
	})
}

// lostWork is the work that stopping a run throws away, in core-seconds: all since its start, or what stopping and restoring
// cost.
func (s *session) lostWork(r *run) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	spec := r.unit.step.spec
	// A run that an earlier owner started has worked longer than this one has seen.
	took := max(s.now.Sub(r.startedAt), time.Duration(r.maxPercent/fullPercent*float64(assign.Estimate(spec))))
	if spec.GetCheckpointing() || spec.GetLongRunning() {
		took = min(took, s.Options.StopDuration+s.Options.RestoreDuration)
	}
	return took.Seconds() * float64(len(r.members)) * assign.ResourcesFromProto(spec.GetNeed()).CoreEquivalent()
}

// memberCount is the number of tasks of a unit.
func memberCount(u *unit) int {
	if u.task.Index == replica.GangIndex {
		return int(u.step.spec.GetCount())
	}
	return 1
}

// stoppableCount is how many tasks of a lasting step may be stopped now: as many as may be away, less those that are.
func (st *step) stoppableCount() int {
	away := 0
	for _, u := range st.units {
		if u.run == nil || u.run.stopReason != "" || !u.run.serving() {
			away++
		}
	}
	return int(st.spec.GetMayMiss()) - away
}

// runningPerWorker counts the step's running tasks on each worker; nil if the step has no bound.
func (st *step) runningPerWorker() map[string]int {
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

// serviceOf is the service whose workers run a job.
func (s *session) serviceOf(spec *storev1.Job) string {
	if current := s.Configs.Current(); current != nil {
		if queue, known := current.Queue(spec.GetQueue()); known && queue.Service != "" {
			return queue.Service
		}
	}
	return spec.GetService()
}

// accountsWithinGuarantee tells for each account whether its jobs of priority 0 need no more than it is guaranteed.
func (s *session) accountsWithinGuarantee() map[string]bool {
	needed := map[string]uint32{}
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled || j.spec.GetPriority() != 0 {
			continue
		}
		for _, step := range j.spec.GetSteps() {
			needed[j.spec.GetAccount()] += step.GetCount() * step.GetNeed().GetAccelerators()
		}
	}
	claims := map[string]bool{}
	current := s.Configs.Current()
	if current == nil {
		return claims
	}
	for account, accelerators := range needed {
		claims[account] = accelerators <= current.Accounts[account].GuaranteedAccelerators
	}
	return claims
}
