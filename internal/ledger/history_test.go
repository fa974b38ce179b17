package ledger_test

import (
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// input is one proposal of a history: to take or to give back an item.
type input struct {
	item   string
	author uint64
	take   bool
	// number is the base revision or the epoch.
	number uint64
}

// output is what the proposer was told.
type output int

const (
	accepted output = iota
	rejected
	unknown
)

// cell is an item in a model: a holder, and a number that counts.
type cell struct {
	holder uint64
	number uint64
}

// model checks histories of items that are each independent. step says whether a proposal is accepted in
// a state, and the state after that.
func model(step func(cell, input) (bool, cell)) porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			items := map[string][]porcupine.Operation{}
			var order []string
			for _, operation := range history {
				item := operation.Input.(input).item
				if items[item] == nil {
					order = append(order, item)
				}
				items[item] = append(items[item], operation)
			}
			var parts [][]porcupine.Operation
			for _, item := range order {
				parts = append(parts, items[item])
			}
			return parts
		},
		Init: func() any { return cell{} },
		Step: func(before, in, out any) (bool, any) {
			accepts, after := step(before.(cell), in.(input))
			switch out.(output) {
			case accepted:
				return accepts, after
			case rejected:
				return !accepts, before
			default:
				if accepts {
					return true, after
				}
				return true, before
			}
		},
	}
}

// scenario is what the proposers of a history do.
type scenario struct {
	stream  string
	machine func() ledger.Machine
	record  func(input) *apiv1.Record
	// choose draws the next proposal of an author from what its replica holds.
	choose func(random *rand.Rand, machine ledger.Machine) input
}

// history is a run of concurrent proposers over replicas whose log fails and which are replaced.
type history struct {
	scenario
	log *logservice.Service

	mu         sync.Mutex
	replicas   []*life
	operations []porcupine.Operation
	counts     map[output]int
}

// life is one incarnation of a replica.
type life struct {
	*ledger.Replica
	machine     ledger.Machine
	incarnation uint64
	stop        context.CancelFunc
}

const (
	historyReplicas  = 3
	historyProposers = 6
	historyLength    = 90 * time.Second
)

func (h *history) start(t *testing.T, incarnation uint64) *life {
	l := &life{machine: h.machine(), incarnation: incarnation}
	l.Replica = ledger.New(ledger.Config{
		Log: h.log, Stream: h.stream, Machine: l.machine,
		Author: &apiv1.Author{Instance: "i", Incarnation: incarnation},
	})
	ctx, stop := context.WithCancel(t.Context())
	l.stop = stop
	go func() { _ = l.Run(ctx) }()
	return l
}

// run lets proposers work while faults come and go and replicas are replaced.
func (h *history) run(t *testing.T, seed uint64) {
	h.counts = map[output]int{}
	for i := range uint64(historyReplicas) {
		h.replicas = append(h.replicas, h.start(t, i+1))
	}
	ctx, cancel := context.WithTimeout(t.Context(), historyLength)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { h.disturb(ctx, t, rand.New(rand.NewPCG(seed, 0))) })
	for i := range uint64(historyProposers) {
		running.Go(func() { h.propose(ctx, int(i), rand.New(rand.NewPCG(seed, i+1))) })
	}
	running.Wait()
}

func (h *history) disturb(ctx context.Context, t *testing.T, random *rand.Rand) {
	incarnation := uint64(historyReplicas)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
		h.log.SetFaults(logservice.Faults{
			Outage:             random.IntN(4) == 0,
			AppendDelayMillis:  []int64{5, 20, 2000}[random.IntN(3)],
			LostAfterPermille:  random.IntN(500),
			LostBeforePermille: random.IntN(300),
		})
		if random.IntN(4) > 0 {
			continue
		}
		incarnation++
		h.mu.Lock()
		i := random.IntN(historyReplicas)
		h.replicas[i].stop()
		h.replicas[i] = h.start(t, incarnation)
		h.mu.Unlock()
	}
}

func (h *history) propose(ctx context.Context, proposer int, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+random.IntN(400)) * time.Millisecond)
		h.mu.Lock()
		l := h.replicas[random.IntN(historyReplicas)]
		h.mu.Unlock()
		var in input
		l.View(func() { in = h.choose(random, l.machine) })
		in.author = l.incarnation
		call := time.Now().UnixNano()
		patience, cancel := context.WithTimeout(ctx, time.Duration(500+random.IntN(4000))*time.Millisecond)
		err := l.Propose(patience, h.record(in))
		cancel()
		h.note(proposer, in, err, call)
	}
}

func (h *history) note(proposer int, in input, err error, call int64) {
	operation := porcupine.Operation{ClientId: proposer, Input: in, Output: accepted, Call: call, Return: time.Now().UnixNano()}
	switch {
	case err == nil:
	case errors.Is(err, ledger.ErrNotProposed):
		return
	case errors.Is(err, ledger.ErrOutcomeUnknown):
		// It may take effect at any later time.
		operation.Output, operation.Return = unknown, math.MaxInt64
	default:
		operation.Output = rejected
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
	h.counts[operation.Output.(output)]++
}

// claimKey returns the key of an item, made when the virtual time of a test begins.
func claimKey(item string) []byte {
	key := make([]byte, 16)
	binary.BigEndian.PutUint64(key, uint64(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())<<16)
	key[6], key[8] = 7<<4, 0x80
	copy(key[9:], item)
	return key
}

func TestHistories(t *testing.T) {
	items := []string{"x", "y", "z"}
	newState := func() ledger.Machine { return state.New() }
	tests := map[string]struct {
		scenario scenario
		step     func(cell, input) (bool, cell)
	}{
		"configuration register": {
			scenario{
				stream: platform.StreamLedger, machine: newState,
				record: func(in input) *apiv1.Record { return sheetRecord(in.number, "operator") },
				choose: func(random *rand.Rand, machine ledger.Machine) input {
					return input{number: machine.(*state.State).RevisionNumber() - uint64(random.IntN(2)&random.IntN(2))}
				},
			},
			func(c cell, in input) (bool, cell) { return in.number == c.number, cell{number: c.number + 1} },
		},
		"ownership": {
			scenario{
				stream: platform.StreamLedger, machine: newState,
				record: func(in input) *apiv1.Record {
					if in.take {
						return &apiv1.Record{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: in.item, Epoch: in.number}}}
					}
					return &apiv1.Record{Body: &apiv1.Record_OwnerReleased{OwnerReleased: &apiv1.OwnerReleased{DataCentre: in.item, Epoch: in.number}}}
				},
				choose: func(random *rand.Rand, machine ledger.Machine) input {
					in := input{item: items[random.IntN(2)], take: random.IntN(3) > 0}
					in.number = machine.(*state.State).Owner(in.item).Epoch
					if in.take {
						in.number++
					}
					return in
				},
			},
			func(c cell, in input) (bool, cell) {
				if in.take {
					return in.number == c.number+1, cell{holder: in.author, number: in.number}
				}
				return in.number == c.number && in.author == c.holder, cell{number: c.number}
			},
		},
		"key claims": {
			scenario{
				stream: platform.StreamClaims, machine: func() ledger.Machine { return claims.New() },
				record: func(in input) *apiv1.Record {
					key := claimKey(in.item)
					if in.take {
						return &apiv1.Record{Body: &apiv1.Record_KeyClaimed{KeyClaimed: &apiv1.KeyClaimed{Key: key, Account: "lounge"}}}
					}
					return &apiv1.Record{Body: &apiv1.Record_KeyReleased{KeyReleased: &apiv1.KeyReleased{Key: key, Account: "lounge"}}}
				},
				choose: func(random *rand.Rand, _ ledger.Machine) input {
					return input{item: items[random.IntN(3)], take: random.IntN(2) > 0}
				},
			},
			func(c cell, in input) (bool, cell) {
				if in.take {
					return c.holder == 0, cell{holder: in.author}
				}
				return c.holder == in.author, cell{}
			},
		},
	}
	for name, test := range tests {
		for seed := range uint64(3) {
			t.Run(name, func(t *testing.T) {
				h := &history{scenario: test.scenario}
				synctest.Test(t, func(t *testing.T) {
					h.log = logservice.New(logservice.Options{Retention: retention, Seed: seed})
					h.run(t, seed)
				})
				if h.counts[accepted] < 20 || h.counts[rejected] == 0 || h.counts[unknown] == 0 {
					t.Errorf("seed %d: too little happened: %v", seed, h.counts)
				}
				if !porcupine.CheckOperations(model(test.step), h.operations) {
					t.Errorf("seed %d: %d operations are not linearizable", seed, len(h.operations))
				}
			})
		}
	}
}
