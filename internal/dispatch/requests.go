package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/worker"

const (
	// maxConcurrentRequests bounds the orders that are under way together: an instance with a seventh of a core gets through as
	// many within orderTimeout, at about a millisecond of processor each. The others wait their turn here.
	maxConcurrentRequests = 48
	// maxStartBacklog is how many starts may wait when the next plan is made: a plan that runs ahead of its orders lets runs
	// give way that have not even started.
	maxStartBacklog = 2 * maxConcurrentRequests
)

// request is one request to a worker.
type request struct {
	worker *workerState
	send   func(worker.Target) (worker.Reply, error)
	// onReply handles the answer in the loop.
	onReply func(err error)
	// shouldSend, if set, is asked when its turn comes; an order that isn't shouldSend any more is never given.
	shouldSend func() bool
}

// requestQueues are the requestQueues that wait for their turn, and how many are under way.
type requestQueues struct {
	starts, others []request
	inFlight       int
}

// enqueue gives an order in the background, in its turn, and handles the answer in the loop.
func (s *session) enqueue(ws *workerState, give func(worker.Target) (worker.Reply, error), answered func(err error)) {
	s.requests.others = append(s.requests.others, request{worker: ws, send: give, onReply: answered})
	s.sendRequests()
}

// enqueueStart is call for a start: others go first, for they free room or end what nobody wants.
func (s *session) enqueueStart(next request) {
	s.requests.starts = append(s.requests.starts, next)
	s.sendRequests()
}

// sendRequests gives the orders whose turn has come.
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

// next returns the order whose turn it is.
func (o *requestQueues) next() (request, bool) {
	queue := &o.others
	if len(*queue) == 0 {
		queue = &o.starts
	}
	if len(*queue) == 0 {
		return request{}, false
	}
	next := (*queue)[0]
	(*queue)[0] = request{}
	*queue = (*queue)[1:]
	return next, true
}
