// Package ledger keeps a state that is folded from a stream of the platform's log service.
//
// A Replica reads the stream, applies every record to a Machine in log order, and appends proposals.
// An append is a proposal: the fold accepts or rejects it at its place in the log, alike at every
// reader, and the author learns the outcome by reading its own record back. Snapshots in the stream
// let a replica start after the log has dropped old entries.
package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// ReaderVersion is the highest entry version that this program reads.
const ReaderVersion = 1

// noOffset is the offset of a state that holds no entry.
const noOffset = -1

// Step says where in the log a record stands.
type Step struct {
	// Offset of the record's entry.
	Offset int64
	Author *apiv1.Author
	// TimeMillis is the fold's time, Unix milliseconds; it never goes back. See clock.
	TimeMillis int64
}

// Machine is a deterministic state. Its methods are not called concurrently.
type Machine interface {
	// Apply changes the state by one record. It returns nil or a *Rejection, which left the state as it
	// was; any other error stops the fold. It depends on nothing but the state and its arguments, and
	// keeps no reference to the step.
	Apply(step Step, record *apiv1.Record) error
	// Snapshot returns the state in a form that is the same for equal states.
	Snapshot() ([]byte, error)
	// Restore replaces the state. On an error the state is as it was.
	Restore(snapshot []byte) error
}

// Config configures a Replica.
type Config struct {
	Log     platform.Log
	Stream  string
	Author  *apiv1.Author
	Machine Machine
	// Budget bounds the appends; replicas of several streams may share one. Nil gives a budget of its own.
	Budget *Budget
	// Rank orders the instances that may write the next snapshot: rank 0 of size first. Nil means alone.
	Rank func() (rank, size int)
	// ReadPause is how long the reader lets entries of others gather; DefaultReadPause when 0.
	ReadPause time.Duration
	// Notify is told of what an operator may want to know. It may be nil and must not block.
	Notify func(Notice)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Event is one step of the fold.
type Event struct {
	Offset int64
	// Author and Record are nil when Restored is set.
	Author *apiv1.Author
	Record *apiv1.Record
	// Rejection is nil for an accepted record.
	Rejection *Rejection
	// Restored says that the state was replaced by a snapshot; what led to it is not told.
	Restored bool
}

// Replica folds one stream. Its methods may be called from many goroutines.
type Replica struct {
	config    Config
	proposals *proposals
	// snapshotWake has a token when a snapshot may be due.
	snapshotWake chan struct{}

	randomMu sync.Mutex
	random   *rand.Rand

	// stepMu orders the steps of the fold and the events that tell of them.
	stepMu      sync.Mutex
	subscribers []func(Event)

	// mu guards what the fold changes.
	mu          sync.RWMutex
	offset      int64
	marks       *marks
	clock       clock
	ready       bool
	lastContact time.Time
	reach       reach
}

// reach is what the replica knows of the stream in the log and of the snapshots there.
type reach struct {
	// lost: the last read failed.
	lost      bool
	oldest    int64
	retention time.Duration
	newest    snapshotTracker
	// urgentSince is when the log was first seen without a usable snapshot.
	urgentSince time.Time
}

// New returns a replica with an empty state; Run starts it.
func New(config Config) *Replica {
	if config.Budget == nil {
		config.Budget = NewBudget(DefaultAppendsPerSecond)
	}
	if config.ReadPause == 0 {
		config.ReadPause = DefaultReadPause
	}
	if config.Rank == nil {
		config.Rank = func() (int, int) { return 0, 1 }
	}
	if config.Notify == nil {
		config.Notify = func(Notice) {}
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Replica{
		config:       config,
		proposals:    newProposals(),
		snapshotWake: make(chan struct{}, 1),
		random:       rand.New(rand.NewPCG(config.Author.Incarnation, 0)),
		offset:       noOffset,
		marks:        newMarks(),
		reach:        reach{newest: newSnapshotTracker()},
	}
}

// Run reads, appends and writes snapshots until ctx ends or the fold has to stop. It returns the
// reason, which names the remedy. Run is called once.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runReader(ctx) })
	group.Go(func() error { return r.runAppender(ctx) })
	group.Go(func() error { return r.runSnapshots(ctx) })
	err := group.Wait()
	r.mu.Lock()
	r.ready = false
	r.mu.Unlock()
	r.proposals.close()
	if err != nil && !errors.Is(err, context.Canceled) {
		r.config.Notify(Notice{Kind: NoticeStopped, Stream: r.config.Stream, Offset: r.Offset(), Err: err})
	}
	return err
}

// View calls read with the state at rest. The machine must not be changed in it.
func (r *Replica) View(read func()) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	read()
}

// Subscribe calls observe in log order after each step of the fold, without a lock of the replica
// that View needs. An entry is applied whole before its events are told. Snapshot chunks are not told.
// The fold waits for observe, which must not call Propose or Import itself but may start a goroutine.
func (r *Replica) Subscribe(observe func(Event)) {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	r.subscribers = append(r.subscribers, observe)
}

// Ready says whether the state is complete: read to the end of the log once, or taken from a peer.
func (r *Replica) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// LastContact is when the log last answered a read; zero before the first answer. While the log answers,
// it is at most about two seconds old.
func (r *Replica) LastContact() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lastContact
}

// Offset is the last offset folded, -1 before the first.
func (r *Replica) Offset() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.offset
}

// SetAppendRate sets the appends a second of the replica's budget.
func (r *Replica) SetAppendRate(perSecond float64) {
	r.config.Budget.SetRate(perSecond)
}

// jitter returns a number from 0 to 1 that differs between replicas.
func (r *Replica) jitter() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
