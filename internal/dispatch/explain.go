package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// maxExplainedSteps limits the steps of a job that are explained.
const maxExplainedSteps = 8

// query runs a function in the loop of the current term. It returns false if this instance isn't the owner or ctx ends
// first.
func (d *Dispatcher) query(ctx context.Context, action func(*session)) bool {
	s := d.current.Load()
	if s == nil {
		return false
	}
	done := make(chan struct{})
	s.post(func() {
		action(s)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}

// Explain returns a line for each waiting step of a job, up to maxExplainedSteps, that says why it waits. It returns none
// on an instance that isn't the owner.
func (d *Dispatcher) Explain(ctx context.Context, id string) []string {
	var lines []string
	if !d.query(ctx, func(s *session) { lines = s.explain(id) }) {
		return nil
	}
	return lines
}

func (s *session) explain(id string) []string {
	j, known := s.jobs[id]
	if !known || j.hasEnded() || j.cancelled {
		return nil
	}
	var lines []string
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if line := s.explainStep(o, st); line != "" && len(lines) < maxExplainedSteps {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// explainStep returns why the first waiting unit of a step waits; empty if none waits.
func (s *session) explainStep(o *occurrence, st *step) string {
	waiting := slices.IndexFunc(st.units, func(u *unit) bool { return !u.done && u.run == nil })
	switch {
	case waiting < 0:
		return ""
	case st.readyAt.IsZero():
		return fmt.Sprintf("occurrence %d, step %d: waits for the steps before it", o.number, st.index)
	default:
		reason := assign.Explain(s.snapshot(), st.units[waiting].task)
		return fmt.Sprintf("occurrence %d, step %d: %s", o.number, st.index, reason)
	}
}

// Workers returns the owner's view of each worker, sorted by id. It returns none on an instance that isn't the owner.
func (d *Dispatcher) Workers(ctx context.Context) []*apiv1.WorkerStatus {
	var workers []*apiv1.WorkerStatus
	d.query(ctx, func(s *session) {
		for _, ws := range s.workers {
			workers = append(workers, s.workerStatus(ws))
		}
	})
	slices.SortFunc(workers, func(a, b *apiv1.WorkerStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	return workers
}

func (s *session) workerStatus(ws *workerState) *apiv1.WorkerStatus {
	free, _ := ws.free()
	return &apiv1.WorkerStatus{
		Id: ws.id, Service: ws.entry.Service, Rack: ws.entry.Rack, State: s.stateName(ws), Speed: ws.speed.Value(),
		Tasks: uint32(len(ws.members)), FreeAccelerators: uint32(max(0, free.Accelerators)), //nolint:gosec // small numbers.
	}
}

// stateName returns the name of the state that decides whether a worker gets new tasks.
func (s *session) stateName(ws *workerState) string {
	switch {
	case !ws.listed:
		return "unlisted"
	case ws.entry.Draining:
		return "draining"
	case ws.unresponsive || !ws.confirmed:
		return "silent"
	case ws.reserved:
		return "reserved"
	case ws.health.Quarantined(s.now):
		return "quarantined"
	case ws.health.OnTrial():
		return "on trial"
	default:
		return "usable"
	}
}
