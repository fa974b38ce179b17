// Package worker holds what the scheduler knows and asks of workers.
//
// A worker runs tasks under one lease for all of them and keeps each end until it was acknowledged. It obeys the highest
// fencing token that it has seen. It doesn't guard its room: whoever orders a start must know what runs there.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

// ErrNoAnswer means that an order may take effect, now or seconds later.
var ErrNoAnswer = errors.New("the worker did not answer: repeat the order or wait for the end of the lease")

// Refusal is why a worker did nothing.
type Refusal int

// Refusals.
const (
	// RefusedFence: a higher fencing token was used. The one who ordered is no longer the owner.
	RefusedFence Refusal = iota + 1
	// RefusedOldRun: a run that is not lower ended there.
	RefusedOldRun
	// RefusedLeaseExpired: the lease in the order had passed.
	RefusedLeaseExpired
	// RefusedCapacity: the task doesn't fit.
	RefusedCapacity
	// RefusedTicket: the order lacks a ticket that is still valid.
	RefusedTicket
	// RefusedInvalid: the worker can't read the order.
	RefusedInvalid
	// RefusedUnhealthy: the worker takes no orders at present.
	RefusedUnhealthy
	// RefusedIncarnation: another incarnation answers at the address.
	RefusedIncarnation
)

// String names the refusal in log lines.
func (r Refusal) String() string {
	names := map[Refusal]string{
		RefusedFence: "fence", RefusedOldRun: "old run", RefusedLeaseExpired: "late", RefusedCapacity: "room", RefusedTicket: "ticket",
		RefusedInvalid: "invalid", RefusedUnhealthy: "unhealthy", RefusedIncarnation: "incarnation",
	}
	return names[r]
}

// RefusedError is the answer of a worker that did nothing.
type RefusedError struct{ Refusal Refusal }

// Error names the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the worker refused the order (%s): decide again", e.Refusal)
}

// RegistryEntry is what a worker says of itself in the platform's list.
type RegistryEntry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   *storev1.Resources
	Draining   bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
}

// Target is whom an order is for.
type Target struct {
	ID      string
	Address string
}

// Start orders one task to run.
type Start struct {
	Task       string
	Run        uint32
	Spec       string
	Checkpoint string
	Ticket     string
	Fence      int64
	// LeaseEndMs is the end of the lease on the worker's clock.
	LeaseEndMs int64
}

// Stop orders one run to end.
type Stop struct {
	Task  string
	Run   uint32
	Fence int64
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Task    string
	Run     uint32
	Percent int
	Fence   int64
}

// Poll renews the lease of all that runs on a worker, acknowledges ends and asks what runs.
type Poll struct {
	Fence int64
	// Acknowledged is the number of the newest end that the worker may forget.
	Acknowledged int64
	// LeaseEndMs is the new end of the lease on the worker's clock; 0 leaves it.
	LeaseEndMs int64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Reply is what every answer of a worker says of the worker.
type Reply struct {
	ClockMs int64
	// StartedAtMs is 0 if the answer didn't say.
	StartedAtMs int64
}

// RunningTask is a run that a worker lists.
type RunningTask struct {
	Task       string
	Run        uint32
	Checkpoint string
	// Percent is the work done.
	Percent float64
	// Load is the tail latency in ms of a task that serves, else the millicores in use.
	Load float64
}

// FinishReason is the way in which a run ended.
type FinishReason string

// Ends of runs.
const (
	Done           FinishReason = "done"
	Failed         FinishReason = "failed"
	Stopped        FinishReason = "stopped"
	LeaseExpired   FinishReason = "lapsed"
	Broken         FinishReason = "broken"
	GangIncomplete FinishReason = "alone"
)

// FinishedTask is an end that a worker keeps until it is acknowledged.
type FinishedTask struct {
	Number     int64
	Task       string
	Run        uint32
	Reason     FinishReason
	Checkpoint string
}

// Report is the answer to a Hold.
type Report struct {
	Reply
	Running  []RunningTask
	Finished []FinishedTask
}

// Client gives orders to workers. Errors are ErrNoAnswer or a *RefusedError.
type Client interface {
	Start(ctx context.Context, target Target, order Start) (Reply, error)
	Stop(ctx context.Context, target Target, order Stop) (Reply, error)
	Poll(ctx context.Context, target Target, order Poll) (Report, error)
	Pace(ctx context.Context, target Target, order Pace) (Reply, error)
}
