package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/worker"

const (
	// ordersAtOnce bounds the orders that are under way together: an instance with a seventh of a core gets through as
	// many within orderTimeout, at about a millisecond of processor each. The others wait their turn here.
	ordersAtOnce = 48
	// backlogMost is how many starts may wait when the next plan is made: a plan that runs ahead of its orders lets runs
	// give way that have not even started.
	backlogMost = 2 * ordersAtOnce
)

// order is one order to a worker.
type order struct {
	host *host
	give func(worker.Target) (worker.Reply, error)
	// answered handles the answer in the loop.
	answered func(err error)
	// wanted, if set, is asked when its turn comes; an order that isn't wanted any more is never given.
	wanted func() bool
}

// orders are the orders that wait for their turn, and how many are under way.
type orders struct {
	starts, others []order
	underWay       int
}

// call gives an order in the background, in its turn, and handles the answer in the loop.
func (s *session) call(h *host, give func(worker.Target) (worker.Reply, error), answered func(err error)) {
	s.orders.others = append(s.orders.others, order{host: h, give: give, answered: answered})
	s.giveOrders()
}

// callToStart is call for a start: others go first, for they free room or end what nobody wants.
func (s *session) callToStart(next order) {
	s.orders.starts = append(s.orders.starts, next)
	s.giveOrders()
}

// giveOrders gives the orders whose turn has come.
func (s *session) giveOrders() {
	for s.orders.underWay < ordersAtOnce {
		next, ok := s.orders.take()
		if !ok {
			return
		}
		target := worker.Target{ID: next.host.id, Address: next.host.entry.Address}
		if target.Address == "" || (next.wanted != nil && !next.wanted()) {
			continue
		}
		s.orders.underWay++
		go func() {
			reply, err := next.give(target)
			s.post(func() {
				s.orders.underWay--
				if err == nil || refusalOf(err) != 0 {
					s.heard(next.host, reply)
				}
				next.answered(err)
				s.dirty = true
				s.giveOrders()
			})
		}()
	}
}

// take returns the order whose turn it is.
func (o *orders) take() (order, bool) {
	queue := &o.others
	if len(*queue) == 0 {
		queue = &o.starts
	}
	if len(*queue) == 0 {
		return order{}, false
	}
	next := (*queue)[0]
	(*queue)[0] = order{}
	*queue = (*queue)[1:]
	return next, true
}
