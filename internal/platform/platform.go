// Package platform names what the scheduler takes from the platform it runs on: the log service,
// the instance list and the workers. Each is an interface with one HTTP client in this package and
// one small stand-in in package standin.
//
// The guarantees of the scheduler lean on these promises and on no others:
//
//   - Log: an append that took effect has one offset for ever; every reader sees the entries of a
//     stream in offset order without gaps, or gets ErrTrimmed. An append whose answer was lost may
//     or may not have taken effect.
//   - InstanceList: nothing is promised but that it is right in the end.
//   - Worker: a lease ends at the latest one term after the worker received its last renewal; a call
//     with an epoch below the highest one seen for the data centre is refused; RENEW prolongs a lease
//     once a round, START and CLAIM prolong nothing; a refusal of a request is proof that it did not run.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Streams of the log service.
const (
	// StreamLedger holds configuration, jobs, placements, owners and verdicts.
	StreamLedger = "ledger"
	// StreamClaims holds the keys of non-idempotent requests.
	StreamClaims = "claims"
)

// MaxEntryBytes bounds the payload of one append, bytes.
const MaxEntryBytes = 256 << 10

// Sentinel errors of the platform's services.
var (
	// ErrUnavailable means that the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("the platform service is unavailable: wait for it or ask its operators")
	// ErrUnknownEffect means that the call may or may not have taken effect.
	ErrUnknownEffect = errors.New("the answer was lost: read the log to learn whether the call took effect")
)

// TrimmedError reports a read below the oldest offset still kept.
type TrimmedError struct {
	Stream string
	From   int64
	Oldest int64
}

// Error names the offsets and the remedy.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is no longer kept (oldest is %d): restore a snapshot", e.Stream, e.From, e.Oldest)
}

// Log is the append-only log service.
type Log interface {
	// Append adds payload to the stream and returns its offset. Errors wrap ErrUnavailable or ErrUnknownEffect.
	Append(ctx context.Context, stream string, payload []byte) (int64, error)
	// Read returns entries from the offset on, at most limit. With none there it waits up to wait for one.
	// A read below the oldest offset returns a *TrimmedError; an outage wraps ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error)
}

// InstanceList is the platform's list of live and leaving machines.
type InstanceList interface {
	// Fetch returns the list. Errors wrap ErrUnavailable.
	Fetch(ctx context.Context) (*apiv1.InstanceList, error)
}

// Worker is one back end.
type Worker interface {
	// Run runs a short request. An error wraps ErrUnavailable when the request was certainly not sent,
	// else ErrUnknownEffect.
	Run(ctx context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error)
	// Lease reserves, starts, renews, stops, checkpoints or throttles tasks.
	Lease(ctx context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error)
	// Usage returns the worker's lagging report.
	Usage(ctx context.Context) (*apiv1.UsageReport, error)
}

// Workers reaches workers by address.
type Workers interface {
	// Worker returns the back end at an IP:port. It does not connect.
	Worker(address string) Worker
}
