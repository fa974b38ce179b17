package dispatch

import (
	"fmt"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// firstWaitReport is how long a step waits before the log states why. Each later statement follows after twice the time.
	firstWaitReport = time.Second
	// poolReportInterval is the interval between two lines on the state of a service's workers while jobs wait.
	poolReportInterval = time.Second
)

// logQueued logs what a job asks for.
func (s *session) logQueued(spec *storev1.Job) {
	first := spec.GetSteps()[0]
	s.Events.Log(events.JobQueued, "job", spec.GetId(), "queue", spec.GetQueue(), "account", spec.GetAccount(),
		"priority", spec.GetPriority(), "steps", len(spec.GetSteps()), "times", occurrenceCount(spec), "tasks", first.GetCount(),
		"gang", first.GetGang(), "same_rack", first.GetSameRack(), "data_rack", first.GetDataRack(),
		"accelerators", first.GetNeed().GetAccelerators(), "checkpointing", first.GetCheckpointing(),
		"core_s", int(assign.JobWork(spec, assign.Declared(spec))),
		"objective_ms", assign.TimeToObjective(spec, assign.Declared(spec)).Milliseconds())
}

// logRestored logs what the store holds at the start of the term.
func (s *session) logRestored() {
	open, waiting := 0, 0
	for _, j := range s.jobs {
		if j.hasEnded() {
			continue
		}
		for _, u := range j.units() {
			switch {
			case u.run != nil:
				open++
			case !u.done:
				waiting++
			}
		}
	}
	s.Events.Log(events.JobsRestored, "epoch", s.term.Epoch, "jobs", len(s.jobs), "open_runs", open, "waiting_units", waiting,
		"workers_of_open_runs", len(s.workers))
}

// logWaits logs why steps wait.
func (s *session) logWaits(reasons map[replica.Task]assign.Reason) {
	for task, reason := range reasons {
		if u := s.unitByTask(task); !reason.Starts && !s.now.Before(u.step.nextWaitReport) {
			s.logWait(u, reason.Text)
		}
	}
}

// logWait logs why a unit of a step waits.
func (s *session) logWait(u *unit, reason string) {
	st := u.step
	waited := s.now.Sub(st.readyAt)
	st.nextWaitReport = s.now.Add(waited)
	waiting := 0
	for _, other := range st.units {
		if !other.done && other.run == nil {
			waiting++
		}
	}
	s.Events.Log(events.StepWaiting, "task", u.task, "queue", st.job.spec.GetQueue(), "priority", st.job.spec.GetPriority(),
		"ready_ms", waited.Milliseconds(), "since_last_run_ms", s.age(u.lastRunEndedAt).Milliseconds(), "units", waiting, "reason", reason)
}

// logUnreachedRuns logs the steps that wait for the end of a run that an earlier owner started on a worker which hasn't answered this one.
func (s *session) logUnreachedRuns() {
	for _, ws := range s.workers {
		if ws.confirmed {
			continue
		}
		for _, m := range ws.members {
			u := m.run.unit
			if m.phase != unconfirmed || u.step.readyAt.IsZero() || s.now.Before(u.step.nextWaitReport) {
				continue
			}
			s.logWait(u, fmt.Sprintf("run %d of %s may still be on worker %s, which has not answered this owner: "+
				"it counts as running for %d ms more", m.run.number, m.name, ws.id, s.expiresAt(m).Sub(s.now).Milliseconds()))
		}
	}
}

// poolState sums up the workers of a service and the accelerators that its jobs use and wait for.
type poolState struct {
	workers, usable, quarantined, onTrial, unresponsive, draining int
	capacity, free, freeing                                       int
	keptWhole, kept                                               int
	starting, running, stopping, waiting                          acceleratorCounts
}

// planning counts the plans since the last report, and the time that they took.
type planning struct {
	count int
	took  time.Duration
}

// acceleratorCounts are numbers of accelerators by priority; the last element includes all lower priorities.
type acceleratorCounts [4]int

func (c *acceleratorCounts) add(priority uint32, accelerators int) {
	c[min(int(priority), len(c)-1)] += accelerators
}

// logPoolStates logs the state of each service's workers, at most once in poolReportInterval.
func (s *session) logPoolStates() {
	if s.now.Sub(s.lastPoolReport) < poolReportInterval {
		return
	}
	s.lastPoolReport = s.now
	states := map[string]*poolState{}
	stateOf := func(service string) *poolState {
		if states[service] == nil {
			states[service] = &poolState{}
		}
		return states[service]
	}
	for _, ws := range s.workers {
		if ws.listed {
			stateOf(ws.entry.Service).addWorker(s, ws)
		}
	}
	for _, j := range s.jobs {
		if !j.hasEnded() && !j.cancelled {
			stateOf(s.serviceOf(j.spec)).addJob(j)
		}
	}
	cores, whole := s.urgentShapes()
	for service, state := range states {
		s.Events.Log(events.PoolState, "service", service, "workers", state.workers, "usable", state.usable,
			"quarantined", state.quarantined, "on_trial", state.onTrial, "unresponsive", state.unresponsive,
			"draining", state.draining, "accelerators", state.capacity, "free", state.free, "freeing", state.freeing,
			"kept_whole", state.keptWhole, "kept", state.kept, "urgent_whole", whole[service].Workers, "urgent_rack", whole[service].RackWidth,
			"urgent_cores", int(cores[service]),
			"starting_by_priority", fmt.Sprint(state.starting), "running_by_priority", fmt.Sprint(state.running),
			"stopping_by_priority", fmt.Sprint(state.stopping), "waiting_by_priority", fmt.Sprint(state.waiting),
			"queued_starts", len(s.orders.prompt.starts), "queued_orders", len(s.orders.prompt.others),
			"orders_in_flight", s.orders.prompt.inFlight, "ignored_orders", s.orders.ignored.length(),
			"plans", s.planning.count, "planning_ms", s.planning.took.Milliseconds(), "overloaded", s.overloaded())
	}
	s.planning = planning{}
}

// addWorker adds a listed worker. Free and freeing accelerators count on usable workers only.
func (p *poolState) addWorker(s *session, ws *workerState) {
	p.workers++
	switch {
	case ws.entry.Draining:
		p.draining++
	case ws.unresponsive || !ws.confirmed:
		p.unresponsive++
	case ws.health.Quarantined(s.now):
		p.quarantined++
	case ws.health.OnTrial():
		p.onTrial++
	}
	if whole, kept := s.kept[ws.id]; whole {
		p.keptWhole++
	} else if kept {
		p.kept++
	}
	p.capacity += int(ws.entry.Capacity.GetAccelerators())
	if s.usable(ws) {
		free, freeing := ws.free()
		p.usable++
		p.free += free.Accelerators
		p.freeing += freeing.Accelerators
	}
}

// addJob adds the accelerators that the ready steps of a job use and wait for.
func (p *poolState) addJob(j *job) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.readyAt.IsZero() {
				continue
			}
			for _, u := range st.units {
				accelerators := memberCount(u) * u.resources().Accelerators
				switch {
				case u.done:
				case u.run == nil:
					p.waiting.add(j.spec.GetPriority(), accelerators)
				case u.run.stopReason != "":
					p.stopping.add(j.spec.GetPriority(), accelerators)
				case u.run.startedAt.IsZero():
					p.starting.add(j.spec.GetPriority(), accelerators)
				default:
					p.running.add(j.spec.GetPriority(), accelerators)
				}
			}
		}
	}
}
