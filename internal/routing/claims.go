package routing

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Errors of Claims and Holder.
var (
	// ErrClaimNotMade means that the record certainly did not and will not enter the log.
	ErrClaimNotMade = errors.New("the record did not reach the log: wait for the log service and retry with the same key")
	// ErrClaimUnknown means that the record may be in the log or may still enter it.
	ErrClaimUnknown = errors.New("the log's answer was lost: retry with the same key to learn the truth")
)

// ClaimStatus is what the log says of a key.
type ClaimStatus uint8

// Statuses of a key.
const (
	// ClaimFree is a key that nobody holds.
	ClaimFree ClaimStatus = iota
	// ClaimOurs is a key that the claim just made holds. Only Claim returns it.
	ClaimOurs
	// ClaimHeld is a key that an earlier claim holds, of this or another instance, with no end recorded.
	ClaimHeld
	// ClaimDone is a key whose request ended.
	ClaimDone
	// ClaimExpired is a key older than the window of the table.
	ClaimExpired
)

// ClaimState is a key in log order.
type ClaimState struct {
	Status ClaimStatus
	// Checksum of the request that holds the key; valid when held or done.
	Checksum uint64
	// Holder is the instance that holds the key; valid when held or done.
	Holder string
	// Answer is valid when AnswerKept.
	Answer     []byte
	AnswerKept bool
	// Failed says that the answer is the error that the request ended in.
	Failed bool
}

// Claims is the table of idempotency keys in the log.
type Claims interface {
	// Claim proposes to hold the key and returns the state that its record met in log order: ClaimOurs only
	// if this very call's claim won. Errors wrap ErrClaimNotMade or ErrClaimUnknown.
	Claim(ctx context.Context, account string, key uuid.UUID, checksum uint64) (ClaimState, error)
	// Release makes a key held by this incarnation free again; a nil error means that it is free, or
	// that it wasn't held by this incarnation. Errors wrap ErrClaimNotMade or ErrClaimUnknown.
	Release(ctx context.Context, account string, key uuid.UUID) error
	// Done records the end of a held key. Errors wrap ErrClaimNotMade or ErrClaimUnknown.
	Done(ctx context.Context, account string, key uuid.UUID, end ClaimEnd) error
	// Lookup returns the state as far as this instance has read the log.
	Lookup(account string, key uuid.UUID) ClaimState
}

// ClaimEnd is the recorded end of a request.
type ClaimEnd struct {
	// Answer is kept when AnswerKept.
	Answer     []byte
	AnswerKept bool
	Failed     bool
}

// Holder reaches the instance that holds a key.
type Holder interface {
	// Answer asks the instance what became of the key and lets it wait for the end. An error means that
	// the instance could not be asked. The other side is Router.Answer.
	Answer(ctx context.Context, instance, account string, key uuid.UUID, wait time.Duration) (*apiv1.PeerAnswerReply, error)
}
