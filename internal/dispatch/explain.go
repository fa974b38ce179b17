package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// maxExplainedSteps limits the steps of a job that are explained.
const maxExplainedSteps = 8

// query runs a function in the loop of the current term. It does nothing if this instance isn't the owner, or if ctx ends first.
func (d *Dispatcher) query(ctx context.Context, action func(*session)) {
	s := d.current.Load()
	if s == nil {
		return
	}
	done := make(chan struct{})
	s.post(func() {
		action(s)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
}

// Explain returns a line for each waiting step of a job, up to maxExplainedSteps, that says why it waits. The next plan gives
// the reasons; a plan for each call would take the owner's time. It returns none on an instance that isn't the owner, or if ctx
// ends before the plan.
func (d *Dispatcher) Explain(ctx context.Context, id string) []string {
	s := d.current.Load()
	if s == nil {
		return nil
	}
	lines := make(chan []string, 1)
	s.post(func() {
		s.questions = append(s.questions, question{job: id, answer: lines})
		for _, st := range s.explainableSteps(id) {
			st.asked = true
		}
		s.dirty = true
	})
	select {
	case answer := <-lines:
		return answer
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return nil
}

// question asks why the steps of a job wait. The channel has room for the answer.
type question struct {
	job    string
	answer chan<- []string
}

// answerQuestions answers all questions with the reasons of a plan.
func (s *session) answerQuestions(reasons map[replica.Task]assign.Reason) {
	for _, q := range s.questions {
		lines := []string{}
		for _, st := range s.explainableSteps(q.job) {
			st.asked = false
			if reason := st.reason(reasons); reason != "" && len(lines) < maxExplainedSteps {
				lines = append(lines, fmt.Sprintf("occurrence %d, step %d: %s", st.occurrence.number, st.index, reason))
			}
		}
		q.answer <- lines
	}
	s.questions = nil
}

// explainableSteps returns the steps of a job that may wait.
func (s *session) explainableSteps(id string) []*step {
	j, known := s.jobs[id]
	if !known || j.hasEnded() || j.cancelled {
		return nil
	}
	var steps []*step
	for _, o := range j.occurrences {
		steps = append(steps, o.steps...)
	}
	return steps
}

// reason returns why the first waiting unit of a step waits; empty if none waited when the plan was made.
func (st *step) reason(reasons map[replica.Task]assign.Reason) string {
	if st.readyAt.IsZero() {
		return "waits for the steps before it"
	}
	for _, u := range st.units {
		if reason, known := reasons[u.task]; known {
			return reason.Text
		}
	}
	return ""
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

// Durations returns how well the owner knows the durations of each queue's tasks. It returns none on an instance that isn't the owner.
func (d *Dispatcher) Durations(ctx context.Context) []*apiv1.QueueDurations {
	var queues []*apiv1.QueueDurations
	d.query(ctx, func(s *session) { queues = s.model.Queues() })
	return queues
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
	case !ws.knowsIncarnation():
		return "restarted"
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
