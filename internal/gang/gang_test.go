package gang_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

const (
	dataCentre  = "perth-1"
	term        = 9 * time.Second
	startWindow = time.Second
	work        = 10 * time.Minute
)

// fleet is a number of stand-in workers w0, w1, ... that live in one test.
type fleet struct {
	workers []*worker.Worker
}

func newFleet(count int) *fleet {
	f := &fleet{}
	for i := range count {
		name := fmt.Sprintf("w%d", i)
		f.workers = append(f.workers, worker.New(worker.Options{
			Description: &apiv1.Worker{Name: name, DataCentre: dataCentre, Address: name},
			UsageLag:    500 * time.Millisecond,
		}))
	}
	return f
}

// owner is one manager with its own links to the workers.
type owner struct {
	*gang.Manager
	network *worker.Network
	log     func(*apiv1.Record) error
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}

	mu     sync.Mutex
	logged []*apiv1.Record
	events []gang.Event
}

// newOwner returns an owner that does not renew yet.
func (f *fleet) newOwner(t *testing.T, epoch uint64) *owner {
	o := &owner{network: worker.NewNetwork(f.workers...), done: make(chan struct{})}
	o.log = func(*apiv1.Record) error { return nil }
	o.ctx, o.cancel = context.WithCancel(t.Context())
	o.Manager = gang.New(gang.Config{
		DataCentre: dataCentre, Epoch: epoch, Term: term, StartWindow: startWindow,
		Workers: o.network,
		Address: func(name string) (string, bool) { return name, true },
		Log: func(_ context.Context, record *apiv1.Record) error {
			o.mu.Lock()
			o.logged = append(o.logged, record)
			o.mu.Unlock()
			return o.log(record)
		},
		Notify: func(event gang.Event) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.events = append(o.events, event)
		},
	})
	return o
}

// run lets the owner renew until the test ends.
func (o *owner) run(t *testing.T) *owner {
	go func() {
		defer close(o.done)
		_ = o.Run(o.ctx)
	}()
	t.Cleanup(o.kill)
	return o
}

// kill ends the owner without releasing anything.
func (o *owner) kill() {
	o.cancel()
	<-o.done
}

// ended returns the ends that the manager told of.
func (o *owner) ended() []*gang.Ended {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ends []*gang.Ended
	for _, event := range o.events {
		if event.Ended != nil {
			ends = append(ends, event.Ended)
		}
	}
	return ends
}

// job returns run 1 of a job with one member of 2 accelerators on each of the workers.
func job(id string, epoch uint64, workers ...int) *apiv1.Job {
	placement := &apiv1.Placement{DataCentre: dataCentre, Epoch: epoch}
	for _, i := range workers {
		placement.Members = append(placement.Members, &apiv1.Member{Worker: fmt.Sprintf("w%d", i), Accelerators: 3})
	}
	return &apiv1.Job{
		Id: id, Run: 1, Placement: placement,
		Spec: &apiv1.JobSpec{Cores: 1, MemoryMib: 1024, ExpectedMs: work.Milliseconds()},
	}
}

func TestGangRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		o := f.newOwner(t, 1).run(t)
		if err := o.Start(o.ctx, job("a", 1, 0, 1, 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(work + term)
		ends := o.ended()
		if len(ends) != 1 || ends[0].Result != apiv1.RunResult_RUN_RESULT_FINISHED {
			t.Fatalf("ends: %+v", ends)
		}
		for i, w := range f.workers {
			tasks := w.History().Tasks
			if len(tasks) != 1 || tasks[0].End.Sub(tasks[0].Start) != work {
				t.Errorf("worker %d ran %+v", i, tasks)
			}
		}
		o.kill()
	})
}
