package worker_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/taskset"
)

const (
	dataCentre = "perth-1"
	term       = 9 * time.Second
	lag        = time.Second

	reserve    = apiv1.LeaseOperation_LEASE_OPERATION_RESERVE
	start      = apiv1.LeaseOperation_LEASE_OPERATION_START
	renew      = apiv1.LeaseOperation_LEASE_OPERATION_RENEW
	stop       = apiv1.LeaseOperation_LEASE_OPERATION_STOP
	claim      = apiv1.LeaseOperation_LEASE_OPERATION_CLAIM
	checkpoint = apiv1.LeaseOperation_LEASE_OPERATION_CHECKPOINT
	throttle   = apiv1.LeaseOperation_LEASE_OPERATION_THROTTLE

	ok       = apiv1.LeaseStatus_LEASE_STATUS_OK
	stale    = apiv1.LeaseStatus_LEASE_STATUS_STALE_EPOCH
	occupied = apiv1.LeaseStatus_LEASE_STATUS_OCCUPIED
	notHeld  = apiv1.LeaseStatus_LEASE_STATUS_NOT_HELD
)

func newWorker(speed uint32) *worker.Worker {
	return worker.New(worker.Options{
		Description: &apiv1.Worker{Name: "w", Address: "w", SpeedPermille: speed},
		UsageLag:    lag,
	})
}

// call is one lease operation on one task.
type call struct {
	operation apiv1.LeaseOperation
	task      string
	epoch     uint64
	round     uint64
	mask      uint32
	cores     uint32
	work      time.Duration
	permille  uint32
}

// make carries the call out and returns the worker's word.
func (c call) make(w *worker.Worker) (apiv1.LeaseStatus, uint32) {
	reply, err := w.Lease(context.Background(), &apiv1.LeaseRequest{
		Operation: c.operation, DataCentre: dataCentre, Epoch: max(c.epoch, 1), Round: c.round, TermMs: term.Milliseconds(),
		Leases: []*apiv1.Lease{{
			Task: &apiv1.TaskId{Job: c.task, Run: 1}, Accelerators: c.mask, Cores: c.cores,
			WorkMs: max(c.work, time.Hour).Milliseconds(), ThrottlePermille: c.permille,
		}},
	})
	if err != nil {
		return apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED, 0
	}
	return reply.GetResults()[0].GetStatus(), reply.GetResults()[0].GetCheckpointPpm()
}

func TestLeaseCalls(t *testing.T) {
	type step struct {
		call
		wait time.Duration // before the call
		want apiv1.LeaseStatus
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"accelerators are exclusive", []step{
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: reserve, task: "b", mask: 6}, want: occupied},
			{call: call{operation: reserve, task: "c", mask: 12}, want: ok},
			{call: call{operation: stop, task: "a"}, want: ok},
			{call: call{operation: reserve, task: "b", mask: 3}, want: ok},
		}},
		{"accelerators and cores that are not there", []step{
			{call: call{operation: reserve, task: "a", mask: 1 << 8}, want: occupied},
			{call: call{operation: reserve, task: "b", cores: 33}, want: occupied},
		}},
		{"a repeated reservation holds what it held", []step{
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: reserve, task: "a", mask: 12}, want: occupied},
		}},
		{"a lease lapses a term after receipt", []step{
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: start, task: "a"}, wait: term - 1, want: ok},
			{call: call{operation: renew, task: "a", round: 1}, wait: 1, want: notHeld},
		}},
		{"only a new round prolongs", []step{
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: renew, task: "a", round: 1}, wait: term - 1, want: ok},
			{call: call{operation: renew, task: "a", round: 1}, wait: term - 1, want: ok},
			{call: call{operation: renew, task: "a", round: 2}, wait: 1, want: notHeld},
		}},
		{"a lower epoch is refused", []step{
			{call: call{operation: reserve, task: "a", mask: 3}, want: ok},
			{call: call{operation: claim, task: "a", epoch: 2}, want: ok},
			{call: call{operation: stop, task: "a", epoch: 1}, want: stale},
			{call: call{operation: renew, task: "a", epoch: 1, round: 9}, want: stale},
			{call: call{operation: reserve, task: "b", epoch: 1, mask: 4}, want: stale},
			{call: call{operation: renew, task: "a", epoch: 2, round: 1}, want: ok},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorker(1000)
				for i, each := range test.steps {
					time.Sleep(each.wait)
					if got, _ := each.make(w); got != each.want {
						t.Errorf("step %d: %v, want %v", i, got, each.want)
					}
				}
			})
		})
	}
}

func TestWorkProgressesAtTheWorkersSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(500)
		call{operation: reserve, task: "a", mask: 1}.make(w)
		call{operation: start, task: "a"}.make(w)
		round := uint64(0)
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				round++
				time.Sleep(min(term/3, time.Until(end)))
				call{operation: renew, task: "a", round: round}.make(w)
			}
		}
		pass(30 * time.Minute)
		if _, ppm := (call{operation: checkpoint, task: "a"}).make(w); ppm != 250_000 {
			t.Errorf("half an hour at half the speed did %d ppm of an hour", ppm)
		}
		call{operation: throttle, task: "a", permille: 500}.make(w)
		pass(time.Hour)
		if _, ppm := (call{operation: checkpoint, task: "a"}).make(w); ppm != 500_000 {
			t.Errorf("a throttled hour brought the work to %d ppm", ppm)
		}
		call{operation: throttle, task: "a", permille: 1000}.make(w)
		pass(2 * time.Hour)
		run := w.History().Tasks[0]
		if run.Cause != worker.CauseFinished || run.End.Sub(run.Start) != 150*time.Minute {
			t.Errorf("the task ran %v and ended by %s", run.End.Sub(run.Start), run.Cause)
		}
	})
}

func TestUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(1000)
		call{operation: reserve, task: "a", mask: 1}.make(w)
		early, _ := w.Usage(t.Context())
		time.Sleep(lag)
		late, _ := w.Usage(t.Context())
		if len(early.GetTasks()) != 0 || len(late.GetTasks()) != 1 || late.GetVersion() == early.GetVersion() {
			t.Errorf("at once %v, after the lag %v", early, late)
		}
	})
}

func TestRenewalByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(1000)
		var digest uint64
		for i := range 3 {
			task := fmt.Sprint("j", i)
			call{operation: reserve, task: task, mask: 1 << i}.make(w)
			digest += taskset.Hash(&apiv1.TaskId{Job: task, Run: 1})
		}
		renewAll := func(round, digest uint64) *apiv1.LeaseReply {
			reply, _ := w.Lease(t.Context(), &apiv1.LeaseRequest{
				Operation: renew, DataCentre: dataCentre, Epoch: 1, Round: round, TermMs: term.Milliseconds(), All: true, Digest: digest,
			})
			return reply
		}
		time.Sleep(term - 1)
		if reply := renewAll(1, digest); reply.GetMismatch() {
			t.Error("the right digest is refused")
		}
		time.Sleep(term - 1)
		if reply := renewAll(2, digest+1); !reply.GetMismatch() || len(reply.GetHeld()) != 3 {
			t.Errorf("the wrong digest: %v", reply)
		}
		time.Sleep(time.Nanosecond)
		if reply := renewAll(3, 0); reply.GetMismatch() {
			t.Error("a mismatch prolonged leases")
		}
	})
}

func TestRequestsTakeSlotsAndAreRecordedOnce(t *testing.T) {
	const asked, slots = 12, 8
	synctest.Test(t, func(t *testing.T) {
		w := newWorker(1000)
		var mu sync.Mutex
		statuses := map[apiv1.RunStatus]int{}
		var calls sync.WaitGroup
		for i := range asked {
			calls.Go(func() {
				payload := []byte("sleep:1000")
				reply, err := w.Run(t.Context(), &apiv1.RunRequest{
					RequestId: fmt.Sprint(i), Attempt: 1, Payload: payload, Checksum: xxhash.Sum64(payload),
				})
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[reply.GetStatus()]++
			})
		}
		calls.Wait()
		done, full := statuses[apiv1.RunStatus_RUN_STATUS_DONE], statuses[apiv1.RunStatus_RUN_STATUS_REFUSED_FULL]
		if done != slots || full != asked-slots || len(w.History().Requests) != slots {
			t.Errorf("statuses %v, %d recorded", statuses, len(w.History().Requests))
		}
	})
}

func TestRefusalsAreProofsOfNotRun(t *testing.T) {
	tests := []struct {
		faults   worker.Faults
		checksum uint64
		want     apiv1.RunStatus
	}{
		{worker.Faults{FailStarts: true}, xxhash.Sum64String("x"), apiv1.RunStatus_RUN_STATUS_REFUSED_BROKEN},
		{worker.Faults{Leave: true}, xxhash.Sum64String("x"), apiv1.RunStatus_RUN_STATUS_REFUSED_LEAVING},
		{worker.Faults{Refuse: true}, xxhash.Sum64String("x"), apiv1.RunStatus_RUN_STATUS_REFUSED_FULL},
		{worker.Faults{}, 1, apiv1.RunStatus_RUN_STATUS_REFUSED_DAMAGED},
	}
	for _, test := range tests {
		w := newWorker(1000)
		w.SetFaults(test.faults)
		reply, err := w.Run(t.Context(), &apiv1.RunRequest{RequestId: "r", Payload: []byte("x"), Checksum: test.checksum})
		if err != nil || reply.GetStatus() != test.want || len(w.History().Requests) != 0 {
			t.Errorf("%v: reply %v, error %v, recorded %d", test.want, reply, err, len(w.History().Requests))
		}
	}
}
