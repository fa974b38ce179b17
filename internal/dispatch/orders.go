package dispatch

import (
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// maxConcurrentOrders limits the orders in flight in each lane. An instance with a seventh of a core handles this many within
	// orderTimeout, at about a millisecond of processor time each. The others wait in the queues.
	maxConcurrentOrders = 48
	// maxOrdersPerWorker limits the orders in flight to one worker, so that one that doesn't answer holds back few others.
	maxOrdersPerWorker = 2
	// A worker that ignores an order gets no new tasks for firstIgnoredPause, and for twice as long each time it ignores another
	// one, up to maxIgnored times.
	firstIgnoredPause = time.Second
	maxIgnored        = 4
	// maxStartBacklog is the number of queued starts at which no new plan is made: a plan that runs ahead of the orders
	// would preempt runs that have not even started.
	maxStartBacklog = 2 * maxConcurrentOrders
)

// order is a message to a worker that waits for its turn or is in flight.
type order struct {
	worker *workerState
	send   func(worker.Target) (worker.Reply, error)
	// onReply handles the answer in the loop.
	onReply func(err error)
	// shouldSend, if set, is called when it is the order's turn; the order is dropped if it returns false.
	shouldSend func() bool
}

// orderLane is a queue of orders that wait for their turn, with a limit of those in flight.
type orderLane struct {
	starts, others []order
	inFlight       int
}

// orderQueues are the orders to all workers. Those to workers that have ignored an order have a lane of their own: each of them
// is in flight until it times out, and must not take the turn of an order to another worker.
type orderQueues struct {
	prompt, ignored orderLane
}

// enqueue queues an order, which is sent in the background; onReply handles the answer in the loop.
func (s *session) enqueue(ws *workerState, send func(worker.Target) (worker.Reply, error), onReply func(err error)) {
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
	for next, lane, ok := s.orders.next(); ok; next, lane, ok = s.orders.next() {
		target := worker.Target{ID: next.worker.id, Address: next.worker.entry.Address}
		if target.Address == "" || (next.shouldSend != nil && !next.shouldSend()) {
			continue
		}
		lane.inFlight++
		next.worker.ordersInFlight++
		go func() {
			reply, err := next.send(target)
			s.post(func() {
				lane.inFlight--
				next.worker.ordersInFlight--
				s.recordOrderReply(next.worker, reply, err)
				next.onReply(err)
				s.dirty = true
				s.sendOrders()
			})
		}()
	}
}

// recordOrderReply records whether a worker answered an order. One that ignored it gets no new tasks for some time, even if it
// still answers polls.
func (s *session) recordOrderReply(ws *workerState, reply worker.Reply, err error) {
	switch reason := refusalOf(err); {
	case err == nil, reason != 0 && reason != worker.RefusedIncarnation:
		ws.ignored = 0
		s.recordReply(ws, reply)
	case reason == 0 && !s.overloaded() && !ws.ignoresOrders(s.now):
		ws.ignored = min(ws.ignored+1, maxIgnored)
		ws.ignoresUntil = s.now.Add(firstIgnoredPause << (ws.ignored - 1))
		s.Events.Log(events.WorkerIgnoresOrders, "worker", ws.id, "members", len(ws.members),
			"pause_ms", ws.ignoresUntil.Sub(s.now).Milliseconds())
	}
}

// ignoresOrders reports whether a worker has lately ignored an order. It gets no first start then.
func (ws *workerState) ignoresOrders(now time.Time) bool {
	return ws.ignored > 0 && now.Before(ws.ignoresUntil)
}

// next returns the next order to send and its lane, and false if none waits or all that wait exceed their lane's limit.
func (q *orderQueues) next() (order, *orderLane, bool) {
	for q.prompt.inFlight < maxConcurrentOrders {
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
	if q.ignored.inFlight >= maxConcurrentOrders {
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
