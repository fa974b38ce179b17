package routing

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// Replica is the part of a ledger.Replica of the claims stream that LedgerClaims needs.
type Replica interface {
	// Propose appends a record and returns its outcome; see ledger.Replica.
	Propose(ctx context.Context, record *apiv1.Record) error
	// ProposeLazily is Propose for a record that nobody waits for.
	ProposeLazily(ctx context.Context, record *apiv1.Record) error
	// View calls read while the table doesn't change.
	View(read func())
}

// LedgerClaims is the table of idempotency keys in the claims stream of the log. It implements Claims.
type LedgerClaims struct {
	replica  Replica
	table    *claims.Table
	instance string
}

var _ Claims = (*LedgerClaims)(nil)

// NewLedgerClaims returns the claims of an instance. The table is the replica's machine.
func NewLedgerClaims(replica Replica, table *claims.Table, instance string) *LedgerClaims {
	return &LedgerClaims{replica: replica, table: table, instance: instance}
}

// Claim implements Claims.
func (l *LedgerClaims) Claim(ctx context.Context, account string, key uuid.UUID, checksum uint64) (ClaimState, error) {
	claimed := &apiv1.KeyClaimed{Key: key[:], Account: account, RequestChecksum: checksum}
	err := l.replica.Propose(ctx, &apiv1.Record{Body: &apiv1.Record_KeyClaimed{KeyClaimed: claimed}})
	rejection, err := splitRejection(err)
	if err != nil {
		return ClaimState{}, err
	}
	if rejection == nil {
		return ClaimState{Status: ClaimOurs, Checksum: checksum, Holder: l.instance}, nil
	}
	switch rejection.Kind {
	case ledger.KeyTaken, ledger.KeyMismatch:
		return l.Lookup(account, key), nil
	case ledger.KeyExpired:
		return ClaimState{Status: ClaimExpired}, nil
	default:
		return ClaimState{}, errors.Wrap(ErrClaimNotMade, rejection.Message)
	}
}

// Release implements Claims.
func (l *LedgerClaims) Release(ctx context.Context, account string, key uuid.UUID) error {
	released := &apiv1.KeyReleased{Key: key[:], Account: account}
	err := l.replica.ProposeLazily(ctx, &apiv1.Record{Body: &apiv1.Record_KeyReleased{KeyReleased: released}})
	_, err = splitRejection(err)
	return err
}

// Done implements Claims.
func (l *LedgerClaims) Done(ctx context.Context, account string, key uuid.UUID, end ClaimEnd) error {
	done := &apiv1.KeyDone{Key: key[:], Account: account}
	if end.AnswerKept {
		packed, err := packAnswer(end)
		if err != nil {
			return err
		}
		done.Answer = packed
		done.AnswerKept = true
	}
	err := l.replica.ProposeLazily(ctx, &apiv1.Record{Body: &apiv1.Record_KeyDone{KeyDone: done}})
	_, err = splitRejection(err)
	return err
}

// Lookup implements Claims.
func (l *LedgerClaims) Lookup(account string, key uuid.UUID) ClaimState {
	var claim claims.Claim
	var held, expired bool
	l.replica.View(func() {
		claim, held = l.table.Lookup(account, claims.Key(key))
		expired = claims.Key(key).Millis() < l.table.FloorMillis()
	})
	switch {
	case held:
		return stateOf(claim)
	case expired:
		return ClaimState{Status: ClaimExpired}
	default:
		return ClaimState{Status: ClaimFree}
	}
}

func stateOf(claim claims.Claim) ClaimState {
	state := ClaimState{Status: ClaimHeld, Checksum: claim.RequestChecksum, Holder: claim.HolderInstance}
	if !claim.Done {
		return state
	}
	state.Status = ClaimDone
	if !claim.AnswerKept {
		return state
	}
	kept := &apiv1.PeerAnswerReply{}
	if err := proto.Unmarshal(claim.Answer, kept); err != nil {
		return state
	}
	state.Answer, state.AnswerKept, state.Failed = kept.GetPayload(), true, kept.GetFailed()
	return state
}

// packAnswer encodes an answer together with the mark of a failed run.
func packAnswer(end ClaimEnd) ([]byte, error) {
	packed, err := proto.Marshal(&apiv1.PeerAnswerReply{
		State:   apiv1.AnswerState_ANSWER_STATE_DONE,
		Payload: end.Answer,
		Failed:  end.Failed,
	})
	if err != nil {
		return nil, errors.Wrap(err, "pack the answer")
	}
	return packed, nil
}

// splitRejection tells the fold's refusal, which is an outcome, from the lack of an outcome.
func splitRejection(err error) (*ledger.Rejection, error) {
	var rejection *ledger.Rejection
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &rejection):
		return rejection, nil
	case errors.Is(err, ledger.ErrNotProposed):
		return nil, errors.Wrap(ErrClaimNotMade, err.Error())
	default:
		return nil, errors.Wrap(ErrClaimUnknown, err.Error())
	}
}
