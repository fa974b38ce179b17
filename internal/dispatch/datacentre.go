package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/evacuation"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// evacuations is what the owner knows of the data centres that are or were evacuated in this term, by data centre.
type evacuations struct {
	// states are the latest states, and reported the unknown data centres that were logged.
	states   map[string]evacuation.State
	reported map[string]bool
}

// followEvacuations moves runs out of the data centres that are evacuated, and logs each change of a data centre's state.
func (s *session) followEvacuations() {
	requested := s.Evacuations.All()
	if len(requested) == 0 && len(s.evacuations.states) == 0 {
		return
	}
	s.reportUnknownDataCentres(requested)
	if len(requested) > 0 && s.hasSettled() && s.knowsRuns() {
		for _, task := range evacuation.Moves(s.runsToMove(), s.roomElsewhere(), s.Options.StopDuration+s.Options.RestoreDuration) {
			s.stopRun(s.unitByTask(task), "its data centre is evacuated")
		}
	}
	for name, tasks := range s.tasksByDataCentre() {
		before, followed := s.evacuations.states[name]
		after := evacuation.StateOf(slices.Contains(requested, name), followed && !s.startedIn(name), tasks)
		if after == evacuation.InUse {
			delete(s.evacuations.states, name)
		} else {
			s.evacuations.states[name] = after
		}
		if (followed || after != evacuation.InUse) && before != after {
			s.Events.Log(events.DataCentreState, "data_centre", name, "state", after, "tasks", tasks)
		}
	}
}

// reportUnknownDataCentres logs each evacuation of a data centre without workers, once the registry was read.
func (s *session) reportUnknownDataCentres(requested []string) {
	known := s.tasksByDataCentre()
	for _, name := range requested {
		if _, ok := known[name]; !ok && s.registryRead && !s.evacuations.reported[name] {
			s.evacuations.reported[name] = true
			names := make([]string, 0, len(known))
			for other := range known {
				names = append(names, other)
			}
			slices.Sort(names)
			s.Events.Log(events.UnknownDataCentre, "data_centre", name, "known", strings.Join(names, ","))
		}
	}
}

// tasksByDataCentre returns the number of tasks on the workers of each data centre.
func (s *session) tasksByDataCentre() map[string]int {
	tasks := map[string]int{}
	for _, ws := range s.workers {
		if ws.listed {
			tasks[ws.entry.DataCentre] += len(ws.members)
		}
	}
	return tasks
}

// startedIn reports whether a task has started in a data centre since its evacuation ended.
func (s *session) startedIn(dataCentre string) bool {
	for _, ws := range s.workers {
		if ws.entry.DataCentre == dataCentre && len(ws.members) > 0 {
			return true
		}
	}
	return false
}

// runsToMove returns the runs with members in data centres that are evacuated, unless they are being stopped.
func (s *session) runsToMove() []evacuation.Run {
	var runs []evacuation.Run
	seen := map[*run]bool{}
	missable := map[*step]int{}
	for _, ws := range s.workers {
		if !s.Evacuations.Requested(ws.entry.DataCentre) {
			continue
		}
		for _, m := range ws.members {
			r, st := m.run, m.run.unit.step
			if seen[r] || r.stopReason != "" || r.unit.run != r || !r.reported() || r.startedAt.IsZero() || st.job.cancelled || st.job.hasEnded() {
				continue
			}
			seen[r] = true
			if _, counted := missable[st]; !counted {
				missable[st] = st.stoppableCount()
			}
			missable[st]--
			remaining, _ := s.remainingTime(r)
			runs = append(runs, evacuation.Run{
				Task: r.unit.task, Service: s.serviceOf(st.job.spec), Need: r.unit.resources(), Members: len(r.members),
				Remaining: remaining, Checkpointing: st.spec.GetCheckpointing(), LongRunning: st.spec.GetLongRunning(),
				Stoppable: missable[st] >= 0,
			})
		}
	}
	return runs
}

// roomElsewhere returns the workers on which tasks may start.
func (s *session) roomElsewhere() []evacuation.Worker {
	var workers []evacuation.Worker
	for _, ws := range s.workers {
		if s.usable(ws) {
			free, _ := ws.free()
			workers = append(workers, evacuation.Worker{Service: ws.entry.Service, Free: free})
		}
	}
	return workers
}

// DataCentres returns the owner's view of each data centre, sorted by name. It returns none on an instance that isn't the owner.
func (d *Dispatcher) DataCentres(ctx context.Context) []*apiv1.DataCentreStatus {
	var dataCentres []*apiv1.DataCentreStatus
	d.query(ctx, func(s *session) {
		last := s.latestEnds()
		for name, tasks := range s.tasksByDataCentre() {
			state, followed := s.evacuations.states[name]
			if !followed {
				state = evacuation.InUse
			}
			status := &apiv1.DataCentreStatus{Name: name, State: string(state), Tasks: uint32(tasks)} //nolint:gosec // a count.
			if state == evacuation.Evacuating {
				status.ExpectedEmptyMs = last[name].Milliseconds()
			}
			dataCentres = append(dataCentres, status)
		}
	})
	slices.SortFunc(dataCentres, func(a, b *apiv1.DataCentreStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return dataCentres
}

// latestEnds returns the expected time until the last of the tasks that now run in each data centre ends; long-running ones don't count.
func (s *session) latestEnds() map[string]time.Duration {
	last := map[string]time.Duration{}
	for _, ws := range s.workers {
		for _, m := range ws.members {
			remaining, _ := s.remainingTime(m.run)
			last[ws.entry.DataCentre] = max(last[ws.entry.DataCentre], remaining)
		}
	}
	return last
}
