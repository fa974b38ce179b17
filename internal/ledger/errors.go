package ledger

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Sentinel errors of Propose and Run.
var (
	// ErrNotProposed means that the record was never sent: it is certainly not in the log.
	ErrNotProposed = errors.New("the record was not proposed: try again when the log service answers")
	// ErrOutcomeUnknown means that the record may or may not be in the log.
	ErrOutcomeUnknown = errors.New("the record was sent and its outcome is not known: read the state before trying again")
	// ErrUnknownRecord means that the log holds something this program does not read.
	ErrUnknownRecord = errors.New("the log holds a record that this program does not know: replace the instance by the newer version that wrote it")
	// ErrLogBroken means that the log broke its promise of one order without gaps.
	ErrLogBroken = errors.New("the log service lost or reordered entries: have its operators restore the stream")
	// ErrStaleImport means that the offered state is not newer than the one held.
	ErrStaleImport = errors.New("the offered state is not newer than the state held: keep the state held")
	// ErrNoState means that there is no complete state to hand out.
	ErrNoState = errors.New("the replica has no complete state yet: ask another instance")
)

// RecordTooLargeError reports a record above MaxRecordBytes. It was not proposed.
type RecordTooLargeError struct {
	Bytes int
}

// Error names the sizes and the remedy.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("the record has %d bytes and the log takes %d: make the sheet or payload smaller", e.Bytes, MaxRecordBytes)
}

// Unwrap tells that the record was not proposed.
func (e *RecordTooLargeError) Unwrap() error {
	return ErrNotProposed
}

// Kind is why the fold rejected a record.
type Kind int

// Kinds of rejection.
const (
	// Malformed records lack or contradict something whatever the state is.
	Malformed Kind = iota + 1
	// StaleRevision: another sheet was accepted first.
	StaleRevision
	// StaleEpoch: the epoch is not the current one, or not the next one for a takeover.
	StaleEpoch
	// NotOwner: the author does not own the data centre.
	NotOwner
	// Duplicate: the id is taken.
	Duplicate
	// Unknown: there is no such job, key or run.
	Unknown
	// WrongState: the job or key is not in a state that allows the change.
	WrongState
	// Occupied: an accelerator is taken.
	Occupied
	// KeyTaken: another request holds the key.
	KeyTaken
	// KeyMismatch: the key was used for another request.
	KeyMismatch
	// KeyExpired: the key is older than the table.
	KeyExpired
	// NotHolder: the author does not hold the key.
	NotHolder
	// Full: a bound of the state is reached.
	Full
)

// Rejection is the fold's refusal of a record. It is the same at every reader.
type Rejection struct {
	Kind    Kind
	Message string
}

// Reject returns a rejection whose message says what is wrong and names the remedy.
func Reject(kind Kind, format string, arguments ...any) *Rejection {
	return &Rejection{Kind: kind, Message: fmt.Sprintf(format, arguments...)}
}

// Error returns the message.
func (r *Rejection) Error() string {
	return r.Message
}

// NoticeKind is what a Notice tells.
type NoticeKind int

// Kinds of notice.
const (
	// NoticeLogLost: the log stopped answering.
	NoticeLogLost NoticeKind = iota + 1
	// NoticeLogBack: the log answers again.
	NoticeLogBack
	// NoticeRestored: the state was taken from a snapshot or a peer.
	NoticeRestored
	// NoticeNoSnapshot: the log has no usable snapshot; the replica waits for one or for a peer's state.
	NoticeNoSnapshot
	// NoticeSnapshotWritten: this replica wrote a snapshot.
	NoticeSnapshotWritten
	// NoticeSnapshotFailed: a snapshot was not written or not usable.
	NoticeSnapshotFailed
	// NoticeStopped: the fold stopped for good.
	NoticeStopped
)

// Notice tells an operator of a change in a replica's standing.
type Notice struct {
	Kind   NoticeKind
	Stream string
	Offset int64
	// Bytes of the snapshot, when one was written or restored.
	Bytes int
	Err   error
}
