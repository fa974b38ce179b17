// Package dispatch runs jobs on workers while this instance owns them.
//
// A run is recorded before its tasks are ordered to start, so a later owner knows all that may run. Every order
// carries the epoch as fencing token; a worker is used only after it has seen this epoch and told what it runs. An end
// is recorded before the worker may forget it. No task starts while an earlier run of it may be on a worker: it is over
// once its worker says so, another incarnation answers, or its lease has passed.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/leadership"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// tickInterval is how often time alone is looked at: leases, schedules, silent workers.
	tickInterval = 100 * time.Millisecond
	// registryInterval spaces the readings of the workers' list; a draining worker has to be known within two seconds.
	registryInterval = 400 * time.Millisecond
	// settleTimeout is how long a new owner waits for workers to tell what they run before it plans without the rest.
	settleTimeout = 400 * time.Millisecond
	// lateTickThreshold is how late a tick shows that this instance is too busy to judge others, and busyTime for how long it does:
	// until calls of that time have ended.
	lateTickThreshold = 250 * time.Millisecond
	overloadDuration  = pollWait + pollTimeoutMargin
	// retireInterval spaces the searches for jobs that nobody asks for any more.
	retireInterval = 10 * time.Second
)

// Options are the times that the platform sets.
type Options struct {
	// Instance is the instance's.
	Instance string
	// TakeoverDelay is how long a new owner waits before it orders machines that an earlier one may have ordered.
	TakeoverDelay time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopDuration is how long a worker may take to stop a task.
	StopDuration time.Duration
	// GangWait is how long a member waits for the others before it ends alone.
	GangWait time.Duration
	// RestoreDuration is how long a task takes to resume from a checkpoint.
	RestoreDuration time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
}

// Dependencies are what a Dispatcher works with.
type Dependencies struct {
	Options Options
	Client  worker.Client
	// Advisor is nil where no queue needs advice.
	Advisor worker.Advisor
	// Machines is nil where no machine has upkeep.
	Machines worker.Machines
	Waves    *config.Waves
	// Status is where the operator reads how far waves are, and WaveStatus the record that says so.
	Status     storelog.Partition
	WaveStatus func(number int64, state replica.WaveState) storelog.Record
	Configs    *config.Holder
	Replica    *replica.Replica
	Registry   storelog.Partition
	// DecodeWorker reads a worker's entry; false if it names no worker to use.
	DecodeWorker func(storelog.Record) (worker.RegistryEntry, bool)
	Events       *events.Logger
	Stages       *metrics.Stages
}

// Dispatcher runs jobs on workers.
type Dispatcher struct {
	deps Dependencies
	// current is the term that runs here; nil if none does.
	current atomic.Pointer[session]
}

// New returns a Dispatcher.
func New(parts Dependencies) *Dispatcher { return &Dispatcher{deps: parts} }

// RunTerm runs jobs until ctx ends. It is a leadership.RunTerm.
func (d *Dispatcher) RunTerm(ctx context.Context, term leadership.Term) {
	s := newSession(ctx, d.deps, term)
	d.current.Store(s)
	defer d.current.Store(nil)
	defer d.deps.Replica.Unwatch()
	s.status = storelog.NewAppender(d.deps.Status, "owner", term.Epoch, 0)
	go func() { _ = s.status.Run(ctx) }() // ends with the term; a later owner writes the states again
	s.restore(d.deps.Replica.Watch(watcher{s}))
	registry := storelog.NewFollower(d.deps.Registry, registryReader{s}, storelog.FollowOptions{
		Name: "workers", ReadInterval: func() time.Duration { return registryInterval },
	}, d.deps.Events)
	go registry.Run(ctx)
	s.loop()
}

// session is the state of one term. Only the loop touches it; everything else posts actions.
type session struct {
	Dependencies
	ctx      context.Context
	term     leadership.Term
	inbox    inbox
	now      time.Time
	requests requestQueues
	// lastTick is when time was last looked at, and lastLateTick when that was last late.
	lastTick, lastLateTick time.Time

	jobs    map[string]*job
	workers map[string]*workerState
	// queueStats are the mean work of a queue's jobs.
	queueStats map[string]*queueStats
	// startedAt is when the term startedAt here, registered that the workers' list was read, and settled that all workers on it
	// have told what they run, or had the time to.
	startedAt             time.Time
	registryRead, settled bool
	// dirty tells that something changed since the last plan.
	dirty bool
	// reservations are the workers on which the last plan made room.
	reservations map[replica.Task][]string
	upkeep       upkeep
	// urgentDemand is what the urgentDemand jobs of each service need.
	urgentDemand map[string]*learned.Demand
	// status writes for the operator.
	status *storelog.Appender
	// adviceInFlight tells that a call for advice is under way.
	adviceInFlight bool
	lastRetirement time.Time
	// lastSpeedsCheck is when the speeds were last looked at, and speedSamples what they rested on.
	lastSpeedsCheck      time.Time
	recordedSpeedSamples int
}

func newSession(ctx context.Context, parts Dependencies, term leadership.Term) *session {
	return &session{
		Dependencies: parts, ctx: ctx, term: term, now: time.Now(), startedAt: time.Now(), inbox: inbox{wake: make(chan struct{}, 1)},
		jobs: map[string]*job{}, workers: map[string]*workerState{}, queueStats: map[string]*queueStats{}, urgentDemand: map[string]*learned.Demand{}, upkeep: upkeep{waves: map[int64]*wave{}}, lastRetirement: time.Now(),
	}
}

// post hands an action to the loop. It never blocks, and actions run in the order in which they were posted.
func (s *session) post(action func()) { s.inbox.put(action) }

// loop runs actions one by one and plans after those that wait have run.
func (s *session) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.inbox.wake:
			for _, action := range s.inbox.take() {
				s.now = time.Now()
				action()
			}
		case <-ticker.C:
			s.now = time.Now()
			s.onTick()
		}
		if s.dirty && s.hasSettled() && len(s.requests.starts) < maxStartBacklog {
			s.dirty = false
			s.plan()
			s.requestAdvice()
		}
	}
}

// hasSettled tells whether enough is known to plan: a plan on the first workers that answer would crowd them.
func (s *session) hasSettled() bool {
	if s.settled {
		return true
	}
	s.settled = s.registryRead || s.now.Sub(s.startedAt) > settleTimeout
	for _, ws := range s.workers {
		if ws.listed && !ws.confirmed && !ws.unresponsive && s.now.Sub(s.startedAt) < settleTimeout {
			s.settled = false
		}
	}
	return s.settled
}

// overloaded tells that this instance was lately too overloaded to take answers in time.
func (s *session) overloaded() bool { return s.now.Sub(s.lastLateTick) < overloadDuration }

// onTick looks at what time alone changes.
func (s *session) onTick() {
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) > tickInterval+lateTickThreshold {
		s.lastLateTick = s.now
	}
	s.lastTick = s.now
	for _, job := range s.jobs {
		s.openDueOccurrences(job)
	}
	for _, host := range s.workers {
		s.checkWorker(host)
	}
	s.checkRuns()
	s.sampleUrgentDemand()
	s.recordSpeeds()
	s.advanceWaves()
	if s.now.Sub(s.lastRetirement) > retireInterval {
		s.lastRetirement = s.now
		s.retireJobs()
	}
	for _, job := range s.jobs {
		if !job.hasEnded() && job.hasWaitingUnits() {
			s.dirty = true
			return
		}
	}
}

// appendRecords appends records and runs then in the loop once they are stored.
func (s *session) appendRecords(then func(), records ...storelog.Record) {
	pending, submitted := s.term.Appender.Submit(records...), time.Now()
	go func() {
		select {
		case <-pending.Done():
			s.Stages.Record.Observe(time.Since(submitted))
			if pending.Err() == nil && then != nil {
				s.post(then)
			}
		case <-s.ctx.Done():
		}
	}()
}
