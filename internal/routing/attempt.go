package routing

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
)

// silenceShare divides the time left to a request: a connection may be silent for that part of it while the worker
// is busy, so that a slow answer isn't cut off and time is left for a retry.
const silenceShare = 2

// dispatch is one sending of a request to a worker.
type dispatch struct {
	request *Request
	// id is the same for all attempts of one request.
	id       string
	checksum uint64
	attempt  int
	worker   *worker
	// enough says that the worker has the time that it can be expected to need, so that its silence counts.
	enough bool
}

// result is how a dispatch ended.
type result struct {
	verdict verdict
	payload []byte
	worker  string
}

// nextID returns a request id that no other dispatch of any instance has.
func (r *Router) nextID() string {
	return r.idPrefix + strconv.FormatUint(r.requests.Add(1), 36)
}

// send dispatches and gives the worker back.
func (r *Router) send(ctx context.Context, d dispatch) result {
	started := time.Now()
	r.counters.dispatches.Add(1)
	given := time.Until(d.request.Deadline)
	d.enough = given >= r.latency[d.request.Class].enough()
	if given/silenceShare > conn.DefaultBusyAfter {
		ctx = conn.WithSilence(ctx, given/silenceShare)
	}
	reply, err := d.worker.back.Run(ctx, &apiv1.RunRequest{
		RequestId: d.id,
		Attempt:   uint32(d.attempt),
		Account:   d.request.Account,
		WorkClass: workClass(d.request.Class),
		TimeoutMs: given.Milliseconds(),
		Payload:   d.request.Payload,
		Checksum:  d.checksum,
	})
	v := r.classify(ctx, d, reply, err)
	r.countVerdict(v)
	r.sched.release(d.worker, v)
	if v == verdictDone {
		r.latency[d.request.Class].add(time.Since(started))
		r.budget.earn()
	}
	return result{verdict: v, payload: reply.GetPayload(), worker: d.worker.name}
}

// classify says what a reply or error proves.
func (r *Router) classify(ctx context.Context, d dispatch, reply *apiv1.RunReply, err error) verdict {
	cancelled := errors.Is(ctx.Err(), context.Canceled) || errors.Is(ctx.Err(), context.DeadlineExceeded) && !d.enough
	if errors.Is(err, platform.ErrUnavailable) && cancelled {
		return verdictWithdrawn
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return verdictUnsent
	}
	if errors.Is(err, workerclient.ErrDamagedAnswer) {
		r.counters.droppedAnswers.Add(1)
		return verdictLost
	}
	if err != nil && cancelled {
		return verdictCancelled
	}
	if err != nil {
		return verdictLost
	}
	if reply.GetRequestId() != d.id || reply.GetAttempt() != uint32(d.attempt) {
		r.counters.droppedAnswers.Add(1)
		return verdictLost
	}
	return verdictOf(reply.GetStatus())
}

func verdictOf(status apiv1.RunStatus) verdict {
	switch status {
	case apiv1.RunStatus_RUN_STATUS_DONE:
		return verdictDone
	case apiv1.RunStatus_RUN_STATUS_FAILED:
		return verdictFailed
	case apiv1.RunStatus_RUN_STATUS_REFUSED_FULL:
		return verdictFull
	case apiv1.RunStatus_RUN_STATUS_REFUSED_LEAVING:
		return verdictLeaving
	case apiv1.RunStatus_RUN_STATUS_REFUSED_DAMAGED:
		return verdictDamaged
	case apiv1.RunStatus_RUN_STATUS_REFUSED_BROKEN:
		return verdictBroken
	default:
		return verdictLost
	}
}

func workClass(class Class) apiv1.WorkClass {
	switch class {
	case Urgent:
		return apiv1.WorkClass_WORK_CLASS_URGENT
	case Ordinary:
		return apiv1.WorkClass_WORK_CLASS_ORDINARY
	default:
		return apiv1.WorkClass_WORK_CLASS_PATIENT
	}
}

func (r *Router) countVerdict(v verdict) {
	switch v {
	case verdictFull:
		r.counters.workerFull.Add(1)
	case verdictLeaving:
		r.counters.workerLeaving.Add(1)
	case verdictDamaged:
		r.counters.workerDamaged.Add(1)
	case verdictBroken:
		r.counters.workerBroken.Add(1)
	case verdictLost, verdictUnsent:
		r.counters.lost.Add(1)
	case verdictDone, verdictFailed, verdictWithdrawn, verdictCancelled:
	}
}

// answer is the answer to a request that the worker answered.
func (s result) answer(attempts int) Answer {
	return Answer{
		Outcome:  Done,
		Payload:  s.payload,
		Failed:   s.verdict == verdictFailed,
		Worker:   s.worker,
		Attempts: attempts,
	}
}

// Bounds of the latency estimate.
const (
	// latencySamples is how many answers make the estimate usable.
	latencySamples = 20
	// latencyGain and deviationGain are the weights of a new sample.
	latencyGain   = 0.125
	deviationGain = 0.25
	// hedgeDeviations is how many mean deviations above the mean an answer is late enough for a hedge.
	hedgeDeviations = 4
	// hedgeFactor is the least multiple of the mean.
	hedgeFactor = 2
	// enoughFactor is the multiple of the expected time that a worker must have had for its silence to count against
	// it; enoughUnknown is that time before the first answer.
	enoughFactor  = 2
	enoughUnknown = time.Second
	// minHedgeDelay bounds the hedge delay from below.
	minHedgeDelay = 5 * time.Millisecond
)

// latency estimates how long workers take, by mean and mean deviation.
type latency struct {
	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

func (l *latency) add(sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := float64(sample)
	if l.samples == 0 {
		l.mean = value
		l.deviation = value / 2
	}
	l.samples++
	difference := value - l.mean
	l.mean += latencyGain * difference
	l.deviation += deviationGain * (max(difference, -difference) - l.deviation)
}

// expected is how long an answer takes; 0 before the first.
func (l *latency) expected() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mean + l.deviation)
}

// enough is the time after which a missing answer counts against the worker.
func (l *latency) enough() time.Duration {
	if expected := l.expected(); expected > 0 {
		return enoughFactor * expected
	}
	return enoughUnknown
}

// hedgeDelay is how long to wait for an answer before a hedge is worth it; false before enough samples.
func (l *latency) hedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := time.Duration(l.mean + max((hedgeFactor-1)*l.mean, hedgeDeviations*l.deviation))
	return max(delay, minHedgeDelay), l.samples >= latencySamples
}

// checksumOf is the checksum of a payload on the wire and in claims.
func checksumOf(payload []byte) uint64 {
	return xxhash.Sum64(payload)
}
