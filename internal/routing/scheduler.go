package routing

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// waitMargin divides the expected wait into the part that is added to it for its error.
const waitMargin = 2

// refusal says why a request gets no worker.
type refusal struct {
	kind       Kind
	retryAfter time.Duration
}

// demand describes a request to the scheduler.
type demand struct {
	account  string
	class    Class
	deadline time.Time
	// service is how long a worker is expected to take; a request waits no longer than leaves room for it.
	service time.Duration
	// avoid names workers that were tried already.
	avoid []string
}

// latestStart is when a worker must start the request to be expected to answer in time.
func (d demand) latestStart() time.Time {
	return d.deadline.Add(-d.service)
}

// scheduler grants workers to requests in fair order. It does no I/O.
type scheduler struct {
	mu         sync.Mutex
	name       string
	pool       *pool
	queues     *classQueues
	queueLimit int
	instances  []instanceWeight
	// revision counts the changes of instances.
	revision    uint64
	weights     map[string]int
	quarantined []string
	// closed refuses whatever waits or arrives.
	closed   bool
	counters *counters
}

func newScheduler(config Config, c *counters) *scheduler {
	s := &scheduler{
		name:       config.Instance,
		queues:     newClassQueues(),
		queueLimit: config.QueueLimit,
		revision:   1,
		counters:   c,
	}
	s.pool = newPool(config.Seed, s.endHold)
	return s
}

// weight returns the weight of an account.
func (s *scheduler) weight(account string) int {
	return max(s.weights[account], 1)
}

// endHold ends a hold on a worker.
func (s *scheduler) endHold(w *worker, hold uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.endHold(w, hold) {
		s.grantWaiting()
	}
}

// check says whether a request would be refused now, without queueing it.
func (s *scheduler) check(d demand) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit(d, time.Now())
}

// admit refuses a request that can't be queued or would wait past its deadline.
func (s *scheduler) admit(d demand, now time.Time) *refusal {
	if s.closed {
		return &refusal{kind: KindDraining, retryAfter: minRetryAfter}
	}
	queue := s.queues.queues[d.class]
	wait := time.Duration(0)
	if q := queue.accounts[d.account]; q != nil {
		wait = q.expectedWait(now)
	}
	if now.Add(wait + wait/waitMargin).After(d.latestStart()) {
		s.counters.refusedOverload.Add(1)
		return &refusal{kind: KindOverload, retryAfter: clampRetryAfter(wait)}
	}
	if s.queues.waiting() >= s.queueLimit && s.evictable(d) == nil {
		s.counters.refusedFull.Add(1)
		return &refusal{kind: KindQueueFull, retryAfter: clampRetryAfter(wait)}
	}
	return nil
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// evictable returns the account queue whose newest request gives way in a full queue: the longest of the
// lowest class below the newcomer's, else the longest of its class if it is longer than the newcomer's own.
func (s *scheduler) evictable(d demand) *accountQueue {
	for class := Patient; class > d.class; class-- {
		if longest := s.queues.queues[class].longest(); longest != nil {
			return longest
		}
	}
	queue := s.queues.queues[d.class]
	longest := queue.longest()
	if longest != nil && longest.waiting.Len() > queue.length(d.account)+1 {
		return longest
	}
	return nil
}

// acquire returns a worker for the request, waiting in the queue for one. The worker must be released.
func (s *scheduler) acquire(ctx context.Context, d demand) (*worker, *refusal) {
	if ctx.Err() != nil {
		return nil, &refusal{kind: kindOfEnd(ctx)}
	}
	s.mu.Lock()
	if s.queues.waiting() == 0 && !s.closed {
		if w := s.pool.pick(d.avoid); w != nil {
			s.pool.take(w)
			s.mu.Unlock()
			return w, nil
		}
	}
	waiting, refused := s.enqueue(d)
	s.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithDeadline(ctx, waiting.latestStart)
	defer cancel()
	return s.await(ctx, waiting)
}

// enqueue puts the request into its queue.
func (s *scheduler) enqueue(d demand) (*waiter, *refusal) {
	now := time.Now()
	if refused := s.admit(d, now); refused != nil {
		return nil, refused
	}
	if s.queues.waiting() >= s.queueLimit {
		s.evict(s.evictable(d))
	}
	w := &waiter{
		account: d.account, class: d.class, avoid: d.avoid,
		enqueued: now, latestStart: d.latestStart(), ready: make(chan struct{}),
	}
	s.queues.queues[d.class].push(w, s.weight(d.account))
	s.counters.queued.Add(1)
	s.grantWaiting()
	return w, nil
}

// evict refuses the newest request of the account queue.
func (s *scheduler) evict(q *accountQueue) {
	w := q.waiting.Back().Value.(*waiter)
	s.counters.refusedFull.Add(1)
	s.refuse(w, &refusal{kind: KindQueueFull, retryAfter: clampRetryAfter(q.expectedWait(time.Now()))})
}

// refuse takes a waiter out of its queue and tells it why.
func (s *scheduler) refuse(w *waiter, why *refusal) {
	s.queues.queues[w.class].remove(w)
	w.refusal = why
	close(w.ready)
}

// await waits for the grant or the end of ctx.
func (s *scheduler) await(ctx context.Context, w *waiter) (*worker, *refusal) {
	select {
	case <-w.ready:
		return w.worker, w.refusal
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.worker != nil || w.refusal != nil {
		return w.worker, w.refusal
	}
	s.queues.queues[w.class].remove(w)
	s.counters.refusedDeadline.Add(1)
	return nil, &refusal{kind: kindOfEnd(ctx), retryAfter: minRetryAfter}
}

// kindOfEnd says why a context ended.
func kindOfEnd(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return KindDeadline
	}
	return KindCancelled
}

// tryAcquire returns a worker outside d.avoid if one is free and nobody waits.
func (s *scheduler) tryAcquire(d demand) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queues.waiting() > 0 {
		return nil
	}
	w := s.pool.pick(d.avoid)
	if w == nil || contains(d.avoid, w.name) {
		return nil
	}
	s.pool.take(w)
	return w
}

// release returns a worker with what was seen of it.
func (s *scheduler) release(w *worker, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.put(w, v)
	s.grantWaiting()
}

// grantWaiting grants free workers to waiters.
func (s *scheduler) grantWaiting() {
	for s.queues.waiting() > 0 && len(s.pool.open) > 0 {
		now := time.Now()
		w := s.queues.pop(s.weight, now)
		if now.After(w.latestStart) {
			s.counters.refusedDeadline.Add(1)
			w.refusal = &refusal{kind: KindDeadline, retryAfter: minRetryAfter}
			close(w.ready)
			continue
		}
		w.worker = s.pool.pick(w.avoid)
		s.pool.take(w.worker)
		close(w.ready)
	}
}

// close refuses whatever waits and whatever comes.
func (s *scheduler) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, queue := range s.queues.queues {
		for queue.waiting > 0 {
			w := queue.order[0].waiting.Front().Value.(*waiter)
			s.refuse(w, &refusal{kind: KindDraining, retryAfter: minRetryAfter})
		}
	}
}

// setWorkers takes over the workers of the instance list.
func (s *scheduler) setWorkers(list []*apiv1.Worker, backs platform.Workers) {
	old := s.pool.workers
	s.pool.workers = make(map[string]*worker, len(list))
	for _, entry := range list {
		w := old[entry.GetName()]
		if w == nil || w.address != entry.GetAddress() {
			w = &worker{name: entry.GetName(), address: entry.GetAddress(), place: -1}
			w.back = backs.Worker(w.address)
		}
		s.pool.workers[w.name] = w
		w.requests.set(limitOf(entry))
		w.connections.set(int(entry.GetConnections()))
		w.speed = speedOf(entry)
		w.leaving = entry.GetPresence() == apiv1.Presence_PRESENCE_LEAVING
		if w.leaving {
			w.refusedLeaving = false
		}
	}
	for _, w := range old {
		if s.pool.workers[w.name] != w {
			s.pool.clearEjected(w)
			s.pool.refresh(w)
		}
	}
	s.setQuarantined(s.quarantined)
	s.divide()
}

// limitOf is how many requests a worker takes at once: one a slot and one a connection.
func limitOf(entry *apiv1.Worker) int {
	return int(min(entry.GetSlots(), entry.GetConnections()))
}

func speedOf(entry *apiv1.Worker) int {
	if entry.GetSpeedPermille() == 0 {
		return defaultSpeed
	}
	return int(entry.GetSpeedPermille())
}

// setQuarantined marks the named workers.
func (s *scheduler) setQuarantined(names []string) {
	s.quarantined = names
	for _, w := range s.pool.workers {
		w.quarantined = contains(names, w.name)
		s.pool.refresh(w)
	}
}

// divide computes this instance's share of each worker whose limit or division changed. A worker at the whole of its share stays there.
func (s *scheduler) divide() {
	for _, w := range s.pool.workers {
		before := w.requests.share
		w.requests.divide(s.instances, s.revision, s.name, w.name)
		w.connections.divide(s.instances, s.revision, s.name, w.name)
		share := w.requests.share
		whole := int(w.limit) == before && !w.ejected
		if whole || int(w.limit) > share {
			w.limit = float64(share)
		}
		s.pool.refresh(w)
	}
}

// isLive says whether the instance list shows the instance as live.
func (s *scheduler) isLive(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.name == name {
			return true
		}
	}
	return false
}
