package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Bounds of the worker pool.
const (
	// failuresToEject is how many lost or unsent dispatches in a row eject a worker.
	failuresToEject = 3
	// failedRunsToEject is how many runs in a row that end in an error eject a worker.
	failedRunsToEject = 5
	// ejectBase and ejectMax bound how long a worker is ejected; it doubles with each ejection in a row.
	ejectBase = 5 * time.Second
	ejectMax  = time.Minute
	// maxEjectedPercent bounds the share of workers that are ejected at once.
	maxEjectedPercent = 50
	// fullBackoff is how long a worker that refused for want of a slot is passed over.
	fullBackoff = 20 * time.Millisecond
	// brokenBackoff is how long a failing worker is passed over when no more workers may be ejected.
	brokenBackoff = 200 * time.Millisecond
	// fullDecrease is the factor on the limit of a worker that refused for want of a slot.
	fullDecrease = 0.5
	// fullIncrease is what a limit's worth of answers adds to the limit.
	fullIncrease = 0.25
	// defaultSpeed is the speed of a worker whose speed is not stated, in thousandths.
	defaultSpeed = 1000
)

// verdict is how a dispatch to a worker ended.
type verdict uint8

const (
	verdictDone verdict = iota
	// verdictFailed is an answer that is the error the request ended in.
	verdictFailed
	// verdictFull to verdictUnsent prove that the request did not start.
	verdictFull
	verdictLeaving
	verdictDamaged
	verdictBroken
	// verdictWithdrawn is a dispatch that this instance gave up before it was sent.
	verdictWithdrawn
	verdictUnsent
	// verdictLost proves nothing: the answer did not come or was not ours.
	verdictLost
	// verdictCancelled is a dispatch that this instance gave up; it says nothing of the worker.
	verdictCancelled
)

// answered says that the worker's answer is the request's answer.
func (v verdict) answered() bool { return v == verdictDone || v == verdictFailed }

// provesNotRun says that the dispatch certainly did not start.
func (v verdict) provesNotRun() bool { return v >= verdictFull && v <= verdictUnsent }

// worker is one back end as this instance sees it.
type worker struct {
	name    string
	address string
	back    platform.Worker
	speed   int
	// leaving is the word of the instance list; refusedLeaving the worker's own.
	leaving        bool
	refusedLeaving bool
	quarantined    bool
	// requests and connections are this instance's parts of what the worker takes at once; limit adapts between 1
	// and the share of requests.
	requests    divided
	connections divided
	limit       float64
	inFlight    int
	failures    int
	failedRuns  int
	ejections   int
	ejected     bool
	// onHold says that the worker is passed over until a timer ends it; holds counts the timers.
	onHold    bool
	holdUntil time.Time
	holds     uint64
	// place is the index in pool.open, or -1.
	place int
}

// usable says whether the worker may get a request now.
func (w *worker) usable() bool {
	blocked := w.leaving || w.refusedLeaving || w.quarantined || w.onHold
	return !blocked && w.inFlight < int(w.limit)
}

// load orders workers: the time that the requests in flight and one more take, in a unit of its own.
func (w *worker) load() float64 {
	return float64(w.inFlight+1) / float64(w.speed)
}

// pool holds the workers and those of them that may get a request. The scheduler's lock guards it.
type pool struct {
	workers map[string]*worker
	// open lists the usable workers in no order.
	open    []*worker
	random  *rand.Rand
	ejected int
	// onHoldEnd is called without the lock when a worker that was passed over is back.
	onHoldEnd func(w *worker, hold uint64)
}

func newPool(seed uint64, onHoldEnd func(*worker, uint64)) *pool {
	return &pool{
		workers:   make(map[string]*worker),
		random:    rand.New(rand.NewPCG(seed, seed)),
		onHoldEnd: onHoldEnd,
	}
}

// refresh puts the worker into or out of the open list.
func (p *pool) refresh(w *worker) {
	usable := w.usable() && p.workers[w.name] == w
	if usable == (w.place >= 0) {
		return
	}
	if usable {
		w.place = len(p.open)
		p.open = append(p.open, w)
		return
	}
	last := p.open[len(p.open)-1]
	p.open[w.place] = last
	last.place = w.place
	p.open = p.open[:len(p.open)-1]
	w.place = -1
}

// pick returns the less loaded of two usable workers chosen at random, or nil. Workers named in avoid
// are taken only when the draw finds no other.
func (p *pool) pick(avoid []string) *worker {
	if len(p.open) == 0 {
		return nil
	}
	first := p.draw(avoid)
	second := p.draw(avoid)
	if second.load() < first.load() {
		return second
	}
	return first
}

// draw returns a random usable worker, if there is one outside avoid.
func (p *pool) draw(avoid []string) *worker {
	start := p.random.IntN(len(p.open))
	tries := min(len(avoid)+1, len(p.open))
	for i := range tries {
		w := p.open[(start+i)%len(p.open)]
		if !contains(avoid, w.name) {
			return w
		}
	}
	return p.open[start]
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// take notes a dispatch to the worker.
func (p *pool) take(w *worker) {
	w.inFlight++
	p.refresh(w)
}

// put notes the end of a dispatch and learns from it.
func (p *pool) put(w *worker, v verdict) {
	w.inFlight--
	switch v {
	case verdictDone:
		w.failures, w.failedRuns, w.ejections = 0, 0, 0
		w.limit = min(w.limit+fullIncrease/max(w.limit, 1), float64(w.requests.share))
	case verdictFailed:
		w.failures = 0
		w.failedRuns++
	case verdictFull:
		w.limit = max(1, w.limit*fullDecrease)
		p.hold(w, fullBackoff)
	case verdictLeaving:
		w.refusedLeaving = true
	case verdictLost, verdictUnsent:
		w.failures++
	case verdictBroken:
		w.failures = failuresToEject
	case verdictDamaged, verdictWithdrawn, verdictCancelled:
	}
	if w.failures >= failuresToEject || w.failedRuns >= failedRunsToEject {
		p.eject(w)
	}
	p.refresh(w)
}

// eject passes the worker over for a while, unless too many are ejected already.
func (p *pool) eject(w *worker) {
	w.failures, w.failedRuns = 0, 0
	if w.ejected || p.workers[w.name] != w {
		return
	}
	if (p.ejected+1)*100 > len(p.workers)*maxEjectedPercent {
		p.hold(w, brokenBackoff)
		return
	}
	duration := min(ejectBase<<min(w.ejections, 10), ejectMax)
	w.ejections++
	w.ejected = true
	w.limit = 1
	p.ejected++
	p.hold(w, duration)
}

// hold passes the worker over for the duration, unless it is for longer already.
func (p *pool) hold(w *worker, duration time.Duration) {
	until := time.Now().Add(duration)
	if w.onHold && until.Before(w.holdUntil) {
		return
	}
	w.onHold = true
	w.holdUntil = until
	w.holds++
	hold := w.holds
	time.AfterFunc(duration, func() { p.onHoldEnd(w, hold) })
	p.refresh(w)
}

// endHold ends a hold; it returns false when a later hold replaced it.
func (p *pool) endHold(w *worker, hold uint64) bool {
	if w.holds != hold {
		return false
	}
	w.onHold = false
	p.clearEjected(w)
	p.refresh(w)
	return true
}

func (p *pool) clearEjected(w *worker) {
	if w.ejected {
		w.ejected = false
		p.ejected--
	}
}
