// Package placing is the loop of a data centre's owner: it feeds what the ledger and the instance list
// say to the policy, has the gang manager carry out the policy's decisions, and proposes to the ledger
// what came of them.
//
// The loop reads whole views, not single changes: after every wake it compares the view with what it
// knows. It may therefore miss wakes in between and can be restarted at any time.
package placing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

const (
	// DefaultCheckpointEvery is the time between the checkpoints of a running gang.
	DefaultCheckpointEvery = 10 * time.Minute

	// placedTimeout bounds how long a reserved gang waits for its start to be logged.
	placedTimeout = 10 * time.Second
	// oweTimeout bounds one proposal of a record that the loop owes the ledger.
	oweTimeout = 5 * time.Second
	// rejectPause is how long no decisions are made after the ledger refused one.
	rejectPause = time.Second
	// firstLogPause and maxLogPause bound how long no decisions are made after the log did not take a
	// record; the pause doubles, and it ends when the ledger moves again.
	firstLogPause = time.Second
	maxLogPause   = 16 * time.Second
	// suspectPause is how long a worker that refused or gave no answer gets nothing new.
	suspectPause = 5 * time.Second
	// checkpointTimeout bounds a checkpoint that nothing waits for.
	checkpointTimeout = time.Minute
	// readPause is the least time between two reads of the views, so that a burst of records costs few.
	readPause = 50 * time.Millisecond
	// idleWait is the longest time between two looks at the view.
	idleWait = 5 * time.Second
)

// View is the folded state of the ledger. What it returns is not changed by anyone afterwards.
type View interface {
	// Jobs returns the waiting and placed jobs of a data centre, in the order of their submission.
	Jobs(dataCentre string) []*apiv1.Job
	// Job returns a job if it waits or is placed, else nil.
	Job(id string) *apiv1.Job
	// Offset is that of the last entry folded.
	Offset() int64
	// Epoch returns the epoch of the newest ownership of a data centre, whether it is held or was released.
	Epoch(dataCentre string) uint64
	// Sheet returns the configuration in force; nil before the first sheet.
	Sheet() *apiv1.Sheet
	// Verdicts returns the workers that are not healthy.
	Verdicts() []*apiv1.WorkerVerdict
}

// Ledger makes records durable.
type Ledger interface {
	// Propose returns nil when the fold accepted the record and a view shows it, an error that wraps a
	// *ledger.Rejection when the fold refused it, and ledger.ErrNotProposed or ledger.ErrOutcomeUnknown
	// when the log did not take it or may have taken it. The record is the ledger's afterwards.
	Propose(ctx context.Context, record *apiv1.Record) error
}

// Fleet is the instance list.
type Fleet interface {
	// Workers returns the workers of a data centre that are on the list, live and leaving.
	Workers(dataCentre string) []*apiv1.Worker
}

// Config is what a Loop needs.
type Config struct {
	DataCentre string
	// Epoch of the ownership. A new epoch needs a new loop.
	Epoch uint64
	// Actor is the name of the instance, for the audit trail.
	Actor string
	// Term of a lease.
	Term time.Duration
	// StartWindow bounds the second phase of a start; gang.DefaultStartWindow when 0.
	StartWindow time.Duration
	// CheckpointEvery is DefaultCheckpointEvery when 0.
	CheckpointEvery time.Duration
	// Policy is empty and is the loop's alone.
	Policy  policy.Policy
	View    View
	Ledger  Ledger
	Fleet   Fleet
	Workers platform.Workers
	// Observe is told of notable events, when not nil. It must not block.
	Observe func(event Event)
}

// EventKind is what an Event tells.
type EventKind int

// Kinds of event.
const (
	// EventRestored: a running gang was taken over.
	EventRestored EventKind = iota + 1
	// EventStarted: all members of a gang run.
	EventStarted
	// EventStartRefused: a gang could not start and was released.
	EventStartRefused
	// EventEnded: a run ended and the ledger knows.
	EventEnded
	// EventOwed: the log did not take a record; the loop tries again.
	EventOwed
	// EventWorkerSuspected: a worker refused or gave no answer.
	EventWorkerSuspected
	// EventFenced: another instance owns the data centre.
	EventFenced
	// EventGuaranteeAtRisk: a guarantee cannot be reclaimed, or would not survive the loss of one more worker.
	EventGuaranteeAtRisk
	// EventGuaranteesSafe: no guarantee is at risk any more.
	EventGuaranteesSafe
)

// Event is something notable that the loop did or met.
type Event struct {
	Kind   EventKind
	JobID  string
	Run    uint32
	Worker string
	Result apiv1.RunResult
	Err    error
	// Risk is set for EventGuaranteeAtRisk.
	Risk *policy.Risk
}

// Loop places the gangs of one data centre under one epoch.
type Loop struct {
	config  Config
	manager *gang.Manager
	mail    *mailbox
	fleet   *fleetView
	risks   []policy.Risk

	jobs  map[string]*localJob
	sheet *apiv1.Sheet
	// quiet is until when no decisions are made, because the ledger refused one.
	quiet time.Time
	// silent is until when no decisions are made, because the log takes no records; logPause is the next pause.
	silent   time.Time
	logPause time.Duration
	// offset is that of the ledger when the views were read last.
	offset int64
	// readAt is when the views were read last.
	readAt time.Time
	// stale is set when the views may have changed.
	stale   atomic.Bool
	pending int // operations under way
	// attempts counts the gangs that the loop tried to start.
	attempts uint64
	fenced   bool
	ctx      context.Context
}

// New returns a loop that has not started.
func New(config Config) *Loop {
	if config.CheckpointEvery == 0 {
		config.CheckpointEvery = DefaultCheckpointEvery
	}
	if config.Observe == nil {
		config.Observe = func(Event) {}
	}
	l := &Loop{
		config:   config,
		mail:     newMailbox(),
		fleet:    newFleetView(),
		jobs:     map[string]*localJob{},
		logPause: firstLogPause,
	}
	l.manager = gang.New(gang.Config{
		DataCentre:  config.DataCentre,
		Epoch:       config.Epoch,
		Term:        config.Term,
		StartWindow: config.StartWindow,
		Workers:     config.Workers,
		Address:     l.fleet.address,
		Log:         l.logPlaced,
		Notify:      func(event gang.Event) { l.mail.put(func() { l.onGang(event) }) },
	})
	return l
}

// Wake asks the loop to look at the view and the instance list again. It does not block.
func (l *Loop) Wake() {
	l.stale.Store(true)
	l.mail.wake()
}

// Run takes over what runs in the data centre and places gangs until the context ends or the epoch is
// over; then it returns gang.ErrFenced. Gangs go on until their leases lapse or another owner renews
// them. Run is called once.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	l.ctx = ctx
	l.readFleet()
	l.readSheet()
	if err := l.restore(); err != nil {
		cancel()
		return err
	}
	managed := make(chan error, 1)
	go func() { managed <- l.manager.Run(ctx) }()
	err := l.loop(ctx)
	cancel()
	managerErr := <-managed
	l.drainOperations()
	if l.fenced || errors.Is(managerErr, gang.ErrFenced) {
		return gang.ErrFenced
	}
	return err
}

// loop handles mail and time until the end.
func (l *Loop) loop(ctx context.Context) error {
	for {
		l.step()
		if l.fenced {
			return gang.ErrFenced
		}
		timer := time.NewTimer(l.wait())
		select {
		case <-l.mail.ready:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, handle := range l.mail.take() {
			handle()
		}
	}
}

// fence notes that another instance owns the data centre.
func (l *Loop) fence() {
	if !l.fenced {
		l.fenced = true
		l.config.Observe(Event{Kind: EventFenced, Err: gang.ErrFenced})
	}
}

// step brings the loop up to date and carries out what the policy decides.
func (l *Loop) step() {
	l.readViews()
	if l.fenced {
		return
	}
	l.markWorkers()
	l.checkpointGangs()
	l.decide()
	l.noteRisks()
}

// readViews reads the ledger and the instance list when they may have changed.
func (l *Loop) readViews() {
	now := time.Now()
	since := now.Sub(l.readAt)
	if since < readPause || since < idleWait && !l.stale.Load() {
		return
	}
	l.stale.Store(false)
	l.readAt = now
	if offset := l.config.View.Offset(); offset != l.offset {
		l.offset = offset
		l.silent = time.Time{}
		l.logPause = firstLogPause
	}
	if l.config.View.Epoch(l.config.DataCentre) > l.config.Epoch {
		l.fence()
		return
	}
	l.readFleet()
	l.readSheet()
	l.readVerdicts()
	l.readJobs()
}

// wait is how long the loop may sleep.
func (l *Loop) wait() time.Duration {
	wait := idleWait
	now := time.Now()
	if l.stale.Load() {
		wait = max(readPause-now.Sub(l.readAt), time.Millisecond)
	}
	if at := l.config.Policy.WakeMillis(); at > 0 {
		wait = min(wait, max(time.UnixMilli(at).Sub(now), time.Millisecond))
	}
	for _, until := range []time.Time{l.quiet, l.silent} {
		if until.After(now) {
			wait = min(wait, until.Sub(now))
		}
	}
	return wait
}

// operate runs an operation beside the loop and hands what it returns to the loop.
func (l *Loop) operate(operation func(ctx context.Context) func()) {
	l.pending++
	go func() {
		handle := operation(l.ctx)
		l.mail.put(func() {
			l.pending--
			handle()
		})
	}()
}

// drainOperations waits for the operations under way after the end and drops their results.
func (l *Loop) drainOperations() {
	for l.pending > 0 {
		<-l.mail.ready
		for _, handle := range l.mail.take() {
			handle()
		}
	}
}

// logPlaced proposes the start of a reserved gang.
func (l *Loop) logPlaced(ctx context.Context, record *apiv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, placedTimeout)
	defer cancel()
	record.Actor = l.config.Actor
	record.Reason = "its turn by class, deadline, expected time and guarantee"
	return l.config.Ledger.Propose(ctx, record)
}
