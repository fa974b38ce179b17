package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// The calls in flight in each lane are limited to callsPerCore for each core, between minCalls and maxCalls. An instance with a
	// seventh of a core handles minCalls within orderTimeout, at about a millisecond of processor time each. The other orders wait
	// in the queues.
	callsPerCore = 300
	minCalls     = 48
	maxCalls     = 192
	// maxOrdersPerWorker limits the orders in flight to one worker, so that one that doesn't answer holds back few others.
	maxOrdersPerWorker = 2
	// A worker that ignores maxIgnored orders in a row gets no new tasks for firstIgnoredPause, and for twice as long, up to
	// maxIgnoredPause, if it then ignores another one.
	maxIgnored        = 3
	firstIgnoredPause = time.Second
	maxIgnoredPause   = 8 * time.Second
)

// orderLimit returns the limit of the orders in flight in each lane. An order that may be sent twice counts as two calls.
func (s *session) orderLimit() int {
	const millicores = 1000
	calls := min(max(int(s.Options.CPU)*callsPerCore/millicores, minCalls), maxCalls)
	if s.canSpareCalls() {
		return calls / maxCopies
	}
	return calls
}

// maxStartBacklog returns the number of queued starts at which no new plan is made: a plan that runs ahead of the orders would
// preempt runs that have not even started.
func (s *session) maxStartBacklog() int { return 2 * maxCopies * s.orderLimit() }

// sendFunc sends an order and waits for the answer until its context ends.
type sendFunc func(context.Context, worker.Target) (worker.Reply, error)

// order is a message to a worker that waits for its turn or is in flight.
type order struct {
	worker *workerState
	send   sendFunc
	// onReply handles the answer in the loop, given how often the order was sent.
	onReply func(err error, copies int)
	// shouldSend, if set, is called when it is the order's turn; the order is dropped if it returns false.
	shouldSend func() bool
}

// orderLane is a queue of orders that wait for their turn, and the number of those in flight.
type orderLane struct {
	starts, others []order
	inFlight       int
}

// orderQueues are the orders to all workers. Those to workers that have ignored the last one have a lane of their own:
// each of them may be in flight until it times out, and must not take the turn of an order to another worker.
type orderQueues struct {
	prompt, ignored orderLane
	// limit is the limit of the orders in flight in each lane.
	limit int
}

// enqueue queues an order, which is sent in the background; onReply handles the answer in the loop.
func (s *session) enqueue(ws *workerState, send sendFunc, onReply func(err error, copies int)) {
	s.orders.prompt.others = append(s.orders.prompt.others, order{worker: ws, send: send, onReply: onReply})
	s.sendOrders()
}

// enqueueStart queues a start. Other orders are sent first, because they free resources or stop unwanted runs.
func (s *session) enqueueStart(next order) {
	s.orders.prompt.starts = append(s.orders.prompt.starts, next)
	s.sendOrders()
}

// sendOrders sends the orders whose turn has come.
func (s *session) sendOrders() {
	if s.suspended() {
		return
	}
	s.orders.limit = s.orderLimit()
	for next, lane, ok := s.orders.next(); ok; next, lane, ok = s.orders.next() {
		target := worker.Target{ID: next.worker.id, Address: next.worker.entry.Address}
		if target.Address == "" || (next.shouldSend != nil && !next.shouldSend()) {
			continue
		}
		lane.inFlight++
		next.worker.ordersInFlight++
		delay, hedged := s.hedgeDelay(), s.canSpareCalls()
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
			defer cancel()
			answer := call(ctx, hedged, delay, func(ctx context.Context) (worker.Reply, error) { return next.send(ctx, target) })
			s.post(func() {
				lane.inFlight--
				next.worker.ordersInFlight--
				if refusalOf(answer.err) == worker.RefusedIncarnation && target.Address != next.worker.entry.Address {
					answer.err = worker.ErrNoAnswer // from the former address
				}
				s.recordOrderReply(next.worker, answer.took, answer.err)
				if areDifferent(answer.value.StartedAtMs, next.worker.startedAtMs) {
					s.doubtIncarnation(next.worker)
				}
				next.onReply(answer.err, answer.copies)
				s.dirty = true
				s.sendOrders()
			})
		}()
	}
}

// recordOrderReply records whether a worker answered an order, and after what time. One that ignores several in a row gets no new
// tasks for some time, even if it still answers polls.
func (s *session) recordOrderReply(ws *workerState, took time.Duration, err error) {
	switch reason := refusalOf(err); {
	case err == nil, reason != 0 && reason != worker.RefusedIncarnation:
		s.latency.Observe(took)
		ws.ignored, ws.ignoredPause = 0, 0
		s.recordReply(ws)
	case reason == 0:
		s.recordLostCall(ws)
		if s.overloaded() {
			return
		}
		if ws.ignored++; ws.ignored < maxIgnored || ws.ignoresOrders(s.now) {
			return
		}
		s.markUnresponsive(ws)
		ws.ignoredPause = min(max(2*ws.ignoredPause, firstIgnoredPause), maxIgnoredPause)
		ws.ignoresUntil = s.now.Add(ws.ignoredPause)
		s.Events.Log(events.WorkerIgnoresOrders, "worker", ws.id, "members", len(ws.members), "orders", ws.ignored,
			"pause_ms", ws.ignoredPause.Milliseconds())
	}
}

// ignoresOrders reports whether a worker has lately ignored several orders in a row. It gets no first start then.
func (ws *workerState) ignoresOrders(now time.Time) bool {
	return ws.ignored >= maxIgnored && now.Before(ws.ignoresUntil)
}

// next returns the next order to send and its lane, and false if none waits or all that wait exceed their lane's limit.
func (q *orderQueues) next() (order, *orderLane, bool) {
	for q.prompt.inFlight < q.limit {
		next, isStart, ok := q.prompt.take()
		switch {
		case !ok:
			return q.nextIgnored()
		case next.worker.ignored == 0:
			return next, &q.prompt, true
		case isStart:
			q.ignored.starts = append(q.ignored.starts, next)
		default:
			q.ignored.others = append(q.ignored.others, next)
		}
	}
	return q.nextIgnored()
}

// nextIgnored returns the next order to a worker that has ignored an order.
func (q *orderQueues) nextIgnored() (order, *orderLane, bool) {
	if q.ignored.inFlight >= q.limit {
		return order{}, nil, false
	}
	next, _, ok := q.ignored.take()
	return next, &q.ignored, ok
}

// take removes and returns the first order whose worker has less than maxOrdersPerWorker in flight, and whether it is a start;
// false if none waits.
func (l *orderLane) take() (next order, isStart, ok bool) {
	if next, ok = takeFirst(&l.others); ok {
		return next, false, true
	}
	next, ok = takeFirst(&l.starts)
	return next, true, ok
}

func takeFirst(queue *[]order) (order, bool) {
	first := slices.IndexFunc(*queue, func(o order) bool { return o.worker.ordersInFlight < maxOrdersPerWorker })
	if first < 0 {
		return order{}, false
	}
	next := (*queue)[first]
	*queue = slices.Delete(*queue, first, first+1)
	return next, true
}

// length returns the number of orders that wait or are in flight.
func (l *orderLane) length() int { return len(l.starts) + len(l.others) + l.inFlight }
