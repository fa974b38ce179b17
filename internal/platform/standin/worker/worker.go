// Package worker is the stand-in of a back end: it runs short requests in slots and tasks under
// leases, in memory, and records what it ran. It takes its time from package time, so that it runs
// in virtual time inside a testing/synctest bubble.
//
// Tasks do no work: their progress is the time that they have run, times the speed of the worker.
package worker

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Defaults of a worker.
const (
	defaultSlots        = 8
	defaultConnections  = 64
	defaultCores        = 32
	defaultMemoryMiB    = 128 << 10
	defaultAccelerators = 8
	defaultSpeed        = 1000
)

// Payloads with a meaning for the stand-in; any other payload is echoed.
const (
	// sleepPrefix is followed by the milliseconds that the request takes.
	sleepPrefix = "sleep:"
	// failPayload makes the request end in an error.
	failPayload = "fail"
)

// Options configure a worker.
type Options struct {
	// Description is the worker's entry in the instance list; zero fields get defaults.
	Description *apiv1.Worker
	// UsageLag is how old the usage reports are.
	UsageLag time.Duration
}

// Worker is one back end. It implements platform.Worker; its methods are safe for concurrent use.
type Worker struct {
	description *apiv1.Worker
	usageLag    time.Duration

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the faults change
	busy    int
	epochs  map[string]uint64 // data centre -> highest epoch seen
	tasks   map[taskKey]*task
	reports []timedReport
	version uint64
	history History
}

var _ platform.Worker = (*Worker)(nil)

// New returns an empty worker.
func New(options Options) *Worker {
	return &Worker{
		description: withDefaults(options.Description),
		usageLag:    options.UsageLag,
		changed:     make(chan struct{}),
		epochs:      map[string]uint64{},
		tasks:       map[taskKey]*task{},
	}
}

// withDefaults fills the zero fields of a description.
func withDefaults(given *apiv1.Worker) *apiv1.Worker {
	filled := &apiv1.Worker{
		Presence:      apiv1.Presence_PRESENCE_LIVE,
		Cores:         defaultCores,
		MemoryMib:     defaultMemoryMiB,
		Accelerators:  defaultAccelerators,
		Slots:         defaultSlots,
		Connections:   defaultConnections,
		SpeedPermille: defaultSpeed,
	}
	proto.Merge(filled, given)
	return filled
}

// Description returns the worker's entry in the instance list.
func (w *Worker) Description() *apiv1.Worker {
	return proto.CloneOf(w.description)
}

// Run runs a short request in a slot. It implements platform.Worker.
func (w *Worker) Run(_ context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	faults, err := w.admit()
	if err != nil {
		return nil, err
	}
	if status := w.takeSlot(request, faults); status != apiv1.RunStatus_RUN_STATUS_UNSPECIFIED {
		return w.finishRun(reply(request, status, nil), faults)
	}
	status, answer := execute(w.description.GetName(), request)
	w.freeSlot()
	return w.finishRun(reply(request, status, answer), faults)
}

// takeSlot occupies a slot and records the request, or returns the refusal.
func (w *Worker) takeSlot(request *apiv1.RunRequest, faults Faults) apiv1.RunStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case faults.FailStarts:
		return apiv1.RunStatus_RUN_STATUS_REFUSED_BROKEN
	case faults.Leave:
		return apiv1.RunStatus_RUN_STATUS_REFUSED_LEAVING
	case xxhash.Sum64(request.GetPayload()) != request.GetChecksum():
		return apiv1.RunStatus_RUN_STATUS_REFUSED_DAMAGED
	case faults.Refuse || w.busy >= int(w.description.GetSlots()):
		return apiv1.RunStatus_RUN_STATUS_REFUSED_FULL
	}
	w.busy++
	w.history.Requests = append(w.history.Requests, RequestRun{
		RequestID: request.GetRequestId(),
		Attempt:   request.GetAttempt(),
		Account:   request.GetAccount(),
		Checksum:  request.GetChecksum(),
		Start:     time.Now(),
	})
	return apiv1.RunStatus_RUN_STATUS_UNSPECIFIED
}

func (w *Worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
}

// execute runs the payload to its end, whether the caller still waits or not.
func execute(worker string, request *apiv1.RunRequest) (apiv1.RunStatus, []byte) {
	payload := request.GetPayload()
	if string(payload) == failPayload {
		return apiv1.RunStatus_RUN_STATUS_FAILED, []byte("the request asked to fail")
	}
	if millis, found := bytes.CutPrefix(payload, []byte(sleepPrefix)); found {
		wait, err := strconv.ParseUint(string(millis), 10, 31)
		if err != nil {
			return apiv1.RunStatus_RUN_STATUS_FAILED, []byte("sleep: give whole milliseconds")
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	answer := append([]byte(worker+": "), payload...)
	return apiv1.RunStatus_RUN_STATUS_DONE, answer
}

// reply builds the answer of a request.
func reply(request *apiv1.RunRequest, status apiv1.RunStatus, payload []byte) *apiv1.RunReply {
	return &apiv1.RunReply{
		RequestId: request.GetRequestId(),
		Attempt:   request.GetAttempt(),
		Status:    status,
		Payload:   payload,
		Length:    uint64(len(payload)),
		Checksum:  xxhash.Sum64(payload),
	}
}

// finishRun damages or loses the answer as the faults ask.
func (w *Worker) finishRun(answer *apiv1.RunReply, faults Faults) (*apiv1.RunReply, error) {
	if faults.LoseAnswers {
		return nil, platform.ErrUnknownEffect
	}
	if faults.DamageAnswers && len(answer.GetPayload()) > 0 {
		answer.Payload[0] ^= 0xff
	}
	if faults.ShortAnswers && len(answer.GetPayload()) > 0 {
		answer.Payload = answer.Payload[:len(answer.Payload)/2]
	}
	if faults.ForeignAnswers {
		answer.RequestId += "-foreign"
	}
	return answer, nil
}
