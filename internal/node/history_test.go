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

// jobsAsked is how many jobs the callers share.
const jobsAsked = 8

// callKind is what a caller does with a job.
type callKind int

const (
	submitCall callKind = iota
	askCall
	cancelCall
)

// jobCall is one call on one job.
type jobCall struct {
	job  int
	kind callKind
}

// jobAnswer is what the caller was told.
type jobAnswer struct {
	result gateway.Result
	state  replica.State
}

// States of a job as its callers see it.
const (
	absent = iota
	present
	cancelled
)

// jobModel is the history of each job. An answer that is undecided leaves open whether the call took effect.
var jobModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := make([][]porcupine.Operation, jobsAsked)
		for _, operation := range history {
			job := operation.Input.(jobCall).job
			byJob[job] = append(byJob[job], operation)
		}
		return byJob
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		var after []any
		for _, next := range step(state.(int), input.(jobCall), output.(jobAnswer)) {
			after = append(after, next)
		}
		return after
	},
}

// step returns the states that may follow a call that was answered so; none if the answer can't be.
func step(state int, call jobCall, answer jobAnswer) []int {
	switch call.kind {
	case submitCall:
		return submitted(state, answer)
	case cancelCall:
		return cancelledBy(state, answer)
	default:
		return asked(state, answer)
	}
}

func submitted(state int, answer jobAnswer) []int {
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

func cancelledBy(state int, answer jobAnswer) []int {
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

func asked(state int, answer jobAnswer) []int {
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

// Callers of several instances see one history of each job, while the store refuses, loses answers and is silent. Asked
// for a state, an instance may be a little behind on a cancel; it is never behind on the job's existence.
func TestCallersSeeOneHistory(t *testing.T) {
	var mu sync.Mutex
	var history []porcupine.Operation
	run(t, 3, 2, func(c *cluster) {
		random := rand.New(rand.NewPCG(1, 2))
		c.inject(func(_, _ string) mock.Fault {
			return []mock.Fault{mock.None, mock.None, mock.None, mock.None, mock.Refuse, mock.DropResponse, mock.DropRequest}[random.IntN(7)]
		})
		begin := time.Now()
		var callers sync.WaitGroup
		for client := range 6 {
			own := rand.New(rand.NewPCG(uint64(client), 3))
			callers.Go(func() {
				for range 25 {
					call := jobCall{job: own.IntN(jobsAsked), kind: callKind(own.IntN(3))}
					from := time.Since(begin)
					answer := c.play(call, []string{"i0", "i1", "i2"}[own.IntN(3)])
					until := time.Since(begin)
					if answer.result == gateway.Undecided {
						until = math.MaxInt64 // it may yet take effect
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: client, Input: call, Output: answer, Call: from.Nanoseconds(), Return: until.Nanoseconds(),
					})
					mu.Unlock()
					time.Sleep(time.Duration(own.Int64N(int64(200 * time.Millisecond))))
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
		t.Errorf("the history shows too little: %v", results)
	}
	if !porcupine.CheckOperations(jobModel.ToModel(), history) {
		t.Error("no order of the calls explains the answers")
	}
}

// play makes a call at an instance.
func (c *cluster) play(call jobCall, via string) jobAnswer {
	admitted, gate := c.call(call.job, 2, via)
	switch call.kind {
	case submitCall:
		work := tasks(1, 1, time.Hour)
		c.mu.Lock()
		c.jobs[id(call.job)] = &storev1.Job{Spec: "spec", Steps: []*storev1.Step{work}}
		c.mu.Unlock()
		return jobAnswer{result: gate.Submit(context.Background(), admitted, &storev1.Job{Spec: "spec", Steps: []*storev1.Step{work}}).Result}
	case cancelCall:
		return jobAnswer{result: gate.Cancel(context.Background(), admitted).Result}
	default:
		state, answer := gate.State(context.Background(), admitted)
		return jobAnswer{answer.Result, state}
	}
}
