package worker

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrBusy means that the advisor takes no more calls at present.
var ErrBusy = errors.New("the advisor has too many calls waiting: ask again later")

// Advice says which workers may run a step.
type Advice struct {
	// Tickets maps the workers that may run it to the ticket that a start there carries.
	Tickets map[string]string
	// ValidFor is how long the tickets are.
	ValidFor time.Duration
}

// Advisor knows which workers may run the steps of some queues. Errors are ErrBusy or ErrNoAnswer.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}
