package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/taskset"
)

// newMember describes member i of a job's placed run.
func newMember(g *gang, job *apiv1.Job, i int, placed *apiv1.Member) *member {
	task := &apiv1.TaskId{
		Job: job.GetId(), Run: job.GetRun(), Member: uint32(i), Attempt: job.GetPlacement().GetAttempt(),
	}
	spec := job.GetSpec()
	return &member{
		gang:   g,
		worker: placed.GetWorker(),
		hash:   taskset.Hash(task),
		lease: &apiv1.Lease{
			Task:          task,
			Accelerators:  placed.GetAccelerators(),
			Cores:         spec.GetCores(),
			MemoryMib:     spec.GetMemoryMib(),
			WorkMs:        spec.GetExpectedMs(),
			CheckpointPpm: job.GetCheckpointPpm(),
			Payload:       spec.GetPayload(),
		},
	}
}

// outcome is what one call did to one member. err is set when the worker gave no answer.
type outcome struct {
	member *member
	status apiv1.LeaseStatus
	ppm    uint32
	err    error
}

// ok tells whether the worker confirmed the call.
func (o outcome) ok() bool {
	return o.err == nil && o.status == apiv1.LeaseStatus_LEASE_STATUS_OK
}

// broadcast makes one call to each worker of the members, all at once, and waits for all answers.
// The outcomes are in the order of the members.
func (m *Manager) broadcast(ctx context.Context, operation apiv1.LeaseOperation, members []*member, timeout time.Duration) []outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	outcomes := make([]outcome, len(members))
	var calls sync.WaitGroup
	for worker, indexes := range byWorker(members) {
		calls.Go(func() {
			group := make([]*member, len(indexes))
			for i, index := range indexes {
				group[i] = members[index]
			}
			for i, result := range m.callWorker(ctx, operation, worker, group) {
				outcomes[indexes[i]] = result
			}
		})
	}
	calls.Wait()
	return outcomes
}

// byWorker groups the indexes of the members by worker.
func byWorker(members []*member) map[string][]int {
	groups := map[string][]int{}
	for i, each := range members {
		groups[each.worker] = append(groups[each.worker], i)
	}
	return groups
}

// callWorker makes one call with the leases of members that are all on the worker.
func (m *Manager) callWorker(ctx context.Context, operation apiv1.LeaseOperation, worker string, members []*member) []outcome {
	request := &apiv1.LeaseRequest{Operation: operation}
	for _, each := range members {
		request.Leases = append(request.Leases, leaseFor(operation, each))
	}
	reply, err := m.send(ctx, worker, request)
	if err == nil && len(reply.GetResults()) != len(members) {
		err = platform.ErrUnknownEffect
	}
	outcomes := make([]outcome, len(members))
	for i, each := range members {
		outcomes[i] = outcome{member: each, err: err}
		if err == nil {
			outcomes[i].status = reply.GetResults()[i].GetStatus()
			outcomes[i].ppm = reply.GetResults()[i].GetCheckpointPpm()
		}
	}
	return outcomes
}

// leaseFor returns what the operation needs to know of a member: all of it to reserve, else the task alone.
func leaseFor(operation apiv1.LeaseOperation, each *member) *apiv1.Lease {
	if operation == apiv1.LeaseOperation_LEASE_OPERATION_RESERVE {
		return proto.CloneOf(each.lease)
	}
	return &apiv1.Lease{Task: each.lease.GetTask()}
}

// send completes a call with the owner's token, makes it, and notices a higher epoch in the answer.
func (m *Manager) send(ctx context.Context, worker string, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	address, known := m.config.Address(worker)
	if !known {
		return nil, platform.ErrUnavailable
	}
	m.mu.Lock()
	if m.isFenced {
		m.mu.Unlock()
		return nil, ErrFenced
	}
	request.Round = m.round
	m.mu.Unlock()

	request.DataCentre = m.config.DataCentre
	request.Epoch = m.config.Epoch
	request.TermMs = m.config.Term.Milliseconds()
	reply, err := m.config.Workers.Worker(address).Lease(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.GetHighestEpoch() > m.config.Epoch {
		m.fence(reply.GetHighestEpoch())
		return nil, ErrFenced
	}
	return reply, nil
}

// firstFailure returns the first member, in order, whose outcome is not OK.
func firstFailure(outcomes []outcome) (outcome, bool) {
	i := slices.IndexFunc(outcomes, func(o outcome) bool { return !o.ok() })
	if i < 0 {
		return outcome{}, false
	}
	return outcomes[i], true
}
