package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/worker"

const (
	// maxConcurrentOrders limits the orders in flight. An instance with a seventh of a core handles this many within
	// orderTimeout, at about a millisecond of processor time each. The others wait in the queues.
	maxConcurrentOrders = 48
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

// orderQueues are the orders that wait for their turn, and the number of those in flight.
type orderQueues struct {
	starts, others []order
	inFlight       int
}

// enqueue queues an order, which is sent in the background; onReply handles the answer in the loop.
func (s *session) enqueue(ws *workerState, send func(worker.Target) (worker.Reply, error), onReply func(err error)) {
	s.orders.others = append(s.orders.others, order{worker: ws, send: send, onReply: onReply})
	s.sendOrders()
}

// enqueueStart queues a start. Other orders are sent first, because they free resources or stop unwanted runs.
func (s *session) enqueueStart(next order) {
	s.orders.starts = append(s.orders.starts, next)
	s.sendOrders()
}

// sendOrders sends the orders whose turn has come.
func (s *session) sendOrders() {
	for s.orders.inFlight < maxConcurrentOrders {
		next, ok := s.orders.next()
		if !ok {
			return
		}
		target := worker.Target{ID: next.worker.id, Address: next.worker.entry.Address}
		if target.Address == "" || (next.shouldSend != nil && !next.shouldSend()) {
			continue
		}
		s.orders.inFlight++
		go func() {
			reply, err := next.send(target)
			s.post(func() {
				s.orders.inFlight--
				if reason := refusalOf(err); err == nil || (reason != 0 && reason != worker.RefusedIncarnation) {
					s.recordReply(next.worker, reply)
				}
				next.onReply(err)
				s.dirty = true
				s.sendOrders()
			})
		}()
	}
}

// next returns the next order to send, and false if none waits.
func (q *orderQueues) next() (order, bool) {
	queue := &q.others
	if len(*queue) == 0 {
		queue = &q.starts
	}
	if len(*queue) == 0 {
		return order{}, false
	}
	next := (*queue)[0]
	(*queue)[0] = order{}
	*queue = (*queue)[1:]
	return next, true
}
