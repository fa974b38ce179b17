package ledger_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func newFold() *ledger.Replica {
	return ledger.New(ledger.Config{Stream: platform.StreamLedger, Author: &apiv1.Author{Instance: "reader"}, Machine: state.New()})
}

// author is one proposer and what it has sent.
type author struct {
	id       *apiv1.Author
	sequence uint64
	sent     [][]byte
}

// draw returns the payload of the author's next entry, or of an earlier one that is delivered again.
func (a *author) draw(t *rapid.T) []byte {
	if len(a.sent) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return rapid.SampledFrom(a.sent).Draw(t, "repeat")
	}
	entry := &apiv1.Entry{Author: a.id, Version: 1}
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		a.sequence++
		base := rapid.Uint64Range(0, 5).Draw(t, "base")
		record := rapid.SampledFrom([]*apiv1.Record{
			sheetRecord(base, a.id.Instance),
			jobRecord(fmt.Sprint("job", base)),
			{Body: &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: fmt.Sprint("job", base)}}},
			{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: "perth-1", Epoch: base}}},
		}).Draw(t, "record")
		record.Sequence = a.sequence
		record.TimeUnixMs = rapid.Int64Range(0, 1_000_000).Draw(t, "time")
		entry.Records = append(entry.Records, record)
	}
	payload, err := proto.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	a.sent = append(a.sent, payload)
	return payload
}

// TestAnyInterleavingAndSnapshotGiveTheSameState folds one log with repeats at any place in three ways: whole,
// without the repeats, and from a snapshot taken anywhere. The states are the same, and time never goes back.
func TestAnyInterleavingAndSnapshotGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		authors := []*author{
			{id: &apiv1.Author{Instance: "a", Incarnation: 1}},
			{id: &apiv1.Author{Instance: "a", Incarnation: 2}},
			{id: &apiv1.Author{Instance: "b", Incarnation: 1}},
		}
		whole, single, late := newFold(), newFold(), newFold()
		length := rapid.Int64Range(1, 30).Draw(rt, "entries")
		snapshotAt := rapid.Int64Range(0, length-1).Draw(rt, "snapshot at")
		seen := map[string]bool{}
		singles, last := int64(0), int64(0)
		for offset := range length {
			payload := rapid.SampledFrom(authors).Draw(rt, "author").draw(rt)
			fold(rt, whole, offset, payload)
			if offset > snapshotAt {
				fold(rt, late, offset, payload)
			}
			if !seen[string(payload)] {
				fold(rt, single, singles, payload)
				singles++
			}
			seen[string(payload)] = true
			if offset == snapshotAt {
				if err := late.Import(offset, encodeState(rt, whole)); err != nil {
					rt.Fatal(err)
				}
			}
			if now := whole.TimeMillis(); now < last {
				rt.Fatalf("the fold's time went back from %d to %d", last, now)
			}
			last = whole.TimeMillis()
		}
		want := encodeState(rt, whole)
		if !bytes.Equal(want, encodeState(rt, late)) {
			rt.Fatal("the state from a snapshot differs")
		}
		if !bytes.Equal(want, encodeState(rt, single)) {
			rt.Fatal("the state with repeats differs from that without")
		}
	})
}

func fold(t rapid.TB, replica *ledger.Replica, offset int64, payload []byte) {
	if err := replica.FoldEntry(offset, payload); err != nil {
		t.Fatal(err)
	}
}

func encodeState(t rapid.TB, replica *ledger.Replica) []byte {
	data, err := replica.EncodeState()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestGapStopsTheFold(t *testing.T) {
	payload := encode(t, &apiv1.Entry{Author: &apiv1.Author{Instance: "a"}, Version: 1, Records: []*apiv1.Record{jobRecord("job")}})
	replica := newFold()
	fold(t, replica, 0, payload)
	if err := replica.FoldEntry(2, payload); !errors.Is(err, ledger.ErrLogBroken) || replica.Offset() != 0 {
		t.Errorf("entry 2 after entry 0: %v at offset %d, want ErrLogBroken at 0", err, replica.Offset())
	}
}

func TestAuthorMarksAreBounded(t *testing.T) {
	replica := newFold()
	for i := range 3 * ledger.MaxMarks {
		entry := &apiv1.Entry{Author: &apiv1.Author{Instance: fmt.Sprint("i", i%8), Incarnation: uint64(i)}, Version: 1}
		entry.Records = []*apiv1.Record{{Sequence: 1, TimeUnixMs: int64(1 + i), Body: &apiv1.Record_JobCancelled{}}}
		fold(t, replica, int64(i), encode(t, entry))
	}
	if marks := replica.Marks(); marks > ledger.MaxMarks {
		t.Errorf("%d authors are remembered, want at most %d", marks, ledger.MaxMarks)
	}
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add(encode(f, &apiv1.Entry{Author: &apiv1.Author{Instance: "a"}, Version: 1, Records: []*apiv1.Record{jobRecord("job")}}))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		entry, err := ledger.DecodeEntry(payload)
		if err != nil {
			return
		}
		replica := newFold()
		fold(t, replica, 0, payload)
		before := encodeState(t, replica)
		fold(t, replica, 1, encode(t, entry))
		if !bytes.Equal(before, encodeState(t, replica)) {
			t.Error("an entry that was decoded and encoded again is no repeat")
		}
	})
}
