package worker

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of Machines, besides ErrNoAnswer, after which the order may still take effect.
var (
	// ErrMachineFenced means that the machine has received an order with a higher fencing token.
	ErrMachineFenced = errors.New("a higher fencing token was used for the machine: send it no more orders")
	// ErrMachineBusy means that the machine can't carry out the order in its present state.
	ErrMachineBusy = errors.New("the machine can't carry out the order in its present state: read its state again")
	// ErrNoMachine means that the platform has no machine of that id.
	ErrNoMachine = errors.New("the machine does not exist: skip it")
)

// Machine is a host that runs at most one worker.
type Machine struct {
	ID string
	// Worker is the id of its worker, empty while it has none.
	Worker string
	// Up is true if the machine is in service: neither moving, nor down, nor under upkeep.
	Up bool
	// Upkeep is true while the machine is down for upkeep.
	Upkeep bool
}

// UpkeepOrder takes a machine down for upkeep. Everything that runs on it ends at once.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder is the name of the instance that sends the order, and Fence its fencing token.
	Holder string
	Fence  int64
}

// Machines lists the machines of the platform and orders their upkeep.
type Machines interface {
	// List returns all machines of the platform.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for upkeep.
	Upkeep(ctx context.Context, order UpkeepOrder) error
}
