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
	// adviceMost bounds the workers in one call: the advisor takes a time for each, and 100 at most.
	adviceMost = 30
	// adviceSlack is how much longer than it says the advisor may take, other callers' turns included.
	adviceSlack = 2 * time.Second
	// adviceAgain spaces calls after one without an answer or without enough workers.
	adviceAgain = 500 * time.Millisecond
	// ticketReserve is how long before its end a ticket is no longer used: a start takes a moment to arrive.
	ticketReserve = 400 * time.Millisecond
)

// ticket allows one step to run on one worker.
type ticket struct {
	value string
	until time.Time
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

// allowed are the workers for which a step has a ticket that lasts; nil if it needs none.
func (s *session) allowed(st *step) map[string]bool {
	if s.adviceOf(st) == nil {
		return nil
	}
	allowed := map[string]bool{}
	for id, ticket := range st.tickets {
		if ticket.until.Sub(s.now) > ticketReserve {
			allowed[id] = true
		}
	}
	return allowed
}

// askAdvice asks for one step at a time: the advisor serves one call of an instance after the other.
func (s *session) askAdvice() {
	if s.Advisor == nil || s.asking {
		return
	}
	if st := s.needsAdvice(); st != nil {
		s.ask(st, s.adviceOf(st))
	}
}

// needsAdvice returns the step that needs tickets most: by priority, then by age.
func (s *session) needsAdvice() *step {
	var best *step
	for _, j := range s.jobs {
		if j.over() || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if s.wantsTickets(st) && (best == nil || st.before(best)) {
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
	return st.since.Before(other.since)
}

// wantsTickets tells that units of a step wait and none of its tickets lasts.
func (s *session) wantsTickets(st *step) bool {
	if st.since.IsZero() || st.left == 0 || s.now.Before(st.askAfter) || s.adviceOf(st) == nil {
		return false
	}
	waiting := 0
	for _, u := range st.units {
		if !u.done && u.run == nil {
			waiting += members(u)
		}
	}
	room := 0
	for id := range s.allowed(st) {
		if h, known := s.workers[id]; known && s.usable(h) {
			free, _ := h.free()
			if free.Contains(assign.ResourcesOf(st.spec)) {
				room++
			}
		}
	}
	return waiting > 0 && room < min(waiting, adviceMost)
}

// ask asks which of the workers with most room may run a step.
func (s *session) ask(st *step, terms *config.AdvisorTiming) {
	workers := s.askable(st)
	if len(workers) == 0 {
		return
	}
	s.asking = true
	name := st.job.spec.GetId() + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.index)
	limit := terms.BaseTime + time.Duration(len(workers))*terms.TimePerWorker + adviceSlack
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, limit)
		defer cancel()
		advice, err := s.Advisor.Advise(ctx, name, workers)
		s.post(func() { s.advised(st, name, advice, err) })
	}()
}

// askable are the workers about which a step asks: usable ones that have no ticket yet, those with most room first.
func (s *session) askable(st *step) []string {
	type candidate struct {
		id   string
		free assign.Resources
	}
	var candidates []candidate
	allowed := s.allowed(st)
	need := assign.ResourcesOf(st.spec)
	for id, h := range s.workers {
		free, freeing := h.free()
		if !s.usable(h) || allowed[id] || h.entry.Service != s.serviceOf(st.job.spec) || !free.Add(freeing).Contains(need) {
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
	ids := make([]string, 0, adviceMost)
	for _, candidate := range candidates[:min(len(candidates), adviceMost)] {
		ids = append(ids, candidate.id)
	}
	return ids
}

// advised takes tickets over.
func (s *session) advised(st *step, name string, advice worker.Advice, err error) {
	s.asking = false
	s.Events.Log(events.AdviceReceived, "step", name, "allowed", len(advice.Tickets), "error", err)
	if err != nil || len(advice.Tickets) == 0 {
		st.askAfter = s.now.Add(adviceAgain)
		return
	}
	if st.tickets == nil {
		st.tickets = map[string]ticket{}
	}
	for id, value := range advice.Tickets {
		st.tickets[id] = ticket{value: value, until: s.now.Add(advice.ValidFor)}
	}
	s.dirty = true
}
