// Package dispatch runs jobs on workers while this instance is the owner.
//
// A run is recorded in the store before its tasks are started, so that a later owner knows every task that may be
// running. Every order carries the epoch as its fencing token. A worker gets tasks only after it has accepted this
// epoch and reported what it runs. A finished task is recorded before the worker may discard its report. A task doesn't
// start while an earlier run of it may still be on a worker: that run has ended once its worker reports so, another
// incarnation of the worker answers, or its lease has expired.
package dispatch

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/evacuation"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/leadership"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// tickInterval is the interval of the checks that depend on time alone: leases, schedules, unresponsive workers.
	tickInterval = 100 * time.Millisecond
	// registryInterval is the interval between reads of the worker registry; a draining worker has to be noticed within two
	// seconds.
	registryInterval = 400 * time.Millisecond
	// settleTimeout is how long a new owner waits for workers to report what they run before it plans without the others.
	settleTimeout = 400 * time.Millisecond
	// learnTimeout is how long a new owner preempts nothing while workers have yet to report what they run: free resources and
	// runs that lose less may be there.
	learnTimeout = 1500 * time.Millisecond
	// A tick that is late by more than lateTickThreshold shows that this instance is too busy to judge workers by their
	// response times. It then counts as overloaded for overloadDuration: until the calls made during that time have ended.
	lateTickThreshold = 250 * time.Millisecond
	overloadDuration  = pollWait + pollTimeoutMargin
	// maxLateTicks is the number of late ticks in a row with which the instance can't keep up with the owner's work.
	maxLateTicks = 3
	// retireInterval is the interval between searches for jobs whose retention has passed.
	retireInterval = 10 * time.Second
)

// Options are the settings of a Dispatcher that come from the platform.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// CPU is the processor that the instance may use, in millicores; 0 if unknown.
	CPU uint32
	// TakeoverDelay is how long a new owner waits before it orders the upkeep of machines: the orders of two owners for
	// one machine must be that far apart.
	TakeoverDelay time.Duration
	// EvacuateTime is the maximum time until nothing starts in a data centre that is to be evacuated; 0 if that isn't asked for.
	EvacuateTime time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopDuration is the longest time that a worker takes to stop a task.
	StopDuration time.Duration
	// GangWait is how long a member of a gang waits for the other members to start before it ends.
	GangWait time.Duration
	// RestoreDuration is how long a task takes to resume from a checkpoint.
	RestoreDuration time.Duration
	// CapacityGrace is how long after a worker's capacity has shrunk tasks may still start within the capacity that it had; 0 if
	// capacities don't shrink.
	CapacityGrace time.Duration
	// DeclaredDurations is true if the declared estimates are used in place of durations learned from finished runs.
	DeclaredDurations bool
	// Retention is how long callers can query the state of a job that has ended.
	Retention time.Duration
}

// Dependencies are the services and the shared state that a Dispatcher uses.
type Dependencies struct {
	Options Options
	Client  worker.Client
	// Advisor is nil if the platform has no advisor.
	Advisor worker.Advisor
	// Machines is nil if the platform has no machine service.
	Machines worker.Machines
	Waves    *config.Waves
	// Evacuations are the data centres in which nothing may start. ConfigAge returns the time for which they may be obsolete.
	Evacuations *config.Evacuations
	ConfigAge   func() time.Duration
	// UpkeepStatus is the partition in which the operator reads the states of waves of upkeep; EncodeWaveStatus returns the
	// record of a state.
	UpkeepStatus     storelog.Partition
	EncodeWaveStatus func(number int64, state replica.WaveState) storelog.Record
	Configs          *config.Holder
	Replica          *replica.Replica
	Registry         storelog.Partition
	// DecodeWorker decodes a worker's registry entry; false if the entry is invalid or the worker can't be used.
	DecodeWorker func(storelog.Record) (worker.RegistryEntry, bool)
	// Plan makes the plans; see assign.MakePlan.
	Plan   func(*assign.Snapshot) assign.Plan
	Events *events.Logger
	Stages *metrics.Stages
}

// Dispatcher runs jobs on workers.
type Dispatcher struct {
	deps Dependencies
	// current is the session of the current term; nil if this instance isn't the owner.
	current atomic.Pointer[session]
}

// New returns a Dispatcher that isn't running a term.
func New(deps Dependencies) *Dispatcher { return &Dispatcher{deps: deps} }

// RunTerm runs jobs until ctx ends. It is a leadership.TermFunc.
func (d *Dispatcher) RunTerm(ctx context.Context, term leadership.Term) {
	s := newSession(ctx, d.deps, term)
	d.current.Store(s)
	defer d.current.Store(nil)
	defer d.deps.Replica.Unwatch()
	s.waveStatus = storelog.NewAppender(d.deps.UpkeepStatus, "owner", term.Epoch, 0)
	go func() { _ = s.waveStatus.Run(ctx) }() // ends with the term; a later owner writes the states again
	s.restore(d.deps.Replica.Watch(watcher{s}))
	registry := storelog.NewFollower(d.deps.Registry, registryReader{s}, storelog.FollowOptions{
		Name: "workers", ReadInterval: func() time.Duration { return registryInterval },
	}, d.deps.Events)
	go registry.Run(ctx)
	s.run()
}

// run runs the loop. A panic in it ends only the term, not the process: the instance still answers callers, and another one
// becomes the owner.
func (s *session) run() {
	defer func() {
		if cause := recover(); cause != nil {
			s.Events.Log(events.OwnerFailed, "epoch", s.term.Epoch, "cause", cause, "stack", string(debug.Stack()))
			s.term.StepDown(fmt.Sprint("panic: ", cause))
		}
	}()
	s.loop()
}

// session is the state of one term. Only the loop accesses it; other goroutines post actions.
type session struct {
	Dependencies
	ctx    context.Context
	term   leadership.Term
	inbox  inbox
	now    time.Time
	orders orderQueues
	// confirming is true after a pause until the store has confirmed the ownership; see confirmOwnership.
	confirming bool
	// storeRefuses is true while the store refuses this owner's records or leaves them unanswered.
	storeRefuses bool
	// isolated is true while this owner may have a successor of which nobody can tell it; see checkIsolation.
	isolated bool
	// lastTick is the time of the last tick, and lastLateTick that of the last tick that was late.
	lastTick, lastLateTick time.Time
	// latency estimates the latency of calls that workers answer at once.
	latency learned.Latency
	// lateTicks is the number of late ticks that followed each other within overloadDuration.
	lateTicks int

	jobs    map[string]*job
	workers map[string]*workerState
	// forgottenWorkers are the ids of workers that have answered in this term and were forgotten since.
	forgottenWorkers map[string]bool
	// silentLosses are the lost workers that may still answer, by their id.
	silentLosses map[string]silentLoss
	// unproven are crashes under runs of earlier owners whose evidence counts once this owner knows which workers were lost in the takeover.
	unproven []countedCrash
	// losses are the latest losses of workers, by the worker's address.
	losses map[string]workerLoss
	// lastRetry is the latest start of a unit under which several workers were lost.
	lastRetry retry
	// idleWatch is the latest time in which idle workers are watched.
	idleWatch watch
	// steady has the steady workers of the plan in the making, for each cause of losses.
	steady map[lossCause]map[string]bool
	// held has a reason for each unit that the plan in the making leaves out, if one is asked for.
	held map[replica.Task]assign.Reason
	// model is what is known of the durations of tasks.
	model *expect.Model
	// queueStats are the statistics of each queue's jobs.
	queueStats map[string]*queueStats
	// startedAt is when the term started here. registryRead is true once the worker registry was read, and settled once
	// all workers in it have reported what they run, or have had the time to.
	startedAt             time.Time
	registryRead, settled bool
	// learned is true once all workers have reported what they run.
	learned bool
	// dirty is true if something has changed since the last plan. No plan is made before nextPlan; planTimer fires then.
	dirty     bool
	nextPlan  time.Time
	planTimer *time.Timer
	// reservations are the workers that the last plan reserved for each waiting unit.
	reservations map[replica.Task][]string
	upkeep       upkeep
	evacuations  evacuations
	// urgentDemand is the demand of each service's urgent jobs.
	urgentDemand map[string]*learned.Shapes
	// kept has the workers that the last plan kept for urgent units, by id; true for those that are kept whole.
	kept map[string]bool
	// speeds learns the speeds of the workers.
	speeds learned.Speeds
	// unrecordedLeases are the runs whose usual leases are to be recorded, and usualLeasesRecordedAt is when that was last done.
	unrecordedLeases      []*run
	usualLeasesRecordedAt time.Time
	// waveStatus writes the states of waves for the operator.
	waveStatus *storelog.Appender
	// adviceInFlight is true while a call to the advisor is in flight, and adviceCalls the number of calls so far.
	adviceInFlight bool
	adviceCalls    int
	lastRetirement time.Time
	lastPoolReport time.Time
	// questions are those that the next plan answers.
	questions []question
	planning  planning
	// lastSpeedsCheck is when the speeds were last compared with those recorded, and recordedSpeedSamples the number of
	// samples behind the recorded ones.
	lastSpeedsCheck      time.Time
	recordedSpeedSamples int
}

func newSession(ctx context.Context, deps Dependencies, term leadership.Term) *session {
	return &session{
		Dependencies: deps, ctx: ctx, term: term, now: time.Now(), startedAt: time.Now(),
		inbox: inbox{wake: make(chan struct{}, 1)},
		jobs:  map[string]*job{}, workers: map[string]*workerState{}, forgottenWorkers: map[string]bool{}, silentLosses: map[string]silentLoss{},
		losses:       map[string]workerLoss{},
		queueStats:   map[string]*queueStats{},
		urgentDemand: map[string]*learned.Shapes{}, upkeep: upkeep{waves: map[int64]*wave{}},
		evacuations:    evacuations{states: map[string]evacuation.State{}, reported: map[string]bool{}},
		lastRetirement: time.Now(), planTimer: time.NewTimer(0),
	}
}

// post queues an action for the loop. It never blocks, and actions run in the order in which they were posted.
func (s *session) post(action func()) { s.inbox.put(action) }

// loop runs the queued actions one at a time, and makes a plan after them if something has changed.
func (s *session) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer s.planTimer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.inbox.wake:
			for _, action := range s.inbox.take() {
				s.advanceTime()
				action()
			}
		case <-ticker.C:
			s.advanceTime()
			s.onTick()
		case <-s.planTimer.C:
			s.advanceTime()
		}
		if s.dirty && !s.suspended() && s.hasSettled() && len(s.orders.prompt.starts) < s.maxStartBacklog() {
			s.planUnlessPaused()
		}
	}
}

// planUnlessPaused makes a plan, or sets the timer if the pause after the last plan has not ended.
func (s *session) planUnlessPaused() {
	if pause := time.Until(s.nextPlan); pause > 0 {
		s.planTimer.Reset(pause)
		return
	}
	s.dirty = false
	s.plan()
	s.requestAdvice()
}

// hasSettled reports whether enough workers have answered to plan: a plan for only the first few would overload them.
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

// knowsRuns reports whether all workers have reported what they run, or have had the time to.
func (s *session) knowsRuns() bool {
	if s.learned || s.now.Sub(s.startedAt) > learnTimeout {
		return true
	}
	s.learned = s.registryRead
	for _, ws := range s.workers {
		s.learned = s.learned && (!ws.listed || ws.confirmed || ws.unresponsive)
	}
	return s.learned
}

// overloaded reports whether this instance was recently too busy to handle answers in time.
func (s *session) overloaded() bool { return s.now.Sub(s.lastLateTick) < overloadDuration }

// onTick runs the checks that depend on time alone.
func (s *session) onTick() {
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) > tickInterval+lateTickThreshold {
		if s.now.Sub(s.lastLateTick) > overloadDuration {
			s.lateTicks = 0
		}
		s.lastLateTick = s.now
		if s.lateTicks++; s.lateTicks >= maxLateTicks {
			s.term.Overloaded()
		}
	}
	s.lastTick = s.now
	s.checkIsolation()
	for _, job := range s.jobs {
		s.openDueOccurrences(job)
	}
	for _, ws := range s.workers {
		s.checkWorker(ws)
	}
	s.confirmLosses()
	s.proveInherited()
	s.forgetLosses()
	s.checkRuns()
	s.logUnreachedRuns()
	s.recordUsualLeases()
	s.markSoleOwner()
	s.recordWaitingJobs()
	s.sampleUrgentDemand()
	s.recordSpeeds()
	s.recordDurations()
	s.advanceWaves()
	s.followEvacuations()
	if s.now.Sub(s.lastRetirement) > retireInterval {
		s.lastRetirement = s.now
		s.retireJobs()
	}
	for _, job := range s.jobs {
		if !job.hasEnded() && job.hasWaitingUnits() {
			s.dirty = true
			s.logPoolStates()
			return
		}
	}
}

// appendRecords appends records to the store and calls onStored, if set, in the loop once they are stored.
func (s *session) appendRecords(onStored func(), records ...storelog.Record) {
	pending, submitted := s.term.Appender.Submit(records...), time.Now()
	go func() {
		select {
		case <-pending.Done():
			s.Stages.Record.Observe(time.Since(submitted))
			if pending.Err() == nil && onStored != nil {
				s.post(onStored)
			}
		case <-s.ctx.Done():
		}
	}()
}
