package placing_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	dataCentre   = "perth-1"
	term         = 9 * time.Second
	work         = 10 * time.Minute
	reclaimBound = 1500 * time.Millisecond
	urgentBound  = 2 * time.Second
	usageLag     = 500 * time.Millisecond
	// settled is a virtual time after which a start or stop without faults is over.
	settled = 2 * time.Second
	memory  = 1024
	// restarted is a virtual time after which a gang with a silent member runs again: two terms until
	// that member has lapsed for sure, and a start.
	restarted = 2*term + settled
)

// cluster is the platform and the owners of one data centre in one test, in virtual time.
type cluster struct {
	t       *testing.T
	log     *logservice.Service
	workers []*worker.Worker
	// newPolicy makes the policy of the next owner.
	newPolicy func() policy.Policy

	mu     sync.Mutex
	listed []*apiv1.Worker
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{t: t, log: logservice.New(logservice.Options{Seed: 1})}
	c.newPolicy = func() policy.Policy { return newFirstFit() }
	// The bubble needs the calls to end that slow workers still work on.
	t.Cleanup(func() { time.Sleep(2 * time.Hour) })
	for i := range count {
		name := fmt.Sprintf("w%d", i)
		w := worker.New(worker.Options{
			Description: &apiv1.Worker{Name: name, DataCentre: dataCentre, Rack: "r1", Address: name},
			UsageLag:    usageLag,
		})
		c.workers = append(c.workers, w)
		c.listed = append(c.listed, w.Description())
	}
	return c
}

// Workers implements placing.Fleet.
func (c *cluster) Workers(string) []*apiv1.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.listed)
}

// unlist takes a worker off the instance list.
func (c *cluster) unlist(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = slices.DeleteFunc(slices.Clone(c.listed), func(w *apiv1.Worker) bool { return w.GetName() == name })
}

// switchLog is one instance's way to the log service.
type switchLog struct {
	platform.Log
	mu  sync.Mutex
	cut bool
}

func (s *switchLog) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *switchLog) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *switchLog) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	if s.isCut() {
		return 0, platform.ErrUnavailable
	}
	return s.Log.Append(ctx, stream, payload)
}

func (s *switchLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	if s.isCut() {
		return nil, platform.ErrUnavailable
	}
	reply, err := s.Log.Read(ctx, stream, from, limit, wait)
	if s.isCut() {
		return nil, platform.ErrUnavailable
	}
	return reply, err
}

// instance is one owner: a replica of the ledger and, when it owns, a loop.
type instance struct {
	c       *cluster
	name    string
	log     *switchLog
	network *worker.Network
	replica *ledger.Replica
	state   *state.State
	loop    *placing.Loop
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan error

	mu     sync.Mutex
	events []placing.Event
}

// newInstance starts a replica.
func (c *cluster) newInstance(name string, incarnation uint64) *instance {
	i := &instance{
		c: c, name: name, log: &switchLog{Log: c.log}, network: worker.NewNetwork(c.workers...),
		state: state.New(), ended: make(chan error, 1),
	}
	i.ctx, i.cancel = context.WithCancel(c.t.Context())
	i.replica = ledger.New(ledger.Config{
		Log: i.log, Stream: platform.StreamLedger, Machine: i.state,
		Author: &apiv1.Author{Instance: name, Incarnation: incarnation},
		Notify: func(notice ledger.Notice) { c.t.Logf("%s: %+v", name, notice) },
	})
	i.replica.Subscribe(func(ledger.Event) {
		if loop := i.theLoop(); loop != nil {
			loop.Wake()
		}
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = i.replica.Run(i.ctx)
	}()
	c.t.Cleanup(func() {
		i.cancel()
		<-stopped
	})
	return i
}

func (i *instance) theLoop() *placing.Loop {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loop
}

// own takes the data centre at the epoch and starts the loop.
func (i *instance) own(epoch uint64) *instance {
	i.c.t.Helper()
	i.propose(&apiv1.Record{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: dataCentre, Epoch: epoch}}})
	loop := placing.New(placing.Config{
		DataCentre: dataCentre, Epoch: epoch, Actor: i.name, Term: term,
		Policy: i.c.newPolicy(), View: placing.NewStateView(i.replica, i.state),
		Ledger: i.replica, Fleet: i.c, Workers: i.network,
		Observe: func(event placing.Event) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.events = append(i.events, event)
		},
	})
	i.mu.Lock()
	i.loop = loop
	i.mu.Unlock()
	go func() { i.ended <- loop.Run(i.ctx) }()
	return i
}

// kill ends the instance without any farewell.
func (i *instance) kill() {
	i.cancel()
	if err := <-i.ended; !errors.Is(err, context.Canceled) && !errors.Is(err, gang.ErrFenced) {
		i.c.t.Errorf("loop of %s ended with %v", i.name, err)
	}
}

func (i *instance) propose(record *apiv1.Record) {
	i.c.t.Helper()
	if err := i.replica.Propose(i.ctx, record); err != nil {
		i.c.t.Fatal(err)
	}
}

// submit adds a job of members with the given accelerators each.
func (i *instance) submit(id string, class apiv1.WorkClass, members, accelerators uint32) {
	i.c.t.Helper()
	i.propose(jobRecord(id, class, members, accelerators, work))
}

// jobRecord submits a job that takes the given time.
func jobRecord(id string, class apiv1.WorkClass, members, accelerators uint32, takes time.Duration) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_JobSubmitted{JobSubmitted: &apiv1.JobSubmitted{Id: id, Spec: &apiv1.JobSpec{
		Account: "lounge", WorkClass: class, DataCentre: dataCentre, Cores: 1, MemoryMib: memory,
		ExpectedMs: takes.Milliseconds(),
		Shape: &apiv1.Shape{
			Members: members, Accelerators: accelerators, Adjacency: apiv1.Adjacency_ADJACENCY_DATA_CENTRE,
		},
	}}}}
}

// verdicts returns the workers that are not healthy.
func (i *instance) verdicts() []string {
	var names []string
	i.replica.View(func() {
		for _, verdict := range i.state.Verdicts() {
			names = append(names, verdict.Worker)
		}
	})
	return names
}

func (i *instance) cancelJob(id string) {
	i.c.t.Helper()
	i.propose(&apiv1.Record{Body: &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: id}}})
}

// job returns the job as the instance's ledger shows it.
func (i *instance) job(id string) state.Job {
	var found state.Job
	i.replica.View(func() { found, _ = i.state.Job(id) })
	return found
}

func (i *instance) wantState(id string, want apiv1.JobState, run uint32) {
	i.c.t.Helper()
	if job := i.job(id); job.State != want || job.Run != run {
		i.c.t.Errorf("job %s is %v in run %d (%s), want %v in run %d", id, job.State, job.Run, job.Reason, want, run)
	}
}

// count returns how many events of the kind the loop told of.
func (i *instance) count(kind placing.EventKind) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, event := range i.events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// runs returns the recorded intervals of a job on all workers, by run and member.
func (c *cluster) runs(id string) []worker.TaskRun {
	var runs []worker.TaskRun
	for _, w := range c.workers {
		for _, run := range w.History().Tasks {
			if run.Job == id {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b worker.TaskRun) int {
		return int(a.Run)*1000 + int(a.Member) - int(b.Run)*1000 - int(b.Member)
	})
	return runs
}
