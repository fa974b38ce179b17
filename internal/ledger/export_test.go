package ledger

import apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"

// FoldEntry folds one entry without a log.
func (r *Replica) FoldEntry(offset int64, payload []byte) error {
	return r.foldEntry(&apiv1.LogEntry{Offset: offset, Payload: payload})
}

// EncodeState returns a snapshot of the state, ready or not.
func (r *Replica) EncodeState() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.encodeSnapshot()
}

// TimeMillis is the fold's time.
func (r *Replica) TimeMillis() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.clock.millis
}

// Marks is the number of authors that are remembered.
func (r *Replica) Marks() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.marks.byAuthor)
}

// MaxMarks bounds Marks, give or take what comes between two prunings.
const MaxMarks = maxMarks + pruneEvery
