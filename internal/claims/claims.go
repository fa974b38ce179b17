// Package claims folds the claims stream: the idempotency keys of non-idempotent requests.
//
// The first claim of a key in log order wins, whichever instance the request or its retry reached. A
// request is dispatched only by the holder of its key. The table is bounded by the time that a key
// carries: a key from before the table's floor is refused for ever, so forgetting a key never lets its
// request run again. Keys are apart for each client account.
package claims

import (
	"bytes"
	"cmp"
	"encoding/hex"

	"github.com/google/btree"
	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// Bounds of the table. They are part of the fold: all instances must have the same.
const (
	// WindowMillis is how long a key is kept after its own time, milliseconds.
	WindowMillis = 10 * 60 * 1000
	// MaxAheadMillis is how far a key's time may be ahead of the clock of the instance that claims it,
	// milliseconds.
	MaxAheadMillis = 60 * 1000
	// MaxKeys bounds the keys; beyond it the oldest are dropped and the floor rises.
	MaxKeys = 32_768
	// MaxAnswerBytes bounds an answer that is kept, bytes.
	MaxAnswerBytes = 1 << 10
	// MaxAnswersBytes bounds all answers that are kept, bytes; beyond it the oldest are dropped, their
	// keys stay done.
	MaxAnswersBytes = 4 << 20
	// MaxAccountBytes bounds the name of a client account, bytes.
	MaxAccountBytes = 128
	// keyBytes is the length of a UUID, and keyVersion the version that carries a time.
	keyBytes   = 16
	keyVersion = 7
)

// Key is an idempotency key, a UUIDv7.
type Key [keyBytes]byte

// ParseKey returns a key from its bytes. The rejection names the remedy.
func ParseKey(data []byte) (Key, *ledger.Rejection) {
	id, err := uuid.FromBytes(data)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ledger.Reject(ledger.Malformed, "the idempotency key is no UUIDv7: make a new one of version 7 for each request")
	}
	return Key(id), nil
}

// Millis is the time in the key, Unix milliseconds.
func (k Key) Millis() int64 {
	const millisBytes = 6
	millis := int64(0)
	for _, b := range k[:millisBytes] {
		millis = millis<<8 | int64(b)
	}
	return millis
}

// String returns the key in hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// Claim is what the table holds of a key.
type Claim struct {
	// HolderInstance and HolderIncarnation are who claimed the key and alone may dispatch its request.
	HolderInstance    string
	HolderIncarnation uint64
	RequestChecksum   uint64
	Done              bool
	// Answer of a done request, when AnswerKept. It must not be changed.
	Answer     []byte
	AnswerKept bool
}

// entryKey orders the table by the time in the key, which a UUIDv7 starts with.
type entryKey struct {
	key     Key
	account string
}

func lessEntry(a, b entryKey) bool {
	return cmp.Or(bytes.Compare(a.key[:], b.key[:]), cmp.Compare(a.account, b.account)) < 0
}

// Table is the ledger.Machine of the claims stream. Its accessors are called in Replica.View or from a
// subscriber of the replica.
type Table struct {
	// floorMillis: keys of an earlier time are refused.
	floorMillis int64
	claims      map[entryKey]*Claim
	// order has every key, and answered those whose answer is kept.
	order        *btree.BTreeG[entryKey]
	answered     *btree.BTreeG[entryKey]
	answersBytes int
}

var _ ledger.Machine = (*Table)(nil)

// btreeDegree is the fan-out of the ordered indexes.
const btreeDegree = 16

// New returns an empty table.
func New() *Table {
	return &Table{
		claims:   make(map[entryKey]*Claim),
		order:    btree.NewG(btreeDegree, lessEntry),
		answered: btree.NewG(btreeDegree, lessEntry),
	}
}

// Lookup returns what is held of a client account's key.
func (t *Table) Lookup(account string, key Key) (Claim, bool) {
	claim := t.claims[entryKey{key: key, account: account}]
	if claim == nil {
		return Claim{}, false
	}
	return *claim, true
}

// FloorMillis is the time before which keys are refused as expired, Unix milliseconds.
func (t *Table) FloorMillis() int64 {
	return t.floorMillis
}

// Len is the number of keys held.
func (t *Table) Len() int {
	return len(t.claims)
}

// Apply changes the table by one record or returns a *ledger.Rejection. Time passes with every record.
func (t *Table) Apply(step ledger.Step, record *apiv1.Record) error {
	t.expire(step.TimeMillis - WindowMillis)
	if rejection := t.apply(step, record); rejection != nil {
		return rejection
	}
	return nil
}

func (t *Table) apply(step ledger.Step, record *apiv1.Record) *ledger.Rejection {
	switch body := record.Body.(type) {
	case *apiv1.Record_KeyClaimed:
		return t.claim(step, record.TimeUnixMs, body.KeyClaimed)
	case *apiv1.Record_KeyReleased:
		return t.release(step, body.KeyReleased)
	case *apiv1.Record_KeyDone:
		return t.done(step, body.KeyDone)
	default:
		return ledger.Reject(ledger.Malformed, "a record of kind %T does not belong to the claims stream: append it to its own stream", record.Body)
	}
}

// claim binds a free key to the author.
func (t *Table) claim(step ledger.Step, authorMillis int64, claimed *apiv1.KeyClaimed) *ledger.Rejection {
	key, rejection := ParseKey(claimed.Key)
	if rejection != nil {
		return rejection
	}
	if claimed.Account == "" || len(claimed.Account) > MaxAccountBytes {
		return ledger.Reject(ledger.Malformed, "the client account has %d bytes: use 1 to %d", len(claimed.Account), MaxAccountBytes)
	}
	if key.Millis() < t.floorMillis {
		return ledger.Reject(ledger.KeyExpired, "key %s is too old: its request may have run; ask for its result by other means and use a new key for a new request", key)
	}
	if key.Millis() > authorMillis+MaxAheadMillis {
		return ledger.Reject(ledger.KeyExpired, "key %s is from the future: set the caller's clock", key)
	}
	id := entryKey{key: key, account: claimed.Account}
	held := t.claims[id]
	if held == nil {
		if rejection := t.makeRoom(key); rejection != nil {
			return rejection
		}
		t.claims[id] = &Claim{
			HolderInstance:    step.Author.GetInstance(),
			HolderIncarnation: step.Author.GetIncarnation(),
			RequestChecksum:   claimed.RequestChecksum,
		}
		t.order.ReplaceOrInsert(id)
		return nil
	}
	if held.RequestChecksum != claimed.RequestChecksum {
		return ledger.Reject(ledger.KeyMismatch, "key %s was used for another request: use a new key for each request", key)
	}
	return ledger.Reject(ledger.KeyTaken, "key %s is held by %s: its holder has the answer", key, held.HolderInstance)
}

// makeRoom drops the oldest keys of a full table, unless the new key is among them.
func (t *Table) makeRoom(key Key) *ledger.Rejection {
	if len(t.claims) < MaxKeys {
		return nil
	}
	oldest, _ := t.order.Min()
	if key.Millis() <= oldest.key.Millis() {
		return ledger.Reject(ledger.Full, "the table holds %d newer keys: send fewer non-idempotent requests, with new keys", len(t.claims))
	}
	t.expire(oldest.key.Millis() + 1)
	return nil
}

// release makes a key free again; only its holder can, and only before the request is done.
func (t *Table) release(step ledger.Step, released *apiv1.KeyReleased) *ledger.Rejection {
	id, claim, rejection := t.held(step, released.Account, released.Key)
	if rejection != nil {
		return rejection
	}
	if claim.Done {
		return ledger.Reject(ledger.WrongState, "key %s is done: it cannot be released", id.key)
	}
	t.drop(id)
	return nil
}

// done keeps the answer of a request, when it is small enough.
func (t *Table) done(step ledger.Step, done *apiv1.KeyDone) *ledger.Rejection {
	id, claim, rejection := t.held(step, done.Account, done.Key)
	if rejection != nil {
		return rejection
	}
	if claim.Done {
		return ledger.Reject(ledger.WrongState, "key %s is done already: the first answer stands", id.key)
	}
	claim.Done = true
	if !done.AnswerKept || len(done.Answer) > MaxAnswerBytes {
		return nil
	}
	t.keepAnswer(id, claim, done.Answer)
	return nil
}

func (t *Table) keepAnswer(id entryKey, claim *Claim, answer []byte) {
	claim.Answer, claim.AnswerKept = answer, true
	t.answersBytes += len(answer)
	t.answered.ReplaceOrInsert(id)
	for t.answersBytes > MaxAnswersBytes {
		oldest, _ := t.answered.Min()
		t.dropAnswer(oldest)
	}
}

// held returns the claim of a key that the author holds.
func (t *Table) held(step ledger.Step, account string, data []byte) (entryKey, *Claim, *ledger.Rejection) {
	key, rejection := ParseKey(data)
	if rejection != nil {
		return entryKey{}, nil, rejection
	}
	id := entryKey{key: key, account: account}
	claim := t.claims[id]
	if claim == nil {
		return id, nil, ledger.Reject(ledger.Unknown, "key %s is not claimed: it never was, was released or has expired", key)
	}
	if claim.HolderInstance != step.Author.GetInstance() || claim.HolderIncarnation != step.Author.GetIncarnation() {
		return id, nil, ledger.Reject(ledger.NotHolder, "key %s is held by %s: only its holder may end it", key, claim.HolderInstance)
	}
	return id, claim, nil
}

// expire raises the floor and drops the keys below it. The floor never sinks.
func (t *Table) expire(floorMillis int64) {
	if floorMillis <= t.floorMillis {
		return
	}
	t.floorMillis = floorMillis
	for t.order.Len() > 0 {
		oldest, _ := t.order.Min()
		if oldest.key.Millis() >= t.floorMillis {
			return
		}
		t.drop(oldest)
	}
}

func (t *Table) drop(id entryKey) {
	t.dropAnswer(id)
	delete(t.claims, id)
	t.order.Delete(id)
}

func (t *Table) dropAnswer(id entryKey) {
	claim := t.claims[id]
	if !claim.AnswerKept {
		return
	}
	t.answersBytes -= len(claim.Answer)
	claim.Answer, claim.AnswerKept = nil, false
	t.answered.Delete(id)
}
