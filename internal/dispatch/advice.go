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
	// maxAdviceWorkers limits the workers in one call: the advisor takes time for each, and accepts 100 at most.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is how much longer than declared the advisor may take, because it may serve other callers first.
	adviceTimeoutMargin = 2 * time.Second
	// adviceRetryDelay is the delay before the next call for a step after one that brought no ticket.
	adviceRetryDelay = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used: a start order takes time to arrive.
	ticketExpiryMargin = 400 * time.Millisecond
)

// ticket allows one step to run on one worker.
type ticket struct {
	value     string
	expiresAt time.Time
}

// advisorTiming returns the timing of the advisor of the step's queue; nil if the step needs no advice.
func (s *session) advisorTiming(st *step) *config.AdvisorTiming {
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

// allowedWorkers returns the workers for which a step has a ticket that doesn't expire soon; nil if it needs none.
func (s *session) allowedWorkers(st *step) map[string]bool {
	if s.advisorTiming(st) == nil {
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

// requestAdvice requests advice for one step at a time: the advisor serves the calls of an instance one after the other.
func (s *session) requestAdvice() {
	if s.Advisor == nil || s.adviceInFlight {
		return
	}
	if st := s.nextStepForAdvice(); st != nil {
		s.requestTickets(st, s.advisorTiming(st))
	}
}

// nextStepForAdvice returns the step that needs tickets first, by priority and then by age; nil if none does.
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

// before reports whether a step gets advice before another one.
func (st *step) before(other *step) bool {
	if a, b := st.job.spec.GetPriority(), other.job.spec.GetPriority(); a != b {
		return a < b
	}
	return st.readyAt.Before(other.readyAt)
}

// needsTickets reports whether a step has units that wait, and too few tickets for workers that can run them now.
func (s *session) needsTickets(st *step) bool {
	if st.readyAt.IsZero() || st.remaining == 0 || s.now.Before(st.nextAdviceAt) || s.advisorTiming(st) == nil {
		return false
	}
	waiting := 0
	for _, u := range st.units {
		if !u.done && u.run == nil {
			waiting += memberCount(u)
		}
	}
	withTicket := 0
	for id := range s.allowedWorkers(st) {
		if ws, known := s.workers[id]; known && s.usable(ws) {
			free, _ := ws.free()
			if free.Contains(assign.ResourcesOf(st.spec)) {
				withTicket++
			}
		}
	}
	return waiting > 0 && withTicket < min(waiting, maxAdviceWorkers)
}

// requestTickets asks the advisor which of the candidates may run a step.
func (s *session) requestTickets(st *step, timing *config.AdvisorTiming) {
	workers := s.adviceCandidates(st)
	if len(workers) == 0 {
		return
	}
	s.adviceInFlight = true
	name := st.job.spec.GetId() + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.index)
	timeout := timing.BaseTime + time.Duration(len(workers))*timing.TimePerWorker + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		advice, err := s.Advisor.Advise(ctx, name, workers)
		s.post(func() { s.handleAdvice(st, name, advice, err) })
	}()
}

// adviceCandidates returns the workers to ask about for a step: usable ones without a ticket, those with the most free
// resources first.
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

// handleAdvice adds the tickets that the advisor returned for a step.
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
