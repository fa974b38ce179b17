// Package worker defines the interfaces to workers, to the machines that host them and to advisors, with their messages
// and errors.
//
// A worker runs all its tasks under one lease and reports each finished task until the report is acknowledged. It refuses
// orders whose fencing token is lower than the highest that it has seen. It can't be relied on to refuse tasks
// that exceed its free resources: the scheduler must know what runs on a worker before it orders a start.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

// ErrNoAnswer means that no valid answer arrived; the order may still take effect, now or seconds later.
var ErrNoAnswer = errors.New("no valid answer: repeat the order or wait until the lease expires")

// Refusal is the reason why a worker refused an order.
type Refusal int

// Reasons for a refusal.
const (
	// RefusedFence: the worker has seen a higher fencing token, so the sender is no longer the owner.
	RefusedFence Refusal = iota + 1
	// RefusedOldRun: a run of the task with the same or a higher number has ended on the worker.
	RefusedOldRun
	// RefusedLeaseExpired: the lease in the order had expired when the order arrived.
	RefusedLeaseExpired
	// RefusedCapacity: the task doesn't fit on the worker.
	RefusedCapacity
	// RefusedTicket: the order carries no valid ticket.
	RefusedTicket
	// RefusedInvalid: the worker can't decode the order.
	RefusedInvalid
	// RefusedUnhealthy: the worker accepts no orders at present.
	RefusedUnhealthy
	// RefusedIncarnation: another incarnation answers at the address.
	RefusedIncarnation
)

// String returns the name of the refusal for log lines.
func (r Refusal) String() string {
	names := map[Refusal]string{
		RefusedFence: "fence", RefusedOldRun: "old run", RefusedLeaseExpired: "late", RefusedCapacity: "room", RefusedTicket: "ticket",
		RefusedInvalid: "invalid", RefusedUnhealthy: "unhealthy", RefusedIncarnation: "incarnation",
	}
	return names[r]
}

// RefusedError reports that a worker refused an order; the order had no effect.
type RefusedError struct{ Refusal Refusal }

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the worker refused the order (%s): plan again", e.Refusal)
}

// RegistryEntry describes a worker in the platform's registry.
type RegistryEntry struct {
	ID string
	// StartedAtMs is the start time of the incarnation that wrote the entry, as in Reply; 0 if the entry doesn't contain it.
	StartedAtMs int64
	Service     string
	Address     string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    *storev1.Resources
	Draining    bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
}

// Target is the worker that an order is for: its id, and its address as host:port.
type Target struct {
	ID      string
	Address string
}

// Start orders a worker to run one task.
type Start struct {
	// Task is the name of the task, or of one member of a gang: job.occurrence.step.index.
	Task       string
	Run        uint32
	Spec       string
	Checkpoint string
	Ticket     string
	Fence      int64
	// LeaseEndMs is the end of the lease on the worker's clock.
	LeaseEndMs int64
}

// Stop orders a worker to end one run of a task.
type Stop struct {
	Task  string
	Run   uint32
	Fence int64
}

// Pace limits a run to a percentage of its full speed; 0 suspends it.
type Pace struct {
	Task    string
	Run     uint32
	Percent int
	Fence   int64
}

// Poll renews the lease of all runs on a worker, acknowledges finished tasks and asks for a Report, as a long poll.
type Poll struct {
	Fence int64
	// Acknowledged is the highest FinishedTask.Number that the worker no longer needs to report.
	Acknowledged int64
	// LeaseEndMs is the new end of the lease on the worker's clock; 0 leaves the lease as it is.
	LeaseEndMs int64
	// Wait is how long the worker waits for a task to finish before it answers.
	Wait time.Duration
}

// Reply holds the fields that every answer of a worker has.
type Reply struct {
	// ClockMs is the time on the worker's clock.
	ClockMs int64
	// StartedAtMs is the start time of the worker's incarnation on that clock, which identifies the incarnation; 0 if the
	// answer doesn't contain it.
	StartedAtMs int64
}

// RunningTask is a run in progress in a Report.
type RunningTask struct {
	Task       string
	Run        uint32
	Checkpoint string
	// Percent is the progress of the run, from 0 to 100.
	Percent float64
	// Load is the tail latency in ms if the task serves requests, otherwise the millicores in use.
	Load float64
}

// FinishReason is the reason why a run ended.
type FinishReason string

// Reasons why runs end. Done completes the task and Failed counts as a failed attempt; the others count as neither.
// GangIncomplete means that the other members of the gang did not start in time.
const (
	Done           FinishReason = "done"
	Failed         FinishReason = "failed"
	Stopped        FinishReason = "stopped"
	LeaseExpired   FinishReason = "lapsed"
	Broken         FinishReason = "broken"
	GangIncomplete FinishReason = "alone"
)

// FinishedTask is a run that ended. A worker reports it until it is acknowledged.
type FinishedTask struct {
	// Number increases with each run that ends on the worker's incarnation.
	Number     int64
	Task       string
	Run        uint32
	Reason     FinishReason
	Checkpoint string
}

// Report is the answer to a Poll: the runs in progress, and the finished ones that have not been acknowledged.
type Report struct {
	Reply
	Running  []RunningTask
	Finished []FinishedTask
}

// Client sends orders to workers. Every method fails with ErrNoAnswer or a *RefusedError.
type Client interface {
	Start(ctx context.Context, target Target, order Start) (Reply, error)
	Stop(ctx context.Context, target Target, order Stop) (Reply, error)
	Poll(ctx context.Context, target Target, order Poll) (Report, error)
	Pace(ctx context.Context, target Target, order Pace) (Reply, error)
}
