package worker_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// leaseState is the model of one task's lease at a worker: the fencing token and whether it is held.
type leaseState struct {
	epoch uint64
	held  bool
}

// leaseModel is the sequential specification of the worker's lease without time: a call below the
// highest epoch has no effect, a higher one fences all below it.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseState{} },
	Step: func(state, input, output any) (bool, any) {
		current, made, got := state.(leaseState), input.(call), output.(apiv1.LeaseStatus)
		if made.epoch < current.epoch {
			return got == stale, current
		}
		next := leaseState{epoch: made.epoch, held: current.held}
		if made.operation == reserve {
			next.held = true
			return got == ok, next
		}
		if made.operation == stop {
			next.held = false
		}
		if current.held {
			return got == ok, next
		}
		return got == notHeld, next
	},
}

// TestLeaseIsLinearizable lets owners of several epochs use one lease at once.
func TestLeaseIsLinearizable(t *testing.T) {
	const (
		owners       = 4
		callsOfOwner = 25
	)
	operations := []apiv1.LeaseOperation{reserve, start, renew, stop, claim}
	for seed := range uint64(20) {
		w := newWorker(1000)
		began := time.Now()
		var mu sync.Mutex
		var history []porcupine.Operation
		var running sync.WaitGroup
		for owner := range owners {
			random := rand.New(rand.NewPCG(seed, uint64(owner)))
			running.Go(func() {
				epoch := uint64(1 + owner)
				for round := range callsOfOwner {
					made := call{operation: operations[random.IntN(len(operations))], task: "a", epoch: epoch, round: uint64(round), mask: 1}
					from := time.Since(began)
					status, _ := made.make(w)
					to := time.Since(began)
					if random.IntN(10) == 0 {
						epoch += owners
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: owner, Input: made, Output: status, Call: from.Nanoseconds(), Return: to.Nanoseconds(),
					})
					mu.Unlock()
				}
			})
		}
		running.Wait()
		if len(history) != owners*callsOfOwner {
			t.Fatalf("seed %d: %d calls recorded", seed, len(history))
		}
		if !porcupine.CheckOperations(leaseModel, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
	}
}
