package dispatch

import (
	"cmp"
	"context"
	"slices"
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
	// adviceRetryDelay is the delay before the next call for a step after one that failed.
	adviceRetryDelay = 500 * time.Millisecond
	// candidateRetryDelay is the delay before a step on which no worker could be asked is looked at again.
	candidateRetryDelay = 100 * time.Millisecond
	// fairAdviceInterval is the number of calls of which one goes to the step that has waited longest, whatever its priority.
	fairAdviceInterval = 4
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used: a start order takes time to arrive.
	ticketExpiryMargin = 400 * time.Millisecond
)

// ticket allows one step to run on the incarnation of a worker that started at workerStartMs.
type ticket struct {
	value         string
	workerStartMs int64
	expiresAt     time.Time
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

// allowedWorkers returns the workers for which a step has a ticket that is valid and doesn't expire soon; nil if it needs none.
func (s *session) allowedWorkers(st *step) map[string]bool {
	if s.advisorTiming(st) == nil {
		return nil
	}
	allowed := map[string]bool{}
	for id, ticket := range st.tickets {
		ws, known := s.workers[id]
		if known && ws.startedAtMs == ticket.workerStartMs && ticket.expiresAt.Sub(s.now) > ticketExpiryMargin {
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
	for _, st := range s.stepsForAdvice() {
		timing, workers := s.advisorTiming(st), s.adviceCandidates(st)
		if timing != nil && len(workers) > 0 {
			s.requestTickets(st, timing, workers)
			return
		}
		st.nextAdviceAt = s.now.Add(candidateRetryDelay)
	}
}

// stepsForAdvice returns the steps that need tickets in the order in which they get advice: by priority, those that have had no call
// first, and then the one that has waited longest for a call. Every fairAdviceInterval-th call goes by that time alone.
func (s *session) stepsForAdvice() []*step {
	var steps []*step
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if s.needsTickets(st) {
					steps = append(steps, st)
				}
			}
		}
	}
	byRank := (s.adviceCalls+1)%fairAdviceInterval != 0
	slices.SortFunc(steps, func(a, b *step) int {
		if order := cmp.Compare(a.adviceRank(), b.adviceRank()); byRank && order != 0 {
			return order
		}
		return cmp.Or(a.waitsForAdviceSince().Compare(b.waitsForAdviceSince()), cmp.Compare(a.job.spec.GetId(), b.job.spec.GetId()),
			cmp.Compare(a.index, b.index))
	})
	return steps
}

// adviceRank orders steps by priority, and of equal priority those that have had no call first.
func (st *step) adviceRank() uint32 {
	rank := 2 * st.job.spec.GetPriority()
	if !st.advisedAt.IsZero() {
		rank++
	}
	return rank
}

// waitsForAdviceSince returns since when a step has had no call to the advisor.
func (st *step) waitsForAdviceSince() time.Time {
	if st.advisedAt.After(st.readyAt) {
		return st.advisedAt
	}
	return st.readyAt
}

// needsTickets reports whether a step has units that wait, and too few tickets for workers that can run them now: for one of them, or
// for as many workers as there are waiting tasks.
func (s *session) needsTickets(st *step) bool {
	if st.readyAt.IsZero() || st.remaining == 0 || s.now.Before(st.nextAdviceAt) || s.advisorTiming(st) == nil {
		return false
	}
	waiting, largest := 0, 0
	for _, u := range st.units {
		if !u.done && u.run == nil {
			waiting += memberCount(u)
			largest = max(largest, memberCount(u))
		}
	}
	if waiting == 0 {
		return false
	}
	withTicket, fitting := 0, 0
	tasks := st.tasksPerWorker()
	for id := range s.allowedWorkers(st) {
		if ws, known := s.workers[id]; known && s.usable(ws) {
			free, _ := ws.free()
			if count := assign.CountTasks(st.spec, free, tasks[id]); count > 0 {
				withTicket++
				fitting += count
			}
		}
	}
	return withTicket < min(waiting, maxAdviceWorkers) || fitting < largest
}

// requestTickets asks the advisor which of the workers may run a step.
func (s *session) requestTickets(st *step, timing *config.AdvisorTiming, workers []string) {
	s.adviceInFlight = true
	s.adviceCalls++
	st.advisedAt = s.now
	name := st.job.spec.GetId() + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.index)
	timeout := timing.BaseTime + time.Duration(len(workers))*timing.TimePerWorker + adviceTimeoutMargin
	lives := make(map[string]int64, len(workers))
	for _, id := range workers {
		lives[id] = s.workers[id].startedAtMs
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		advice, err := s.Advisor.Advise(ctx, name, workers)
		s.post(func() { s.handleAdvice(st, name, lives, advice, err) })
	}()
}

// adviceCandidates returns the workers to ask about for a step: usable ones on which it fits, for priority 0 also if others run there,
// and about which the advisor has not decided; those on the rack of its data first, then those with the most free resources.
func (s *session) adviceCandidates(st *step) []string {
	type candidate struct {
		id     string
		remote bool
		free   assign.Resources
	}
	var candidates []candidate
	allowed, tasks, service := s.allowedWorkers(st), st.tasksPerWorker(), s.serviceOf(st.job.spec)
	for id, ws := range s.workers {
		free, freeing := ws.free()
		room := free.Add(freeing)
		if st.job.spec.GetPriority() == 0 {
			room = assign.ResourcesFromProto(ws.entry.Capacity) // it may preempt what runs there
		}
		life, denied := st.denied[id]
		if !s.usable(ws) || allowed[id] || (denied && life == ws.startedAtMs) || ws.entry.Service != service ||
			!assign.HasRequiredLabel(st.spec, ws.entry.Labels) || assign.CountTasks(st.spec, room, tasks[id]) == 0 {
			continue
		}
		rack := st.spec.GetDataRack()
		candidates = append(candidates, candidate{id, rack != "" && ws.entry.Rack != rack, free})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.remote && !b.remote:
			return 1
		case b.remote && !a.remote:
			return -1
		}
		return cmp.Or(cmp.Compare(b.free.CoreEquivalent(), a.free.CoreEquivalent()), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, maxAdviceWorkers)
	for _, candidate := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		ids = append(ids, candidate.id)
	}
	return ids
}

// handleAdvice adds the tickets that the advisor returned for a step. The workers for which it returned none may not run the step as
// long as they live; lives has the incarnations of all workers that it was asked about.
func (s *session) handleAdvice(st *step, name string, lives map[string]int64, advice worker.Advice, err error) {
	s.adviceInFlight = false
	s.Events.Log(events.AdviceReceived, "step", name, "asked", len(lives), "allowed", len(advice.Tickets), "error", err)
	s.dirty = true
	if err != nil {
		st.nextAdviceAt = s.now.Add(adviceRetryDelay)
		return
	}
	if st.tickets == nil {
		st.tickets, st.denied = map[string]ticket{}, map[string]int64{}
	}
	for id, life := range lives {
		if value, allowed := advice.Tickets[id]; allowed {
			st.tickets[id] = ticket{value: value, workerStartMs: life, expiresAt: s.now.Add(advice.ValidFor)}
		} else {
			st.denied[id] = life
		}
	}
}
