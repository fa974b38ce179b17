// Package gang holds the leases of the gangs of one data centre for its owner.
//
// A gang starts in two phases: every member's lease is reserved; only when all are held is the start
// logged and are all members started; otherwise all are released. A running gang is renewed in rounds:
// no member is renewed for the next round before all were renewed for the last one, so that a gang with
// a member that cannot be reached lapses as a whole. The holder counts a lease from before it sent the
// renewal and the worker from receipt, so the holder gives up first. The loss of one member stops all.
package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// roundsPerTerm is how often a lease is renewed in one term.
	roundsPerTerm = 3
	// attemptsPerRound is how often a worker that gives no answer is called in the time of one round.
	attemptsPerRound = 4
	// lapseTerms bounds how long a task runs after its worker last answered, in terms: the lease that was
	// held then, and one round that was sent and took effect although no answer came. A worker prolongs a
	// lease once for a round, and the holder opens the next round only on the answer.
	lapseTerms = 2
)

// DefaultStartWindow bounds the time in which some members of a gang run and others do not yet.
const DefaultStartWindow = time.Second

// Sentinel errors of the package.
var (
	// ErrFenced means that a worker has seen a higher epoch: another instance owns the data centre.
	ErrFenced = errors.New("another instance owns the data centre: stop placing and read the ledger")
	// ErrNotHeld means that the manager holds no gang of the job.
	ErrNotHeld = errors.New("no gang of the job is held here: read the ledger for its state")
	// ErrBusy means that the gang is being started or stopped already.
	ErrBusy = errors.New("the gang is being started or stopped: wait for its end")
)

// Config is what a Manager needs.
type Config struct {
	DataCentre string
	// Epoch of the owner, the fencing token of every call.
	Epoch uint64
	// Term of a lease; renewed three times a term.
	Term time.Duration
	// StartWindow bounds the second phase of a start; DefaultStartWindow when 0.
	StartWindow time.Duration
	Workers     platform.Workers
	// Address returns the IP:port of a worker, and false when it is not in the instance list.
	Address func(worker string) (string, bool)
	// Log makes a GangPlaced record durable. Nil means accepted; with an error the gang is released.
	Log func(ctx context.Context, record *apiv1.Record) error
	// Notify receives the events of the manager. It must not block.
	Notify func(event Event)
}

// Event is something that the manager noticed; exactly one field is set.
type Event struct {
	Ended  *Ended
	Fenced *Fenced
	Worker *WorkerContact
}

// Ended says that a running gang was stopped as a whole, on the manager's own account.
type Ended struct {
	JobID         string
	Run           uint32
	Result        apiv1.RunResult
	CheckpointPPM uint32
	// Worker at fault, when one is known.
	Worker string
}

// Fenced says that the manager's epoch is over.
type Fenced struct {
	HighestEpoch uint64
}

// WorkerContact says whether a renewal reached a worker.
type WorkerContact struct {
	Worker   string
	Answered bool
}

// phase is where a gang stands.
type phase uint8

const (
	// reserving: Start is asking for the leases.
	reserving phase = iota
	// reserved: all leases are held and renewed; Start logs and then starts the members.
	reserved
	// adopting: Restore is taking over the leases.
	adopting
	running
	// checkpointing: renewed still, about to be stopped.
	checkpointing
	// stopping: no longer renewed.
	stopping
)

// renewed tells whether the rounds renew a gang in the phase.
func (p phase) renewed() bool {
	return p == reserved || p == running || p == checkpointing
}

// member is one task of a gang.
type member struct {
	gang   *gang
	worker string
	lease  *apiv1.Lease
	hash   uint64

	// acked: the worker confirmed the gang's current round.
	acked    bool
	finished bool
	// answered is when the worker last confirmed the lease.
	answered time.Time
}

// gang is one run of a job.
type gang struct {
	jobID   string
	run     uint32
	attempt uint64
	members []*member

	phase phase
	// started: members may run.
	started bool
	// round is that of the manager's rounds which the members are being renewed for.
	round uint64
	// sent is when the current round began, before its first call.
	sent time.Time
	// deadline is when the holder's lease ends: one term after the last complete round began.
	deadline   time.Time
	checkpoint uint32
	// failure is why a gang that Start still works on is lost.
	failure *StartError
}

// Manager holds the gangs of one data centre under one epoch. Its methods are safe for concurrent use.
type Manager struct {
	config Config

	mu       sync.Mutex
	gangs    map[string]*gang // by job
	round    uint64
	inFlight map[string]bool   // workers with a renewal under way
	kick     chan struct{}     // asks for a round at once
	versions map[string]uint64 // worker -> version of the last usage report
	fetching map[string]bool
	fenced   chan struct{}
	isFenced bool
	tasks    sync.WaitGroup
}

// New returns a manager that holds nothing.
func New(config Config) *Manager {
	if config.StartWindow == 0 {
		config.StartWindow = DefaultStartWindow
	}
	return &Manager{
		config:   config,
		gangs:    map[string]*gang{},
		inFlight: map[string]bool{},
		versions: map[string]uint64{},
		fetching: map[string]bool{},
		fenced:   make(chan struct{}),
		kick:     make(chan struct{}, 1),
	}
}

// Run renews the gangs until the context ends or the manager is fenced; then it returns ErrFenced.
// Leases that are held when it returns lapse unless another manager renews them.
func (m *Manager) Run(ctx context.Context) error {
	defer m.tasks.Wait()
	ticker := time.NewTicker(m.attempt())
	defer ticker.Stop()
	for attempt := 0; ; attempt++ {
		m.tick(ctx, attempt%attemptsPerRound == 0)
		select {
		case <-ticker.C:
		case <-m.kick:
			attempt = -1
		case <-m.fenced:
			return ErrFenced
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// attempt is the time between the calls of a round to a worker that gives no answer.
func (m *Manager) attempt() time.Duration {
	return m.config.Term / (roundsPerTerm * attemptsPerRound)
}

// callTimeout bounds one call; it is over before the next attempt.
func (m *Manager) callTimeout() time.Duration {
	return m.attempt() * 4 / 5
}

// Holds tells whether the manager holds or is about to hold a gang of the job.
func (m *Manager) Holds(jobID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gangs[jobID] != nil
}

// newGang describes the placed run of a job.
func newGang(job *apiv1.Job) *gang {
	g := &gang{
		jobID: job.GetId(), run: job.GetRun(), attempt: job.GetPlacement().GetAttempt(), checkpoint: job.GetCheckpointPpm(),
	}
	for i, placed := range job.GetPlacement().GetMembers() {
		g.members = append(g.members, newMember(g, job, i, placed))
	}
	return g
}

// is tells whether the task is one of this start of the gang.
func (g *gang) is(task *apiv1.TaskId) bool {
	return g.run == task.GetRun() && g.attempt == task.GetAttempt()
}

// register adds a gang in its first phase.
func (m *Manager) register(g *gang, first phase) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced {
		return ErrFenced
	}
	if m.gangs[g.jobID] != nil {
		return ErrBusy
	}
	g.phase = first
	m.gangs[g.jobID] = g
	return nil
}

// forget drops a gang that holds nothing any more.
func (m *Manager) forget(g *gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gangs[g.jobID] == g {
		delete(m.gangs, g.jobID)
	}
}

// fence ends the manager's epoch: all its gangs belong to another owner now.
func (m *Manager) fence(highest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced {
		return
	}
	m.isFenced = true
	close(m.fenced)
	m.config.Notify(Event{Fenced: &Fenced{HighestEpoch: highest}})
}

// sortedGangs returns the gangs in the order of their jobs. The caller holds the lock.
func (m *Manager) sortedGangs() []*gang {
	gangs := make([]*gang, 0, len(m.gangs))
	for _, g := range m.gangs {
		gangs = append(gangs, g)
	}
	slices.SortFunc(gangs, func(a, b *gang) int {
		if a.jobID < b.jobID {
			return -1
		}
		return 1
	})
	return gangs
}
