// Package trial asks requests and jobs of a running system as its callers do, and checks the answers
// and what the stand-in workers ran against the promises of the system.
package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Result is what a caller learned of a request.
type Result string

// Results of a request.
const (
	Done    Result = "done"
	NotRun  Result = "not run"
	Unknown Result = "unknown"
	// Lost means that no instance gave an answer in time.
	Lost Result = "lost"
	// Foreign means that the answer is not that of the request.
	Foreign Result = "foreign"
)

const (
	// requestTimeout is how long one call waits.
	requestTimeout = 5 * time.Second
	// patience is how long a caller keeps asking.
	patience = 25 * time.Second
	// slowMillis is the least time that a slow request takes.
	slowMillis = 400
	// repeatEvery and repeatAt choose the requests that are asked through two instances at once.
	repeatEvery = 8
	repeatAt    = 1
	// pause is the time between two calls for one request.
	pause = 200 * time.Millisecond
)

// classes in the order of the table.
var classes = []string{"urgent", "ordinary", "patient"}

// Outcome is one request and what its caller learned.
type Outcome struct {
	Class      string
	Idempotent bool
	Payload    string
	Result     Result
	// Detail is the error or the foreign answer.
	Detail string
	// Calls counts the calls to instances.
	Calls int
	Took  time.Duration
	// Repeated says that the request was asked again through another instance before it was answered.
	Repeated bool
	// Cuts are the calls whose connection broke after it was made.
	Cuts []Cut
}

// Cut is a call whose connection broke.
type Cut struct {
	// Address of the instance, IP:port.
	Address string
	// From and To are when the call began and when it broke.
	From, To time.Time
}

// Config is what a trial needs.
type Config struct {
	// Callers are the callers' addresses of the instances, IP:port.
	Callers []string
	// Token of the client account.
	Token string
	// Requests is how many are asked.
	Requests int
	// PerSecond is how many are asked a second.
	PerSecond int
	// UnderFaults makes work that faults can meet: half of the requests take a while, some are asked through two
	// instances at once, and some jobs outlast a few lease terms.
	UnderFaults bool
	Seed        uint64
}

// Requests asks all requests, each through another instance, and returns when all are answered or lost.
func Requests(ctx context.Context, config Config) []Outcome {
	outcomes := make([]Outcome, config.Requests)
	random := rand.New(rand.NewPCG(config.Seed, 0)) //nolint:gosec // Not a secret.
	ticker := time.NewTicker(time.Second / time.Duration(config.PerSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	for i := range outcomes {
		c := &caller{config: config, next: random.IntN(len(config.Callers))}
		outcomes[i] = Outcome{
			Class:      classes[i%len(classes)],
			Idempotent: i%2 == 0,
			Payload:    config.payload(i),
			Repeated:   config.UnderFaults && i%repeatEvery == repeatAt,
		}
		running.Go(func() { c.ask(ctx, &outcomes[i]) })
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	running.Wait()
	return outcomes
}

// payload returns the payload of a request, which no other request of the trial has.
func (c Config) payload(number int) string {
	if c.UnderFaults && number/2%2 == 0 {
		return fmt.Sprintf("sleep:%d", slowMillis+number/4*2+number%2)
	}
	return fmt.Sprintf("trial %d request %d", c.Seed, number)
}

// caller asks one request.
type caller struct {
	config Config
	next   int
}

// address returns the callers' address of the next instance.
func (c *caller) address() string {
	address := c.config.Callers[c.next%len(c.config.Callers)]
	c.next++
	return address
}

// instance returns the client of the next instance.
func (c *caller) instance() *client.Client {
	return client.New(c.address(), c.config.Token)
}

// WasCut reports whether a call failed after its connection was made: not an answer, and not a refused connection.
func WasCut(err error) bool {
	var problem *client.ProblemError
	var operation *net.OpError
	if err == nil || errors.As(err, &problem) {
		return false
	}
	return !errors.As(err, &operation) || operation.Op != "dial"
}

// ask calls one instance after another until the outcome is known.
func (c *caller) ask(ctx context.Context, outcome *Outcome) {
	started := time.Now()
	defer func() { outcome.Took = time.Since(started) }()
	key, err := uuid.NewV7()
	if err != nil {
		outcome.Result, outcome.Detail = Lost, err.Error()
		return
	}
	request := client.Request{
		Key:        key.String(),
		Class:      outcome.Class,
		Idempotent: outcome.Idempotent,
		Timeout:    requestTimeout,
		Payload:    []byte(outcome.Payload),
	}
	if outcome.Repeated {
		repeat := request
		repeat.Retry = true
		var repeated sync.WaitGroup
		other := c.config.Callers[(c.next+1)%len(c.config.Callers)]
		repeated.Go(func() { c.repeat(ctx, other, repeat) })
		defer repeated.Wait()
	}
	for time.Since(started) < patience && ctx.Err() == nil {
		outcome.Calls++
		callContext, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
		address := c.address()
		began := time.Now()
		answer, err := client.New(address, c.config.Token).Request(callContext, request)
		cancel()
		if WasCut(err) {
			outcome.Cuts = append(outcome.Cuts, Cut{Address: address, From: began, To: time.Now()})
		}
		if c.settle(outcome, answer, err) {
			return
		}
		request.Retry = true
		time.Sleep(pause)
	}
	if outcome.Result == "" {
		outcome.Result = Lost
	}
}

// repeat asks the request once more through the instance at the address; what it answers is not looked at.
func (c *caller) repeat(ctx context.Context, address string, request client.Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	_, _ = client.New(address, c.config.Token).Request(ctx, request)
}

// settle notes an answer and reports whether it is final.
func (c *caller) settle(outcome *Outcome, answer client.Answer, err error) bool {
	var problem *client.ProblemError
	switch {
	case err == nil && strings.HasSuffix(string(answer.Payload), ": "+outcome.Payload):
		outcome.Result = Done
		return true
	case err == nil:
		outcome.Result, outcome.Detail = Foreign, string(answer.Payload)
		return true
	case errors.As(err, &problem):
		outcome.Detail = err.Error()
		return settleProblem(outcome, problem.Problem)
	default:
		outcome.Detail = err.Error()
		return false
	}
}

// settleProblem notes an error answer. Without a key an unknown outcome can be asked again.
func settleProblem(outcome *Outcome, problem *apiv1.Problem) bool {
	switch problem.Outcome {
	case apiv1.Outcome_OUTCOME_DONE:
		outcome.Result = Done
		return true
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		outcome.Result = NotRun
		return problem.RetryAfterMs == 0 && problem.Status < 500
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		outcome.Result = Unknown
		return !outcome.Idempotent && problem.Kind == "unknown"
	default:
		return false
	}
}
