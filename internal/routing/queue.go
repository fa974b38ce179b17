package routing

import (
	"container/heap"
	"container/list"
	"time"
)

// Bounds of the queues.
const (
	// ordinaryPassLimit and patientPassLimit are how many grants may pass a waiting class over before it gets one.
	ordinaryPassLimit = 8
	patientPassLimit  = 16
	// delayGain is the weight of a new sample in the average queue delay.
	delayGain = 0.25
	// delayMemory is how long the average outlives the last grant when nothing waits.
	delayMemory = time.Second
	// maxIdleAccounts bounds the accounts whose average is kept though nothing of theirs waits.
	maxIdleAccounts = 1024
)

// passLimit is, by class, how many grants may pass it over.
var passLimit = [classCount]int{Urgent: 0, Ordinary: ordinaryPassLimit, Patient: patientPassLimit}

// waiter is one request waiting for a worker.
type waiter struct {
	account  string
	class    Class
	avoid    []string
	enqueued time.Time
	// latestStart is when the request gives up waiting.
	latestStart time.Time
	// ahead counts the account's requests that waited in the class when this one came.
	ahead int
	// element is the waiter's place in its account's queue; nil when it isn't queued.
	element *list.Element
	// ready is closed when worker or refusal is set.
	ready   chan struct{}
	worker  *worker
	refusal *refusal
}

// accountQueue holds the waiting requests of one account in one class.
type accountQueue struct {
	account string
	waiting list.List
	// finish is the virtual time at which the request at the head is due.
	finish float64
	// place is the index in the heap.
	place int
	// delay is the average queue delay for each place in the queue.
	delay time.Duration
	// last is the time of the last grant.
	last time.Time
}

// expectedWait estimates how long one more request would wait behind those that wait now.
func (q *accountQueue) expectedWait(now time.Time) time.Duration {
	if q.waiting.Len() == 0 && now.Sub(q.last) > delayMemory {
		return 0
	}
	byPlace := time.Duration(q.waiting.Len()+1) * q.delay
	if q.waiting.Len() == 0 {
		return byPlace
	}
	oldest := q.waiting.Front().Value.(*waiter)
	return max(byPlace, now.Sub(oldest.enqueued))
}

// noteGrant averages the delay that the granted request had for each place.
func (q *accountQueue) noteGrant(w *waiter, now time.Time) {
	sample := now.Sub(w.enqueued) / time.Duration(w.ahead+1)
	if q.delay == 0 || now.Sub(q.last) > delayMemory {
		q.last = now
		q.delay = sample
		return
	}
	q.last = now
	q.delay += time.Duration(delayGain * float64(sample-q.delay))
}

// fairQueue shares the grants of one class among accounts by weight: self-clocked fair queueing.
type fairQueue struct {
	// accounts holds the accounts in order and those whose average is kept.
	accounts map[string]*accountQueue
	order    accountHeap
	// virtual is the finish of the last grant.
	virtual float64
	waiting int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: make(map[string]*accountQueue)}
}

// push appends the waiter to its account's queue.
func (f *fairQueue) push(w *waiter, weight int) {
	q := f.accounts[w.account]
	if q == nil {
		f.forgetIdle()
		q = &accountQueue{account: w.account}
		f.accounts[w.account] = q
	}
	if q.waiting.Len() == 0 {
		q.finish = f.virtual + 1/float64(weight)
		heap.Push(&f.order, q)
	}
	w.ahead = q.waiting.Len()
	w.element = q.waiting.PushBack(w)
	f.waiting++
}

// pop takes the next waiter in fair order.
func (f *fairQueue) pop(weight func(account string) int, now time.Time) *waiter {
	q := f.order[0]
	w := q.waiting.Front().Value.(*waiter)
	f.virtual = q.finish
	q.finish += 1 / float64(weight(q.account))
	q.noteGrant(w, now)
	heap.Fix(&f.order, q.place)
	f.remove(w)
	return w
}

// remove takes a waiter out of its queue.
func (f *fairQueue) remove(w *waiter) {
	q := f.accounts[w.account]
	q.waiting.Remove(w.element)
	w.element = nil
	f.waiting--
	if q.waiting.Len() == 0 {
		heap.Remove(&f.order, q.place)
	}
}

// forgetIdle drops the averages of accounts without waiters when there are too many.
func (f *fairQueue) forgetIdle() {
	if len(f.accounts)-len(f.order) < maxIdleAccounts {
		return
	}
	for account, q := range f.accounts {
		if q.waiting.Len() == 0 {
			delete(f.accounts, account)
		}
	}
}

// longest returns the account with the most waiters, by name on a tie, or nil.
func (f *fairQueue) longest() *accountQueue {
	var longest *accountQueue
	for _, q := range f.order {
		if longest == nil || longer(q, longest) {
			longest = q
		}
	}
	return longest
}

func longer(a, b *accountQueue) bool {
	if a.waiting.Len() != b.waiting.Len() {
		return a.waiting.Len() > b.waiting.Len()
	}
	return a.account < b.account
}

// length returns how many requests of the account wait.
func (f *fairQueue) length(account string) int {
	q := f.accounts[account]
	if q == nil {
		return 0
	}
	return q.waiting.Len()
}

// accountHeap orders accounts by the virtual time of their next request.
type accountHeap []*accountQueue

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].account < h[j].account
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push is part of heap.Interface.
func (h *accountHeap) Push(x any) {
	q := x.(*accountQueue)
	q.place = len(*h)
	*h = append(*h, q)
}

// Pop is part of heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// classQueues holds one fair queue a class. Urgent goes first, but a class that waits gets one grant after it
// was passed over as often as its pass limit.
type classQueues struct {
	queues [classCount]*fairQueue
	passed [classCount]int
}

func newClassQueues() *classQueues {
	c := &classQueues{}
	for i := range c.queues {
		c.queues[i] = newFairQueue()
	}
	return c
}

// waiting counts all waiters.
func (c *classQueues) waiting() int {
	total := 0
	for _, q := range c.queues {
		total += q.waiting
	}
	return total
}

// pop takes the next waiter; there is one.
func (c *classQueues) pop(weight func(account string) int, now time.Time) *waiter {
	class := c.next()
	c.passed[class] = 0
	for lower := class + 1; lower < classCount; lower++ {
		if c.queues[lower].waiting > 0 {
			c.passed[lower]++
		}
	}
	return c.queues[class].pop(weight, now)
}

// next chooses the class of the next grant.
func (c *classQueues) next() Class {
	first := classCount
	for class := Patient; ; class-- {
		if c.queues[class].waiting > 0 {
			first = class
			if class != Urgent && c.passed[class] >= passLimit[class] {
				return class
			}
		}
		if class == Urgent {
			return first
		}
	}
}
