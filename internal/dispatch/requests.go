package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/worker"

const (
	// maxConcurrentRequests limits the requests in flight. An instance with a seventh of a core handles this many within
	// requestTimeout, at about a millisecond of processor time each. The others wait in the queues.
	maxConcurrentRequests = 48
	// maxStartBacklog is the number of queued starts at which no new plan is made: a plan that runs ahead of the requests
	// would preempt runs that have not even started.
	maxStartBacklog = 2 * maxConcurrentRequests
)

// request is one request to a worker, with what handles its answer.
type request struct {
	worker *workerState
	send   func(worker.Target) (worker.Reply, error)
	// onReply handles the answer in the loop.
	onReply func(err error)
	// shouldSend, if set, is called when it is the request's turn; the request is dropped if it returns false.
	shouldSend func() bool
}

// requestQueues are the requests that wait for their turn, and the number of those in flight.
type requestQueues struct {
	starts, others []request
	inFlight       int
}

// enqueue queues a request, which is sent in the background; onReply handles the answer in the loop.
func (s *session) enqueue(ws *workerState, send func(worker.Target) (worker.Reply, error), onReply func(err error)) {
	s.requests.others = append(s.requests.others, request{worker: ws, send: send, onReply: onReply})
	s.sendRequests()
}

// enqueueStart queues a start. Other requests are sent first, because they free resources or stop unwanted runs.
func (s *session) enqueueStart(next request) {
	s.requests.starts = append(s.requests.starts, next)
	s.sendRequests()
}

// sendRequests sends the requests whose turn has come.
func (s *session) sendRequests() {
	for s.requests.inFlight < maxConcurrentRequests {
		next, ok := s.requests.next()
		if !ok {
			return
		}
		target := worker.Target{ID: next.worker.id, Address: next.worker.entry.Address}
		if target.Address == "" || (next.shouldSend != nil && !next.shouldSend()) {
			continue
		}
		s.requests.inFlight++
		go func() {
			reply, err := next.send(target)
			s.post(func() {
				s.requests.inFlight--
				if err == nil || refusalOf(err) != 0 {
					s.recordReply(next.worker, reply)
				}
				next.onReply(err)
				s.dirty = true
				s.sendRequests()
			})
		}()
	}
}

// next returns the next request to send, and false if none waits.
func (q *requestQueues) next() (request, bool) {
	queue := &q.others
	if len(*queue) == 0 {
		queue = &q.starts
	}
	if len(*queue) == 0 {
		return request{}, false
	}
	next := (*queue)[0]
	(*queue)[0] = request{}
	*queue = (*queue)[1:]
	return next, true
}
