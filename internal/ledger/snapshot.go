package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	// snapshotVersion is the version of the snapshots that this program writes.
	snapshotVersion = 1
	// chunkBytes is the size of one part of a snapshot, bytes: one append takes one part.
	chunkBytes = 192 << 10
	// chunkPatience is how long the next part of a snapshot may take before its writer is given up.
	chunkPatience = 10 * time.Second
	// maxChunks bounds the parts of a snapshot.
	maxChunks = 1024
)

// Export returns the state and the last offset that it holds, for a peer to Import.
func (r *Replica) Export() (int64, []byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.ready {
		return 0, nil, ErrNoState
	}
	snapshot, err := r.encodeSnapshot()
	return r.offset, snapshot, err
}

// Import takes over a state from a peer, which holds every entry up to and including offset. A state that is
// not newer than the one held is refused with ErrStaleImport.
func (r *Replica) Import(offset int64, snapshot []byte) error {
	return r.restore(offset, snapshot, true)
}

// encodeSnapshot is called with mu held.
func (r *Replica) encodeSnapshot() ([]byte, error) {
	state, err := r.config.Machine.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&apiv1.StreamSnapshot{
		Version:         snapshotVersion,
		TimeUnixMs:      r.clock.millis,
		PendingInstance: r.clock.pendingInstance,
		PendingUnixMs:   r.clock.pendingMillis,
		Marks:           r.marks.export(),
		State:           state,
	})
}

// restore replaces the state by a newer one and tells the subscribers. ready says whether the new state is
// as good as one read to the end of the log.
func (r *Replica) restore(offset int64, data []byte, ready bool) error {
	snapshot := &apiv1.StreamSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return errors.Wrapf(ErrUnknownRecord, "undecodable snapshot (%v)", err)
	}
	if snapshot.Version == 0 || snapshot.Version > ReaderVersion {
		return errors.Wrapf(ErrUnknownRecord, "snapshot version %d, known up to %d", snapshot.Version, ReaderVersion)
	}
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	if err := r.replaceState(offset, snapshot, ready); err != nil {
		return err
	}
	own := importMarks(snapshot.Marks).sequence(keyOf(r.config.Author))
	r.proposals.restored(own)
	r.publish(Event{Offset: offset, Restored: true})
	r.config.Notify(Notice{Kind: NoticeRestored, Stream: r.config.Stream, Offset: offset, Bytes: len(data)})
	return nil
}

func (r *Replica) replaceState(offset int64, snapshot *apiv1.StreamSnapshot, ready bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset <= r.offset {
		return errors.Wrapf(ErrStaleImport, "offered %d, held %d", offset, r.offset)
	}
	if err := r.config.Machine.Restore(snapshot.State); err != nil {
		return errors.Wrap(err, "restore")
	}
	r.marks = importMarks(snapshot.Marks)
	r.clock = clock{
		millis:          snapshot.TimeUnixMs,
		pendingInstance: snapshot.PendingInstance,
		pendingMillis:   snapshot.PendingUnixMs,
	}
	r.offset = offset
	r.ready = ready
	return nil
}

// splitSnapshot cuts a snapshot into the records that carry it.
func splitSnapshot(base int64, data []byte) ([]*apiv1.Record, error) {
	count := (len(data) + chunkBytes - 1) / chunkBytes
	if count > maxChunks {
		return nil, errors.Errorf("snapshot of %d bytes is above %d parts of %d: lower the bounds of the state", len(data), maxChunks, chunkBytes)
	}
	checksum := xxhash.Sum64(data)
	records := make([]*apiv1.Record, 0, count)
	for i := range count {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		records = append(records, &apiv1.Record{Body: &apiv1.Record_SnapshotChunk{SnapshotChunk: &apiv1.SnapshotChunk{
			BaseOffset: base,
			Index:      uint32(i),
			Count:      uint32(count),
			Checksum:   checksum,
			Data:       part,
		}}})
	}
	return records, nil
}

// snapshotID names one attempt at a snapshot.
type snapshotID struct {
	author   authorKey
	base     int64
	checksum uint64
	count    uint32
}

func idOf(author authorKey, chunk *apiv1.SnapshotChunk) snapshotID {
	return snapshotID{author: author, base: chunk.BaseOffset, checksum: chunk.Checksum, count: chunk.Count}
}

// assembly gathers the parts of one snapshot.
type assembly struct {
	parts [][]byte
	have  uint32
}

// add takes one part and reports whether all are there.
func (a *assembly) add(chunk *apiv1.SnapshotChunk) bool {
	if a.parts == nil {
		a.parts = make([][]byte, chunk.Count)
	}
	if a.parts[chunk.Index] == nil {
		a.parts[chunk.Index] = chunk.Data
		a.have++
	}
	return a.have == chunk.Count
}

// join returns the snapshot, or false when its checksum is wrong.
func (a *assembly) join(id snapshotID) ([]byte, bool) {
	var data []byte
	for _, part := range a.parts {
		data = append(data, part...)
	}
	return data, xxhash.Sum64(data) == id.checksum
}

func validChunk(chunk *apiv1.SnapshotChunk) bool {
	return chunk.Count > 0 && chunk.Count <= maxChunks && chunk.Index < chunk.Count && len(chunk.Data) > 0
}

// snapshotTracker notes which snapshots in the log are complete, without their data.
type snapshotTracker struct {
	// base of the newest complete snapshot, -1 for none, and the time of its last part.
	base   int64
	millis int64
	// open is the snapshot that is being written, how many parts were seen in order, and when the last.
	open     snapshotID
	openSeen uint32
	openAt   time.Time
	// firstMillis is the time of the first record that the replica folded.
	firstMillis int64
}

func newSnapshotTracker() snapshotTracker {
	return snapshotTracker{base: noOffset}
}

// note takes one part in log order. A writer sends the parts of a snapshot in order. The part's own time
// counts, so that an old log is known as old, but no time after now.
func (t *snapshotTracker) note(author authorKey, chunk *apiv1.SnapshotChunk, millis int64, now time.Time) {
	if !validChunk(chunk) {
		return
	}
	id := idOf(author, chunk)
	if chunk.Index == 0 {
		t.open, t.openSeen = id, 0
	}
	if id != t.open || chunk.Index != t.openSeen {
		return
	}
	t.openSeen++
	t.openAt = now
	if t.openSeen == chunk.Count && chunk.BaseOffset > t.base {
		t.base, t.millis = chunk.BaseOffset, min(millis, now.UnixMilli())
	}
}

// writing says whether a snapshot is being written by a writer that is not yet given up.
func (t *snapshotTracker) writing(now time.Time) bool {
	return t.openSeen > 0 && t.openSeen < t.open.count && now.Sub(t.openAt) < chunkPatience
}

// noteRecord notes the time of a record that is no part of a snapshot.
func (t *snapshotTracker) noteRecord(millis int64, now time.Time) {
	if t.firstMillis == 0 {
		t.firstMillis = min(millis, now.UnixMilli())
	}
}

// sinceMillis is the time from which the age of the log without a newer snapshot counts; 0 for an
// empty log.
func (t *snapshotTracker) sinceMillis() int64 {
	return max(t.millis, t.firstMillis)
}
