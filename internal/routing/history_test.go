package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// keyModelState is a key in the model: whether its request may have run, and the answer once one was given.
type keyModelState struct {
	ran    bool
	answer string
}

// keyModel is the register of one key. Done gives the one answer, NotRun needs that nothing ran before, and after
// Unknown both are possible.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyModelState{}} },
	Step: func(state, _, output any) []any {
		s := state.(keyModelState)
		out := output.(Answer)
		switch out.Outcome {
		case Done:
			if s.answer != "" && s.answer != string(out.Payload) {
				return nil
			}
			return []any{keyModelState{ran: true, answer: string(out.Payload)}}
		case NotRun:
			if s.ran {
				return nil
			}
			return []any{s}
		default:
			if s.ran {
				return []any{s}
			}
			return []any{s, keyModelState{ran: true}}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// faultCount is how many numbers the faults of the log are drawn from; 0 and 1 are none.
const faultCount = 5

// keyHistory is what the callers of one key saw.
type keyHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// historyRun is one seeded run of callers against Routers that share a log.
type historyRun struct {
	fleet *fakeFleet
	// fault sets the log's fault of that number, of faultCount; 0 is none.
	fault  func(number int)
	clock  atomic.Int64
	mu     sync.Mutex
	random *rand.Rand
	// runs numbers the runs of each payload, so that two runs give two answers.
	runs map[string]int
}

func (h *historyRun) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *historyRun) runsOf(payload string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[payload]
}

// answer is a worker that refuses, fails to answer, is slow or answers, by lot.
func (h *historyRun) answer(ctx context.Context, _ string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	if !pause(ctx, time.Duration(h.draw(30))*time.Millisecond) {
		return nil, errors.Wrap(platform.ErrUnknownEffect, "cut off")
	}
	switch h.draw(10) {
	case 0:
		return reply(request, apiv1.RunStatus_RUN_STATUS_REFUSED_FULL), nil
	case 1:
		return nil, errors.Wrap(platform.ErrUnavailable, "not connected")
	}
	h.mu.Lock()
	payload := string(request.GetPayload())
	h.runs[payload]++
	out := reply(request, apiv1.RunStatus_RUN_STATUS_DONE)
	out.Payload = fmt.Appendf(nil, "%s run %d", payload, h.runs[payload])
	h.mu.Unlock()
	if h.draw(8) == 0 || !pause(ctx, time.Duration(h.draw(400))*time.Millisecond) {
		return nil, errors.Wrap(platform.ErrUnknownEffect, "answer lost")
	}
	return out, nil
}

// faults switches the log's faults by lot until ctx ends, and kills one instance.
func (h *historyRun) faults(ctx context.Context) {
	kill := 3 + h.draw(5)
	for i := 0; pause(ctx, time.Duration(20+h.draw(200))*time.Millisecond); i++ {
		h.fault(h.draw(faultCount))
		if i == kill {
			name := fmt.Sprintf("i%d", h.draw(3))
			h.fleet.mu.Lock()
			killed := h.fleet.routers[name]
			h.fleet.mu.Unlock()
			h.fleet.kill(name)
			killed.Close()
		}
	}
}

// ask sends the key to a live instance by lot and notes what came of it.
func (h *historyRun) ask(t *testing.T, history *keyHistory, caller int, request Request) Answer {
	h.fleet.mu.Lock()
	var live []*Router
	for i := range 3 {
		if r := h.fleet.routers[fmt.Sprintf("i%d", i)]; r != nil {
			live = append(live, r)
		}
	}
	h.fleet.mu.Unlock()
	request.Deadline = time.Now().Add(time.Duration(20+h.draw(500)) * time.Millisecond)
	call := h.clock.Add(1)
	answer := mustDo(t, live[h.draw(len(live))], request)
	history.mu.Lock()
	defer history.mu.Unlock()
	history.operations = append(history.operations, porcupine.Operation{
		ClientId: caller, Call: call, Output: answer, Return: h.clock.Add(1),
	})
	return answer
}

// caller sends a key until it's done, at most 8 times.
func (h *historyRun) caller(t *testing.T, history *keyHistory, caller int, request Request) {
	for range 8 {
		if h.ask(t, history, caller, request).Outcome == Done {
			return
		}
		request.Retry = true
		time.Sleep(time.Duration(h.draw(300)) * time.Millisecond)
	}
}

// onFakeLog runs on the fake claims, whose readers lag.
func onFakeLog(t *testing.T) *historyRun {
	f := newFleet(t, "i0", "i1", "i2")
	h := &historyRun{fleet: f}
	h.fault = func(number int) {
		f.log.set(func() {
			f.log.lag = time.Duration(h.draw(400)) * time.Millisecond
			f.log.down = number == 2
			f.log.loseAnswers = number == 3
		})
	}
	return h
}

// onLedger runs on the ledger's claims and the stand-in log.
func onLedger(t *testing.T) *historyRun {
	log := logservice.New(logservice.Options{Retention: time.Hour})
	incarnation := uint64(0)
	f := newFleetOn(t, func(name string) Claims {
		incarnation++
		return startClaims(t, log, name, incarnation)
	}, "i0", "i1", "i2")
	return &historyRun{fleet: f, fault: func(number int) {
		log.SetFaults(map[int]logservice.Faults{
			2: {Outage: true}, 3: {LostAfterPermille: 500, LostBeforePermille: 200}, 4: {AppendDelayMillis: 400},
		}[number])
	}}
}

// TestHistoriesOfKeys runs two callers a key at three instances under faults and checks every key's history.
func TestHistoriesOfKeys(t *testing.T) {
	t.Run("fake log", func(t *testing.T) { runHistories(t, onFakeLog) })
	t.Run("ledger", func(t *testing.T) { runHistories(t, onLedger) })
}

func runHistories(t *testing.T, build func(*testing.T) *historyRun) {
	const seeds, keysARun = 40, 12
	counts := map[Outcome]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			h := build(t)
			h.random, h.runs = rand.New(rand.NewPCG(seed, 1)), map[string]int{}
			h.fleet.setWorkers(1 + h.draw(4))
			h.fleet.workers.setAnswer(h.answer)
			ctx, cancel := context.WithCancel(t.Context())
			go h.faults(ctx)
			histories := make([]*keyHistory, keysARun)
			var all sync.WaitGroup
			for i := range histories {
				histories[i] = &keyHistory{}
				request := keyed(fmt.Sprintf("settle %d", i))
				all.Go(func() { h.caller(t, histories[i], 0, request) })
				duplicate := request
				duplicate.Retry = true
				all.Go(func() { h.caller(t, histories[i], 1, duplicate) })
				time.Sleep(time.Duration(h.draw(100)) * time.Millisecond)
			}
			all.Wait()
			cancel()
			// Dispatches outlive their callers; no more runs may come of them.
			time.Sleep(2 * answerGrace)
			for i, history := range histories {
				if !porcupine.CheckOperations(keyModel.ToModel(), history.operations) {
					t.Errorf("seed %d: key %d: no order explains %+v", seed, i, history.operations)
				}
				for _, o := range history.operations {
					counts[o.Output.(Answer).Outcome]++
				}
				if runs := h.runsOf(fmt.Sprintf("settle %d", i)); runs > 1 {
					t.Errorf("seed %d: key %d ran %d times", seed, i, runs)
				}
			}
		})
	}
	t.Logf("seeds 0 to %d: %d keys, answers %v", seeds-1, seeds*keysARun, counts)
	if counts[Done] == 0 || counts[NotRun] == 0 || counts[Unknown] == 0 {
		t.Errorf("not every outcome was seen: %v", counts)
	}
}
