package worker

import (
	"cmp"
	"context"
	"math"
	"math/bits"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/taskset"
)

// Lease carries out one call of an owner. It implements platform.Worker.
func (w *Worker) Lease(_ context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	faults, err := w.admit()
	if err != nil {
		return nil, err
	}
	if request.GetOperation() == apiv1.LeaseOperation_LEASE_OPERATION_CHECKPOINT {
		time.Sleep(time.Duration(faults.SlowCheckpointMillis) * time.Millisecond)
	}
	answer := w.apply(request)
	if faults.LoseAnswers {
		return nil, platform.ErrUnknownEffect
	}
	return answer, nil
}

// apply checks the fencing token and then every lease of the call.
func (w *Worker) apply(request *apiv1.LeaseRequest) *apiv1.LeaseReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)

	highest := w.epochs[request.GetDataCentre()]
	answer := &apiv1.LeaseReply{HighestEpoch: highest, ReportVersion: w.visible(now).GetVersion()}
	if request.GetEpoch() < highest {
		w.history.Refused += max(1, len(request.GetLeases()))
		for _, lease := range request.GetLeases() {
			answer.Results = append(answer.Results, result(lease, apiv1.LeaseStatus_LEASE_STATUS_STALE_EPOCH, 0))
		}
		return answer
	}
	w.epochs[request.GetDataCentre()] = request.GetEpoch()
	w.history.noteEpoch(request.GetEpoch())
	answer.HighestEpoch = request.GetEpoch()

	if request.GetAll() {
		w.renewAll(request, now, answer)
		return answer
	}
	for _, lease := range request.GetLeases() {
		status, checkpoint := w.applyOne(request, lease, now)
		answer.Results = append(answer.Results, result(lease, status, checkpoint))
	}
	return answer
}

func result(lease *apiv1.Lease, status apiv1.LeaseStatus, checkpoint uint32) *apiv1.LeaseResult {
	return &apiv1.LeaseResult{Task: lease.GetTask(), Status: status, CheckpointPpm: checkpoint}
}

// renewAll prolongs every lease of the data centre if the owner named exactly these.
func (w *Worker) renewAll(request *apiv1.LeaseRequest, now time.Time, answer *apiv1.LeaseReply) {
	var digest uint64
	var held []*task
	for _, t := range w.sortedTasks() {
		if t.dataCentre == request.GetDataCentre() {
			digest += taskset.Hash(t.lease.GetTask())
			held = append(held, t)
		}
	}
	if digest != request.GetDigest() {
		answer.Mismatch = true
		for _, t := range held {
			answer.Held = append(answer.Held, t.lease.GetTask())
		}
		return
	}
	for _, t := range held {
		t.renew(request, request.GetRound(), now)
	}
}

// renew prolongs the lease from receipt, once for a round of an epoch.
func (t *task) renew(request *apiv1.LeaseRequest, round uint64, now time.Time) {
	if request.GetEpoch() == t.epoch && round <= t.round {
		return
	}
	t.epoch = request.GetEpoch()
	t.round = round
	t.expiry = now.Add(time.Duration(request.GetTermMs()) * time.Millisecond)
}

func (w *Worker) applyOne(request *apiv1.LeaseRequest, lease *apiv1.Lease, now time.Time) (apiv1.LeaseStatus, uint32) {
	key := keyOf(lease.GetTask())
	t := w.tasks[key]
	if request.GetOperation() == apiv1.LeaseOperation_LEASE_OPERATION_RESERVE {
		return w.reserve(request, lease, now), lease.GetCheckpointPpm()
	}
	if t == nil {
		return apiv1.LeaseStatus_LEASE_STATUS_NOT_HELD, 0
	}
	status := apiv1.LeaseStatus_LEASE_STATUS_OK
	switch request.GetOperation() {
	case apiv1.LeaseOperation_LEASE_OPERATION_START:
		status = w.start(request, t, now)
	case apiv1.LeaseOperation_LEASE_OPERATION_RENEW:
		t.renew(request, cmp.Or(lease.GetRound(), request.GetRound()), now)
	case apiv1.LeaseOperation_LEASE_OPERATION_CLAIM:
		// The epoch of the call was noted already.
	case apiv1.LeaseOperation_LEASE_OPERATION_STOP:
		w.drop(t, now, CauseStopped)
	case apiv1.LeaseOperation_LEASE_OPERATION_CHECKPOINT:
		t.checkpoint = uint32(math.Round(t.ppm))
	case apiv1.LeaseOperation_LEASE_OPERATION_THROTTLE:
		t.throttle = lease.GetThrottlePermille()
	default:
		status = apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED
	}
	return status, t.checkpoint
}

// reserve holds the accelerators, cores and memory of a task. A repeat changes nothing.
func (w *Worker) reserve(request *apiv1.LeaseRequest, lease *apiv1.Lease, now time.Time) apiv1.LeaseStatus {
	key := keyOf(lease.GetTask())
	if t := w.tasks[key]; t != nil && t.lease.GetAccelerators() == lease.GetAccelerators() {
		return apiv1.LeaseStatus_LEASE_STATUS_OK
	} else if t != nil {
		return apiv1.LeaseStatus_LEASE_STATUS_OCCUPIED
	}
	switch {
	case w.faults.Leave:
		return apiv1.LeaseStatus_LEASE_STATUS_LEAVING
	case w.faults.Refuse || !w.fits(lease):
		return apiv1.LeaseStatus_LEASE_STATUS_OCCUPIED
	}
	w.tasks[key] = &task{
		key:        key,
		dataCentre: request.GetDataCentre(),
		lease:      lease,
		state:      apiv1.TaskState_TASK_STATE_RESERVED,
		epoch:      request.GetEpoch(),
		round:      request.GetRound(),
		expiry:     now.Add(time.Duration(request.GetTermMs()) * time.Millisecond),
		ppm:        float64(lease.GetCheckpointPpm()),
		checkpoint: lease.GetCheckpointPpm(),
		throttle:   fullSpeed,
	}
	w.report(now)
	return apiv1.LeaseStatus_LEASE_STATUS_OK
}

// fits reports whether the worker has what the lease asks beside all that it holds.
func (w *Worker) fits(lease *apiv1.Lease) bool {
	cores, memory, taken := lease.GetCores(), lease.GetMemoryMib(), uint32(0)
	for _, t := range w.tasks {
		cores += t.lease.GetCores()
		memory += t.lease.GetMemoryMib()
		taken |= t.lease.GetAccelerators()
	}
	highestBit := bits.Len32(lease.GetAccelerators())
	return taken&lease.GetAccelerators() == 0 &&
		highestBit <= int(w.description.GetAccelerators()) &&
		cores <= w.description.GetCores() &&
		memory <= w.description.GetMemoryMib()
}

// start begins a reserved task; a repeat for a started one changes nothing.
func (w *Worker) start(request *apiv1.LeaseRequest, t *task, now time.Time) apiv1.LeaseStatus {
	if t.state != apiv1.TaskState_TASK_STATE_RESERVED {
		return apiv1.LeaseStatus_LEASE_STATUS_OK
	}
	if w.faults.FailStarts {
		w.drop(t, now, CauseFailed)
		return apiv1.LeaseStatus_LEASE_STATUS_START_FAILED
	}
	w.startTask(t, now, request.GetEpoch())
	return apiv1.LeaseStatus_LEASE_STATUS_OK
}
