package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	host = "soak.example"
	key  = "key-of-the-soak"
	// callTimeout is how long a caller waits for an answer; it is sent as the call's deadline.
	callTimeout = 3 * time.Second
	// maxSubmitAttempts is how often a caller tries to submit a job.
	maxSubmitAttempts = 4
	// pollInterval is the interval between the calls of a caller for one job.
	pollInterval = 300 * time.Millisecond
	// cancelShare is the share of accepted jobs that are cancelled if they aren't final yet after a random delay of up to
	// maxCancelDelay.
	cancelShare    = 0.1
	maxCancelDelay = 2 * time.Second
	// estimateRangeMs limits the estimate of a task, which is also how long it runs: from 200 ms to less than 200 ms +
	// estimateRangeMs.
	estimateRangeMs = 2500
	// The estimate of a long task is from longEstimateMs to less than twice as much.
	longEstimateMs = 10000
)

// outcome is what a caller observed of one job.
type outcome struct {
	id, state string
	queue     string
	// accepted is true if a submit call returned 200. rejected is true if every submit call returned 429 or 503, which
	// both mean that the job was not accepted.
	accepted, rejected bool
	cancelled          bool
	// cancelledAt is the time of the first cancel call that returned 200.
	cancelledAt time.Time
	// observations are the states in the order in which the caller observed them, without repetitions.
	observations []observation
	// unanswered counts the calls that got no answer.
	unanswered int
}

// load simulates callers that submit jobs and poll their states over persistent connections.
type load struct {
	soak   *soak
	client *http.Client
	// longTasks makes a quarter of the jobs begin with a long step.
	longTasks bool

	mu        sync.Mutex
	outcomes  []*outcome
	submitted map[string]submittedJob
	callers   sync.WaitGroup
}

func newLoad(s *soak) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	return &load{soak: s, client: &http.Client{Transport: transport, Timeout: callTimeout}, submitted: map[string]submittedJob{}}
}

// setJob records a submitted job.
func (l *load) setJob(id string, job submittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted[id] = job
}

// jobs returns the submitted jobs by id.
func (l *load) jobs() map[string]submittedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.submitted)
}

// step is the JSON form of a step of a job.
type step struct {
	Count               int
	Cpu, MemMb, Gpu     int //nolint:revive // spelling of the JSON fields.
	EstMs               int
	After               []int `json:",omitempty"`
	Gang, Checkpointing bool
}

// run submits perSecond jobs per second on average until submitting is done. Their callers poll them until polling is done.
func (l *load) run(submitting, polling context.Context, random *rand.Rand, perSecond float64) {
	for submitting.Err() == nil {
		jobRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
		l.callers.Go(func() { l.runCaller(polling, jobRandom) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
	}
}

// steps returns one or two random steps for a job.
func steps(random *rand.Rand) []step {
	task := func() step {
		return step{
			Count: 1 + random.IntN(6), Cpu: 1000, MemMb: 2048, Gpu: 1 << random.IntN(3), EstMs: 200 + random.IntN(estimateRangeMs),
			Checkpointing: random.IntN(3) == 0,
		}
	}
	first := task()
	first.Gang = random.IntN(2) == 0
	if random.IntN(4) > 0 {
		return []step{first}
	}
	second := task()
	second.After = []int{0}
	return []step{first, second}
}

// runCaller simulates the caller of one job: it submits the job, may cancel it, and polls its state until it is final.
func (l *load) runCaller(ctx context.Context, random *rand.Rand) {
	o := &outcome{id: fmt.Sprintf("%016x", random.Uint64()), queue: fmt.Sprintf("/q%d/", random.IntN(3)), rejected: true}
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	submitted := steps(random)
	if l.longTasks && random.IntN(4) == 0 {
		submitted[0].EstMs = longEstimateMs + random.IntN(longEstimateMs)
	}
	body, err := json.Marshal(map[string]any{"Spec": "spec of " + o.id, "Steps": submitted})
	if err != nil {
		return
	}
	l.setJob(o.id, submittedJob{steps: submitted})
	if !l.submit(ctx, o, body, random) {
		return
	}
	l.setJob(o.id, submittedJob{steps: submitted, open: true})
	cancelAt := time.Time{}
	if random.Float64() < cancelShare {
		cancelAt = time.Now().Add(time.Duration(random.Int64N(int64(maxCancelDelay))))
	}
	for ctx.Err() == nil && !o.isFinal() {
		if !cancelAt.IsZero() && time.Now().After(cancelAt) {
			l.cancel(ctx, o, random)
		}
		l.poll(ctx, o, random)
		l.setJob(o.id, submittedJob{steps: submitted, open: !o.cancelled && !o.isFinal()})
		time.Sleep(pollInterval)
	}
}

// submit submits a job until it is accepted or the attempts are used up, and reports whether it was accepted.
func (l *load) submit(ctx context.Context, o *outcome, body []byte, random *rand.Rand) bool {
	for range maxSubmitAttempts {
		status := l.call(ctx, o, http.MethodPost, o.queue+o.id, body, random, nil)
		switch status {
		case http.StatusOK:
			o.accepted, o.rejected = true, false
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			o.rejected = false
		}
		time.Sleep(pollInterval)
	}
	return false
}

// cancel requests the cancellation of a job and records when it was first confirmed.
func (l *load) cancel(ctx context.Context, o *outcome, random *rand.Rand) {
	switch l.call(ctx, o, http.MethodDelete, o.queue+o.id, nil, random, nil) {
	case http.StatusOK:
		if !o.cancelled {
			o.cancelled, o.cancelledAt = true, time.Now()
		}
	default:
		o.rejected = false
	}
}

// poll requests and records a job's state. The answer 410, that the job doesn't exist, is recorded as the state "gone".
func (l *load) poll(ctx context.Context, o *outcome, random *rand.Rand) {
	var answer struct{ State string }
	requestedAt := time.Now()
	switch status := l.call(ctx, o, http.MethodGet, o.queue+o.id, nil, random, &answer); status {
	case http.StatusOK:
		o.observe(answer.State, requestedAt)
	case http.StatusGone:
		o.observe("gone", requestedAt)
	}
}

// observation is a state of a job with the times of the first request that returned it and of its answer.
type observation struct {
	state                   string
	requestedAt, receivedAt time.Time
}

func (o observation) String() string { return o.state }

// observe sets the current state, and adds an observation if the state has changed.
func (o *outcome) observe(state string, requestedAt time.Time) {
	if len(o.observations) == 0 || o.observations[len(o.observations)-1].state != state {
		o.observations = append(o.observations, observation{state, requestedAt, time.Now()})
	}
	o.state = state
}

// isFinal reports whether the caller can stop polling. A cancelled job is final only after a cancel call returned 200.
func (o *outcome) isFinal() bool {
	return o.state == "completed" || o.state == "failed" || (o.state == "cancelled" && o.cancelled)
}

// call calls a random instance and returns the HTTP status; 0 if there was no valid answer. The body of a 200 answer is
// decoded into target, unless target is nil.
func (l *load) call(ctx context.Context, o *outcome, method, path string, body []byte, random *rand.Rand, target any) int {
	inst := l.soak.instances[random.IntN(len(l.soak.instances))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+inst.callersAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := l.client.Do(request)
	if err != nil {
		o.unanswered++
		return 0
	}
	defer response.Body.Close()
	if target != nil && response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(target) != nil {
		return 0
	}
	return response.StatusCode
}
