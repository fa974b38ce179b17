package gang_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

const (
	dataCentre  = "perth-1"
	term        = 9 * time.Second
	startWindow = time.Second
	work        = 10 * time.Minute
	finished    = apiv1.RunResult_RUN_RESULT_FINISHED
	lost        = apiv1.RunResult_RUN_RESULT_LOST
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

// testJob is run 1 of a job.
type testJob struct{ job *apiv1.Job }

// job returns run 1 of a job with one member of accelerators 0 and 1 on each of the workers.
func job(id string, epoch uint64, workers ...int) testJob {
	placement := &apiv1.Placement{DataCentre: dataCentre, Epoch: epoch}
	for _, i := range workers {
		placement.Members = append(placement.Members, &apiv1.Member{Worker: fmt.Sprintf("w%d", i), Accelerators: 3})
	}
	return testJob{&apiv1.Job{
		Id: id, Run: 1, Placement: placement,
		Spec: &apiv1.JobSpec{Cores: 1, MemoryMib: 1024, ExpectedMs: work.Milliseconds()},
	}}
}

// withAttempt counts the start.
func (j testJob) withAttempt(attempt uint64) testJob {
	j.job.Placement.Attempt = attempt
	return j
}

// withAccelerators gives every member other accelerators.
func (j testJob) withAccelerators(mask uint32) testJob {
	for _, each := range j.job.GetPlacement().GetMembers() {
		each.Accelerators = mask
	}
	return j
}

// inBubble runs a test over a fleet in virtual time.
func inBubble(t *testing.T, workers int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { test(t, newFleet(workers)) })
}

// mustStart starts the job and fails the test on an error.
func (o *owner) mustStart(t *testing.T, next testJob) {
	t.Helper()
	if err := o.Start(o.ctx, next.job); err != nil {
		t.Fatal(err)
	}
}

// wantEnd fails the test unless the owner told of exactly one end, with the result.
func (o *owner) wantEnd(t *testing.T, result apiv1.RunResult, worker string) *gang.Ended {
	t.Helper()
	ends := o.ended()
	if len(ends) != 1 || ends[0].Result != result || ends[0].Worker != worker {
		t.Fatalf("ends %+v, want one %v at worker %q", ends, result, worker)
	}
	return ends[0]
}

func TestGangRunsToItsEnd(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.mustStart(t, job("a", 1, 0, 1, 2))
		time.Sleep(work + term)
		o.wantEnd(t, finished, "")
		f.wantIntervals(t, "a", 3, worker.CauseFinished)
		if o.Holds("a") {
			t.Error("the gang is still held after its end")
		}
	})
}

func TestStartIsTwoPhase(t *testing.T) {
	tests := []struct {
		name   string
		faults worker.Faults
		link   worker.LinkState
		status apiv1.LeaseStatus
	}{
		{"full", worker.Faults{Refuse: true}, worker.LinkUp, apiv1.LeaseStatus_LEASE_STATUS_OCCUPIED},
		{"leaving", worker.Faults{Leave: true}, worker.LinkUp, apiv1.LeaseStatus_LEASE_STATUS_LEAVING},
		{"dead", worker.Faults{Dead: true}, worker.LinkUp, apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
		{"cut", worker.Faults{}, worker.LinkCut, apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
		{"answers lost", worker.Faults{}, worker.LinkAnswersLost, apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				o := f.newOwner(t, 1).run(t)
				f.workers[1].SetFaults(test.faults)
				o.network.SetLink("w1", test.link)
				err := o.Start(o.ctx, job("a", 1, 0, 1, 2).job)
				var refused *gang.StartError
				if !errors.As(err, &refused) || refused.Worker != "w1" || refused.Status != test.status || refused.Logged {
					t.Errorf("start: %+v", err)
				}
				if all, _ := f.intervals("a", worker.CauseStopped); all != 0 || len(o.logged) != 0 {
					t.Errorf("%d members ran and %d records were logged, want none", all, len(o.logged))
				}
				f.workers[1].SetFaults(worker.Faults{})
				o.network.SetLink("w1", worker.LinkUp)
				o.mustStart(t, job("b", 1, 0, 1, 2))
			})
		})
	}
}

func TestStartThatIsNotLoggedIsReleased(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		refusal := errors.New("the job was cancelled")
		o.log = func(*apiv1.Record) error { return refusal }
		if err := o.Start(o.ctx, job("a", 1, 0, 1).job); !errors.Is(err, refusal) {
			t.Errorf("start: %v", err)
		}
		if all, _ := f.intervals("a", worker.CauseStopped); all != 0 {
			t.Errorf("%d members ran", all)
		}
		o.log = func(*apiv1.Record) error { return nil }
		o.mustStart(t, job("b", 1, 0, 1))
	})
}

func TestSlowLogDoesNotCostTheReservation(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.log = func(*apiv1.Record) error {
			time.Sleep(3 * term)
			return nil
		}
		o.mustStart(t, job("a", 1, 0, 1))
		f.wantWhole(t, "a", 1, 2)
	})
}

func TestStartWhoseSecondPhaseFailsStopsAll(t *testing.T) {
	tests := []struct {
		name   string
		break1 func(f *fleet, o *owner)
		status apiv1.LeaseStatus
	}{
		{"start fails", func(f *fleet, _ *owner) { f.workers[1].SetFaults(worker.Faults{FailStarts: true}) },
			apiv1.LeaseStatus_LEASE_STATUS_START_FAILED},
		{"frozen", func(f *fleet, _ *owner) { f.workers[1].SetFaults(worker.Faults{Freeze: true}) },
			apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
		{"answers lost", func(_ *fleet, o *owner) { o.network.SetLink("w1", worker.LinkAnswersLost) },
			apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
		{"held", func(_ *fleet, o *owner) { o.network.SetLink("w1", worker.LinkHeld) },
			apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				o := f.newOwner(t, 1).run(t)
				o.log = func(*apiv1.Record) error {
					test.break1(f, o)
					return nil
				}
				heal := time.AfterFunc(2*startWindow, func() {
					f.workers[1].SetFaults(worker.Faults{})
					o.network.SetLinks(worker.LinkUp)
				})
				defer heal.Stop()
				err := o.Start(o.ctx, job("a", 1, 0, 1, 2).job)
				var refused *gang.StartError
				if !errors.As(err, &refused) || refused.Worker != "w1" || refused.Status != test.status || !refused.Logged {
					t.Errorf("start: %+v", err)
				}
				time.Sleep(2 * term)
				f.wantWhole(t, "a", 1, 3)
				for _, w := range f.workers {
					for _, run := range w.History().Tasks {
						if run.End.IsZero() {
							t.Errorf("%+v still runs", run)
						}
					}
				}
			})
		})
	}
}
