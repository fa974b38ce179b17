package routing

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// fakeLog is the claims table that all Routers of a test share, in the order of its lock.
type fakeLog struct {
	mu    sync.Mutex
	keys  map[keyID][]fakeState
	delay time.Duration
	// lag is how far Lookup is behind.
	lag    time.Duration
	down   bool
	claims int
	// loseAnswers makes claims take effect and return ErrClaimUnknown.
	loseAnswers bool
	// expireBefore is the oldest key time that is taken.
	expireBefore time.Time
}

// fakeState is the state of a key from a time on.
type fakeState struct {
	at    time.Time
	state ClaimState
}

func newFakeLog() *fakeLog {
	return &fakeLog{keys: make(map[keyID][]fakeState), delay: 5 * time.Millisecond}
}

// put appends a state; the lock is held.
func (l *fakeLog) put(id keyID, state ClaimState) {
	l.keys[id] = append(l.keys[id], fakeState{time.Now(), state})
}

// at returns the state of a key at a time; the lock is held.
func (l *fakeLog) at(id keyID, when time.Time) ClaimState {
	state := ClaimState{}
	for _, s := range l.keys[id] {
		if !s.at.After(when) {
			state = s.state
		}
	}
	return state
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) state(account string, key uuid.UUID) ClaimState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at(keyID{account, key}, time.Now())
}

// fakeClaims is one instance's view of the log.
type fakeClaims struct {
	log      *fakeLog
	instance string
	// read is the time up to which the instance has certainly read, because it read its own record back.
	read time.Time
}

// append waits for the log as an append does.
func (c *fakeClaims) append(ctx context.Context) error {
	for {
		if !pause(ctx, c.log.delay) {
			return ErrClaimNotMade
		}
		c.log.mu.Lock()
		down := c.log.down
		c.log.mu.Unlock()
		if !down {
			return nil
		}
	}
}

func (c *fakeClaims) Claim(ctx context.Context, account string, key uuid.UUID, checksum uint64) (ClaimState, error) {
	if err := c.append(ctx); err != nil {
		return ClaimState{}, err
	}
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims++
	id := keyID{account, key}
	c.read = time.Now()
	if state := l.at(id, c.read); state.Status != ClaimFree {
		return state, nil
	}
	seconds, nanos := key.Time().UnixTime()
	if time.Unix(seconds, nanos).Before(l.expireBefore) {
		return ClaimState{Status: ClaimExpired}, nil
	}
	l.put(id, ClaimState{Status: ClaimHeld, Checksum: checksum, Holder: c.instance})
	if l.loseAnswers {
		return ClaimState{}, errors.Wrap(ErrClaimUnknown, "injected")
	}
	return ClaimState{Status: ClaimOurs, Checksum: checksum, Holder: c.instance}, nil
}

func (c *fakeClaims) Release(ctx context.Context, account string, key uuid.UUID) error {
	if err := c.append(ctx); err != nil {
		return err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	id := keyID{account, key}
	if state := c.log.at(id, time.Now()); state.Status == ClaimHeld && state.Holder == c.instance {
		c.log.put(id, ClaimState{})
	}
	return nil
}

func (c *fakeClaims) Done(ctx context.Context, account string, key uuid.UUID, end ClaimEnd) error {
	if err := c.append(ctx); err != nil {
		return err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	id := keyID{account, key}
	state := c.log.at(id, time.Now())
	state.Status = ClaimDone
	state.Answer, state.AnswerKept, state.Failed = end.Answer, end.AnswerKept, end.Failed
	c.log.put(id, state)
	return nil
}

func (c *fakeClaims) Lookup(account string, key uuid.UUID) ClaimState {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	when := time.Now().Add(-c.log.lag)
	if c.read.After(when) {
		when = c.read
	}
	return c.log.at(keyID{account, key}, when)
}

// fakeFleet is a number of Routers that share a log and workers and reach each other.
type fakeFleet struct {
	log     *fakeLog
	workers *fakeWorkers
	mu      sync.Mutex
	routers map[string]*Router
}

func newFleet(t *testing.T, names ...string) *fakeFleet {
	t.Helper()
	log := newFakeLog()
	f := newFleetOn(t, func(name string) Claims { return &fakeClaims{log: log, instance: name} }, names...)
	f.log = log
	return f
}

// newFleetOn is a fleet on other claims than the fake log's.
func newFleetOn(t *testing.T, claimsOf func(name string) Claims, names ...string) *fakeFleet {
	t.Helper()
	f := &fakeFleet{workers: newFakeWorkers(), routers: make(map[string]*Router)}
	var list []*apiv1.Instance
	for _, name := range names {
		list = append(list, &apiv1.Instance{Name: name, Weight: 1, Presence: apiv1.Presence_PRESENCE_LIVE})
	}
	for i, name := range names {
		r := New(Config{
			Instance: name, Incarnation: 1, Claims: claimsOf(name),
			Holder: f, Workers: f.workers, Seed: uint64(i + 1),
		})
		r.SetInstances(list)
		f.routers[name] = r
		t.Cleanup(r.Close)
	}
	return f
}

// Answer is the holder's side: it reaches a Router unless that one was killed.
func (f *fakeFleet) Answer(ctx context.Context, instance, account string, key uuid.UUID, wait time.Duration) (*apiv1.PeerAnswerReply, error) {
	f.mu.Lock()
	r := f.routers[instance]
	f.mu.Unlock()
	if r == nil {
		return nil, errors.New("no route")
	}
	return r.Answer(ctx, account, key, wait), nil
}

// kill cuts an instance off from its peers and takes it off the list.
func (f *fakeFleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.routers, name)
	var list []*apiv1.Instance
	for other := range f.routers {
		list = append(list, &apiv1.Instance{Name: other, Weight: 1})
	}
	for _, r := range f.routers {
		r.SetInstances(list)
	}
}

// setWorkers gives all Routers n live workers named w0, w1 and so on, with 8 slots.
func (f *fakeFleet) setWorkers(n int) {
	var list []*apiv1.Worker
	for i := range n {
		list = append(list, liveWorker(i))
	}
	for _, r := range f.routers {
		r.SetWorkers(list)
	}
}

func liveWorker(i int) *apiv1.Worker {
	name := fmt.Sprintf("w%d", i)
	return &apiv1.Worker{
		Name: name, Address: name, Presence: apiv1.Presence_PRESENCE_LIVE, Slots: 8, Connections: 64, SpeedPermille: 1000,
	}
}

// fakeWorkers runs requests by a function that tests replace.
type fakeWorkers struct {
	mu   sync.Mutex
	runs map[string]int
	// calls counts the dispatches to each worker.
	calls  map[string]int
	answer func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error)
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{runs: make(map[string]int), calls: make(map[string]int), answer: echoAfter(10 * time.Millisecond)}
}

// echoAfter answers with the payload after a time.
func echoAfter(d time.Duration) func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error) {
	return func(ctx context.Context, _ string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
		if !pause(ctx, d) {
			return nil, errors.Wrap(platform.ErrUnknownEffect, "cut off")
		}
		return reply(request, apiv1.RunStatus_RUN_STATUS_DONE), nil
	}
}

func reply(request *apiv1.RunRequest, status apiv1.RunStatus) *apiv1.RunReply {
	return &apiv1.RunReply{
		RequestId: request.GetRequestId(), Attempt: request.GetAttempt(),
		Status: status, Payload: request.GetPayload(),
	}
}

// refuse answers every request with the status.
func refuse(status apiv1.RunStatus) func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error) {
	return func(_ context.Context, _ string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
		return reply(request, status), nil
	}
}

func (f *fakeWorkers) Worker(address string) platform.Worker { return &fakeWorker{f, address} }

func (f *fakeWorkers) setAnswer(answer func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// ran returns how often a payload was started; refusals don't count.
func (f *fakeWorkers) ran(payload string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[payload]
}

func (f *fakeWorkers) callsTo(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[worker]
}

func (f *fakeWorkers) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.calls {
		total += n
	}
	return total
}

type fakeWorker struct {
	fleet *fakeWorkers
	name  string
}

func (w *fakeWorker) Run(ctx context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	f := w.fleet
	f.mu.Lock()
	f.calls[w.name]++
	f.runs[string(request.GetPayload())]++
	answer := f.answer
	f.mu.Unlock()
	out, err := answer(ctx, w.name, request)
	if errors.Is(err, platform.ErrUnavailable) || err == nil && verdictOf(out.GetStatus()).provesNotRun() {
		f.mu.Lock()
		f.runs[string(request.GetPayload())]--
		f.mu.Unlock()
	}
	return out, err
}

func (w *fakeWorker) Lease(context.Context, *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	return nil, platform.ErrUnavailable
}

func (w *fakeWorker) Usage(context.Context) (*apiv1.UsageReport, error) {
	return nil, platform.ErrUnavailable
}

var keys atomic.Uint64

// newKey makes a UUIDv7 of the bubble's time. The library's own would never go back to the start of a new bubble.
func newKey() uuid.UUID {
	var key uuid.UUID
	binary.BigEndian.PutUint64(key[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], keys.Add(1))
	key[6] = keyVersion << 4
	key[8] |= 0x80
	return key
}

// keyed builds a non-idempotent request with a deadline of 3 s.
func keyed(payload string) Request {
	return Request{Account: "lounge", Key: newKey(), Class: Ordinary, Deadline: time.Now().Add(3 * time.Second), Payload: []byte(payload)}
}

// idempotent builds an idempotent request with a deadline of 3 s.
func idempotent(payload string) Request {
	return Request{Account: "lounge", Class: Ordinary, Idempotent: true, Deadline: time.Now().Add(3 * time.Second), Payload: []byte(payload)}
}

func mustDo(t *testing.T, r *Router, request Request) Answer {
	t.Helper()
	answer, err := r.Do(t.Context(), request)
	if err != nil {
		t.Fatalf("Do: %v", err)
	}
	return answer
}

func want(t *testing.T, answer Answer, outcome Outcome, kind Kind) {
	t.Helper()
	if answer.Outcome != outcome || answer.Kind != kind {
		t.Errorf("answer is %q %q, want %q %q", answer.Outcome, answer.Kind, outcome, kind)
	}
}
