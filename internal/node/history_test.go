package node_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// jobCount is the number of jobs that the callers share.
const jobCount = 8

type callKind int

const (
	submitCall callKind = iota
	stateCall
	cancelCall
)

type jobCall struct {
	job  int
	kind callKind
}

type jobAnswer struct {
	result gateway.Result
	state  replica.State
}

// States of a job in the model.
const (
	absent = iota
	present
	cancelled
)

// jobModel is the specification of one job. After the answer Undecided, the call may or may not have taken effect.
var jobModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := make([][]porcupine.Operation, jobCount)
		for _, operation := range history {
			job := operation.Input.(jobCall).job
			byJob[job] = append(byJob[job], operation)
		}
		return byJob
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		var after []any
		for _, next := range nextStates(state.(int), input.(jobCall), output.(jobAnswer)) {
			after = append(after, next)
		}
		return after
	},
}

// nextStates returns the states that may follow a call with the given answer; none if the answer is impossible.
func nextStates(state int, call jobCall, answer jobAnswer) []int {
	switch call.kind {
	case submitCall:
		return afterSubmit(state, answer)
	case cancelCall:
		return afterCancel(state, answer)
	default:
		return afterQuery(state, answer)
	}
}

// afterSubmit is nextStates for a submission.
func afterSubmit(state int, answer jobAnswer) []int {
	after := max(state, present)
	switch answer.result {
	case gateway.OK:
		return []int{after}
	case gateway.NotRun:
		return []int{state}
	default:
		return []int{state, after}
	}
}

// afterCancel is nextStates for a cancellation.
func afterCancel(state int, answer jobAnswer) []int {
	switch {
	case answer.result == gateway.NoJob && state == absent, answer.result == gateway.NotRun:
		return []int{state}
	case answer.result == gateway.NoJob:
		return nil
	case answer.result == gateway.OK && state != absent:
		return []int{cancelled}
	case answer.result == gateway.Undecided && state != absent:
		return []int{state, cancelled}
	default:
		return nil
	}
}

// afterQuery is nextStates for a query of the state.
func afterQuery(state int, answer jobAnswer) []int {
	switch {
	case answer.result == gateway.NotRun:
		return []int{state}
	case answer.result == gateway.NoJob && state == absent:
		return []int{state}
	case answer.result == gateway.OK && state != absent && (answer.state != replica.Cancelled || state == cancelled):
		return []int{state}
	default:
		return nil
	}
}

// The answers of several instances must be linearisable for each job, while calls of the store are refused, lose their
// answer or are never answered. A query of the state may miss a recent cancellation, but never an accepted job.
func TestCallersSeeConsistentHistory(t *testing.T) {
	var mu sync.Mutex
	var history []porcupine.Operation
	run(t, 3, 2, func(c *cluster) {
		random := rand.New(rand.NewPCG(1, 2))
		c.inject(func(_, _ string) mock.Fault {
			return []mock.Fault{
				mock.None, mock.None, mock.None, mock.None, mock.Refuse, mock.DropResponse, mock.DropRequest,
			}[random.IntN(7)]
		})
		start := time.Now()
		var callers sync.WaitGroup
		for client := range 6 {
			callerRandom := rand.New(rand.NewPCG(uint64(client), 3))
			callers.Go(func() {
				for range 25 {
					call := jobCall{job: callerRandom.IntN(jobCount), kind: callKind(callerRandom.IntN(3))}
					from := time.Since(start)
					answer := c.perform(call, []string{"i0", "i1", "i2"}[callerRandom.IntN(3)])
					until := time.Since(start)
					if answer.result == gateway.Undecided {
						until = math.MaxInt64 // it may still take effect
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: client, Input: call, Output: answer, Call: from.Nanoseconds(), Return: until.Nanoseconds(),
					})
					mu.Unlock()
					time.Sleep(time.Duration(callerRandom.Int64N(int64(200 * time.Millisecond))))
				}
			})
		}
		callers.Wait()
		c.inject(nil)
	})
	results := map[gateway.Result]int{}
	for _, operation := range history {
		results[operation.Output.(jobAnswer).result]++
	}
	t.Log("answers:", results)
	if results[gateway.OK] == 0 || results[gateway.NotRun] == 0 || results[gateway.NoJob] == 0 {
		t.Errorf("got answers %v, want some OK, NotRun and NoJob", results)
	}
	if !porcupine.CheckOperations(jobModel.ToModel(), history) {
		t.Error("the history is not linearisable")
	}
}

// perform makes a call to an instance.
func (c *cluster) perform(call jobCall, via string) jobAnswer {
	admitted, gw := c.admit(call.job, 2, via)
	switch call.kind {
	case submitCall:
		step := tasks(1, 1, time.Hour)
		c.mu.Lock()
		c.jobs[id(call.job)] = &storev1.Job{Spec: "spec", Steps: []*storev1.Step{step}}
		c.mu.Unlock()
		return jobAnswer{
			result: gw.Submit(context.Background(), admitted, &storev1.Job{Spec: "spec", Steps: []*storev1.Step{step}}).Result,
		}
	case cancelCall:
		return jobAnswer{result: gw.Cancel(context.Background(), admitted).Result}
	default:
		state, answer := gw.State(context.Background(), admitted)
		return jobAnswer{answer.Result, state}
	}
}
