package worker

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrBusy means that the advisor rejected the call because too many calls are waiting.
var ErrBusy = errors.New("the advisor has too many calls waiting: retry later")

// Advice lists the workers that may run a step.
type Advice struct {
	// Tickets maps the id of each permitted worker to the ticket that a Start on it must carry.
	Tickets map[string]string
	// ValidFor is how long the tickets stay valid.
	ValidFor time.Duration
}

// Advisor decides which workers may run the steps of the queues that require advice.
type Advisor interface {
	// Advise returns which of the workers, given by id, may run the step, named job.occurrence.step. It fails with ErrBusy or
	// ErrNoAnswer.
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}
