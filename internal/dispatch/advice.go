package dispatch

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// maxAdviceWorkers bounds the workers in one call: the advisor takes a time for each, and 100 at most.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is how much longer than it says the advisor may take, other callers' turns included.
	adviceTimeoutMargin = 2 * time.Second
	// adviceRetryDelay spaces calls after one without an answer or without enough workers.
	adviceRetryDelay = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its end a ticket is no longer used: a start takes a moment to arrive.
	ticketExpiryMargin = 400 * time.Millisecond
)

// ticket allows one step to run on one worker.
type ticket struct {
	value     string
	expiresAt time.Time
}

// adviceOf returns what the step's queue says of advice; nil if it needs none.
func (s *session) adviceOf(st *step) *config.AdvisorTiming {
	current := s.Configs.Current()
	if current == nil || s.Advisor == nil {
		return nil
	}
	queue, known := current.Queue(st.job.spec.GetQueue())
	if !known {
		return nil
	}
	return queue.Advisor
}

// allowedWorkers are the workers for which a step has a ticket that lasts; nil if it needs none.
func (s *session) allowedWorkers(st *step) map[string]bool {
	if s.adviceOf(st) == nil {
		return nil
	}
	allowed := map[string]bool{}
	for id, ticket := range st.tickets {
		if ticket.expiresAt.Sub(s.now) > ticketExpiryMargin {
			allowed[id] = true
		}
	}
	return allowed
}

// requestAdvice asks for one step at a time: the advisor serves one call of an instance after the other.
func (s *session) requestAdvice() {
	if s.Advisor == nil || s.adviceInFlight {
		return
	}
	if st := s.nextStepForAdvice(); st != nil {
		s.requestTickets(st, s.adviceOf(st))
	}
}

// nextStepForAdvice returns the step that needs tickets most: by priority, then by age.
func (s *session) nextStepForAdvice() *step {
	var best *step
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if s.needsTickets(st) && (best == nil || st.before(best)) {
					best = st
				}
			}
		}
	}
	return best
}

// before orders steps that need advice.
func (st *step) before(other *step) bool {
	if a, b := st.job.spec.GetPriority(), other.job.spec.GetPriority(); a != b {
		return a < b
	}
	return st.readyAt.Before(other.readyAt)
}

// needsTickets tells that units of a step wait and none of its tickets lasts.
func (s *session) needsTickets(st *step) bool {
	if st.readyAt.IsZero() || st.remaining == 0 || s.now.Before(st.nextAdviceAt) || s.adviceOf(st) == nil {
		return false
	}
	waiting := 0
	for _, u := range st.units {
		if !u.done && u.run == nil {
			waiting += memberCount(u)
		}
	}
	room := 0
	for id := range s.allowedWorkers(st) {
		if ws, known := s.workers[id]; known && s.usable(ws) {
			free, _ := ws.free()
			if free.Contains(assign.ResourcesOf(st.spec)) {
				room++
			}
		}
	}
	return waiting > 0 && room < min(waiting, maxAdviceWorkers)
}

// requestTickets asks which of the workers with most room may run a step.
func (s *session) requestTickets(st *step, terms *config.AdvisorTiming) {
	workers := s.adviceCandidates(st)
	if len(workers) == 0 {
		return
	}
	s.adviceInFlight = true
	name := st.job.spec.GetId() + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.index)
	limit := terms.BaseTime + time.Duration(len(workers))*terms.TimePerWorker + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, limit)
		defer cancel()
		advice, err := s.Advisor.Advise(ctx, name, workers)
		s.post(func() { s.handleAdvice(st, name, advice, err) })
	}()
}

// adviceCandidates are the workers about which a step asks: usable ones that have no ticket yet, those with most room first.
func (s *session) adviceCandidates(st *step) []string {
	type candidate struct {
		id   string
		free assign.Resources
	}
	var candidates []candidate
	allowed := s.allowedWorkers(st)
	need := assign.ResourcesOf(st.spec)
	for id, ws := range s.workers {
		free, freeing := ws.free()
		if !s.usable(ws) || allowed[id] || ws.entry.Service != s.serviceOf(st.job.spec) || !free.Add(freeing).Contains(need) {
			continue
		}
		candidates = append(candidates, candidate{id, free})
	}
	sort.Slice(candidates, func(a, b int) bool {
		if x, y := candidates[a].free.CoreEquivalent(), candidates[b].free.CoreEquivalent(); x > y || x < y {
			return x > y
		}
		return candidates[a].id < candidates[b].id
	})
	ids := make([]string, 0, maxAdviceWorkers)
	for _, candidate := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		ids = append(ids, candidate.id)
	}
	return ids
}

// handleAdvice takes tickets over.
func (s *session) handleAdvice(st *step, name string, advice worker.Advice, err error) {
	s.adviceInFlight = false
	s.Events.Log(events.AdviceReceived, "step", name, "allowed", len(advice.Tickets), "error", err)
	if err != nil || len(advice.Tickets) == 0 {
		st.nextAdviceAt = s.now.Add(adviceRetryDelay)
		return
	}
	if st.tickets == nil {
		st.tickets = map[string]ticket{}
	}
	for id, value := range advice.Tickets {
		st.tickets[id] = ticket{value: value, expiresAt: s.now.Add(advice.ValidFor)}
	}
	s.dirty = true
}
