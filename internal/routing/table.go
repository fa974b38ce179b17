package routing

import (
	"context"
	"sync"

	"github.com/google/uuid"
)

// Bounds of the ended entries that are kept for retries and for other instances.
const (
	maxEndedEntries = 4096
	maxEndedBytes   = 4 << 20
)

// keyID names a key: accounts can't meet each other's keys.
type keyID struct {
	account string
	key     uuid.UUID
}

// phase is how far a keyed request has come.
type phase uint8

const (
	// phaseUnclaimed: nothing proves what an earlier request with the key did.
	phaseUnclaimed phase = iota
	// phaseFollowing: an earlier claim holds the key; its truth is sought.
	phaseFollowing
	// phaseClaimed: this entry's claim won; nothing is dispatched, or all dispatches proved that they did not run.
	phaseClaimed
	// phaseDispatched: a worker may be running the request.
	phaseDispatched
	// phaseEnded: answer holds the end.
	phaseEnded
)

// entry is a keyed request at this instance.
type entry struct {
	id       keyID
	checksum uint64
	// ctx ends with the deadline of the first caller, or when all callers have left before the dispatch.
	ctx    context.Context
	cancel context.CancelFunc
	// ended is closed when answer is set. With undecided the entry ended before the log decided its claim, so that
	// the answer depends on the caller: see unclaimed.
	ended     chan struct{}
	answer    Answer
	undecided bool
	// freed is closed when the key may be claimed anew at this instance.
	freed chan struct{}

	// The table's lock guards the rest.
	phase phase
	// callers counts the calls that wait for the entry. Nothing is dispatched without one.
	callers int
	// claimed says that this entry's claim won, so that its word on the key is proof for others.
	claimed bool
	// repeat says that the log showed an earlier claim of the key.
	repeat bool
	// free says that freed is closed; a new request then replaces the entry.
	free bool
	// recording says that a record is on its way to the log; the entry is kept until then.
	recording bool
}

// keyTable holds the keyed requests of this instance: those under way and the newest of those that ended.
type keyTable struct {
	mu      sync.Mutex
	entries map[keyID]*entry
	// ended lists the entries that may be forgotten, in the order in which they ended; those whose record is on its
	// way to the log aren't among them.
	ended []*entry
	bytes int
}

func newKeyTable() *keyTable {
	return &keyTable{entries: make(map[keyID]*entry)}
}

// join returns the entry of the key, made by create if there is none or only one whose key is free again.
func (t *keyTable) join(id keyID, create func() *entry) (found *entry, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found = t.entries[id]
	if found == nil || found.free {
		found = create()
		t.entries[id] = found
		created = true
	}
	found.callers++
	return found, created
}

// cancelWaiting ends the waits of all entries that are not dispatched.
func (t *keyTable) cancelWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.phase < phaseDispatched {
			e.cancel()
		}
	}
}

// get returns the entry of the key, or nil.
func (t *keyTable) get(id keyID) *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id]
}

// advance moves an entry to the phase; false means that no caller waits for it any more.
func (t *keyTable) advance(e *entry, to phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if to == phaseClaimed {
		e.claimed = true
	}
	if e.callers == 0 {
		return false
	}
	e.phase = to
	e.repeat = e.repeat || to == phaseFollowing
	return true
}

// leave notes that a caller stops waiting and returns the phase that it leaves the entry in. The last one to leave
// before the dispatch ends the entry's wait.
func (t *keyTable) leave(e *entry) phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.callers--
	if e.phase >= phaseDispatched {
		return e.phase
	}
	if e.callers > 0 {
		// Another caller still waits, so the request may yet run.
		return phaseDispatched
	}
	e.cancel()
	return e.phase
}

// end sets the answer of an entry.
func (t *keyTable) end(e *entry, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked(e, answer)
}

// endUndecided ends an entry without an accepted claim.
func (t *keyTable) endUndecided(e *entry, why *refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.undecided = true
	t.endLocked(e, why.answer(0))
}

func (t *keyTable) endLocked(e *entry, answer Answer) {
	e.answer = answer
	e.phase = phaseEnded
	close(e.ended)
	e.cancel()
	if !e.recording {
		t.retire(e)
	}
}

// retire lets an ended entry be forgotten when newer ones need the room.
func (t *keyTable) retire(e *entry) {
	t.ended = append(t.ended, e)
	t.bytes += len(e.answer.Payload)
	t.trim()
}

// release lets a new request use the key.
func (t *keyTable) release(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.free {
		return
	}
	e.free = true
	close(e.freed)
}

// record notes whether a record of the entry is on its way.
func (t *keyTable) record(e *entry, under bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.recording = under
	if !under && e.phase == phaseEnded {
		t.retire(e)
	}
}

// trim forgets the oldest ended entries beyond the bounds.
func (t *keyTable) trim() {
	for len(t.ended) > maxEndedEntries || t.bytes > maxEndedBytes {
		oldest := t.ended[0]
		t.ended[0] = nil
		t.ended = t.ended[1:]
		t.bytes -= len(oldest.answer.Payload)
		if t.entries[oldest.id] == oldest {
			delete(t.entries, oldest.id)
		}
	}
}

// wonClaim says whether the entry's claim won.
func (t *keyTable) wonClaim(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.claimed
}

// statement returns what an ended entry says to others: its answer, and whether it proves anything.
func (t *keyTable) statement(e *entry) (answer Answer, proof bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.answer, e.claimed || e.answer.Outcome == Done
}
