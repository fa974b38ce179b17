package ledger_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

const retention = 10 * time.Minute

func newLog() *logservice.Service {
	return logservice.New(logservice.Options{Retention: retention, Seed: 1})
}

// cutLog is one replica's way to the log, which a test cuts.
type cutLog struct {
	platform.Log
	cut, cutReads atomic.Bool
}

func (c *cutLog) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	if c.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return c.Log.Append(ctx, stream, payload)
}

func (c *cutLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	if c.cut.Load() || c.cutReads.Load() {
		return nil, platform.ErrUnavailable
	}
	return c.Log.Read(ctx, stream, from, limit, min(wait, time.Second))
}

func jobRecord(id string) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_JobSubmitted{JobSubmitted: &apiv1.JobSubmitted{
		Id:   id,
		Spec: &apiv1.JobSpec{Account: "lounge", DataCentre: "perth-1", Shape: &apiv1.Shape{Members: 1, Accelerators: 1}},
	}}}
}

// submitAll proposes count jobs from each replica at once and returns the errors by job.
func submitAll(ctx context.Context, replicas []*testReplica, count int) map[string]error {
	var mu sync.Mutex
	var proposers sync.WaitGroup
	results := make(map[string]error)
	for i, r := range replicas {
		for j := range count {
			id := fmt.Sprintf("job-%d-%d", i, j)
			proposers.Go(func() {
				err := r.Propose(ctx, jobRecord(id))
				mu.Lock()
				defer mu.Unlock()
				results[id] = err
			})
		}
	}
	proposers.Wait()
	return results
}

// checkSame waits until the replicas have read the same and compares their states.
func checkSame(t *testing.T, replicas ...*testReplica) {
	t.Helper()
	time.Sleep(5 * time.Second)
	offset, want, err := replicas[0].Export()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range replicas[1:] {
		gotOffset, got, err := r.Export()
		if err != nil || gotOffset != offset || !bytes.Equal(got, want) {
			t.Errorf("states differ: offsets %d and %d, %d and %d bytes, error %v", offset, gotOffset, len(want), len(got), err)
		}
	}
}

func TestLostAnswersTakeEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		replicas := []*testReplica{start(t, log, "a", 1), start(t, log, "b", 2)}
		steps := make(map[string]int)
		replicas[0].Subscribe(func(event ledger.Event) { steps[event.Record.GetJobSubmitted().GetId()]++ })
		log.SetFaults(logservice.Faults{LostAfterPermille: 500, LostBeforePermille: 200, AppendDelayMillis: 5})
		for id, err := range submitAll(within(t, time.Minute), replicas, 60) {
			if err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		checkSame(t, replicas...)
		for id, count := range steps {
			if count != 1 {
				t.Errorf("%s was folded %d times", id, count)
			}
		}
		if calls, appends := log.Counters().AppendCalls, len(steps); len(steps) != 120 || calls == 0 {
			t.Errorf("%d jobs folded in %d appends, want 120", appends, calls)
		}
	})
}

func TestWithdrawnDuringOutageIsNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a := start(t, log, "a", 1)
		synctest.Wait()
		log.SetFaults(logservice.Faults{Outage: true})
		if err := a.apply(within(t, 3*time.Second), 0); !errors.Is(err, ledger.ErrNotProposed) {
			t.Fatalf("Propose in an outage: %v, want ErrNotProposed", err)
		}
		log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		if appends := log.Counters().Appends; appends != 0 {
			t.Fatalf("%d appends of a record that was not proposed", appends)
		}
		if err := a.apply(within(t, time.Second), 0); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

func TestLostRecordIsOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a := start(t, log, "a", 1)
		synctest.Wait()
		log.SetFaults(logservice.Faults{LostBeforePermille: 1000})
		if err := a.apply(within(t, 3*time.Second), 0); !errors.Is(err, ledger.ErrOutcomeUnknown) {
			t.Fatalf("Propose without an answer: %v, want ErrOutcomeUnknown", err)
		}
		// An outage after a lost answer does not make it certain that the record never got there.
		log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		log.SetFaults(logservice.Faults{})
		time.Sleep(10 * time.Second)
		if got := a.revision(); got != 1 {
			t.Fatalf("revision %d, want 1: the record is sent until it is there", got)
		}
	})
}

func TestSlowLogBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a := start(t, log, "a", 1)
		synctest.Wait()
		log.SetFaults(logservice.Faults{AppendDelayMillis: 2000})
		began := time.Now()
		for id, err := range submitAll(t.Context(), []*testReplica{a}, 500) {
			if err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		// The first append may go alone; what waited meanwhile shares the next.
		if took, appends := time.Since(began), log.Counters().Appends; took > 5*time.Second || appends > 2 {
			t.Errorf("500 records at 2 s an append took %v and %d appends, want at most 5s and 2", took, appends)
		}
	})
}

func TestFlappingLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		replicas := []*testReplica{start(t, log, "a", 1), start(t, log, "b", 2), start(t, log, "c", 3)}
		var flapping sync.WaitGroup
		flapping.Go(func() {
			for i := range 40 {
				log.SetFaults(logservice.Faults{Outage: i%2 == 0, LostAfterPermille: 300, AppendDelayMillis: 100})
				time.Sleep(1500 * time.Millisecond)
			}
			log.SetFaults(logservice.Faults{})
		})
		for base := range uint64(20) {
			time.Sleep(2 * time.Second)
			if err := replicas[base%3].apply(within(t, time.Minute), base); err != nil {
				t.Errorf("sheet against revision %d: %v", base, err)
			}
		}
		flapping.Wait()
		checkSame(t, replicas...)
	})
}

func TestOutageBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a, b := startRanked(t, log, "a", 1, 0, 2), startRanked(t, log, "b", 2, 1, 2)
		submitAll(t.Context(), []*testReplica{a, b}, 20)
		// What only the instance that dies has read would be lost with the log's entries.
		checkSame(t, a, b)
		log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(3 * retention)
		if !a.Ready() {
			t.Error("a replica with a whole state is not ready in an outage")
		}
		// One instance dies in the outage, the other is rank 1 and republishes.
		_ = a.stop()
		log.SetFaults(logservice.Faults{})
		time.Sleep(10 * time.Second)
		fresh := start(t, log, "c", 3)
		checkSame(t, b, fresh)
		var jobs int
		fresh.View(func() { jobs = len(fresh.state.Jobs(nil)) })
		if jobs != 40 {
			t.Errorf("fresh replica has %d jobs, want 40", jobs)
		}
	})
}

func TestReaderBehindRetentionRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a, cut := start(t, log, "a", 1), &cutLog{Log: log}
		b := startRanked(t, cut, "b", 2, 1, 2)
		submitAll(t.Context(), []*testReplica{a, b}, 3)
		cut.cut.Store(true)
		for i := range 100 {
			time.Sleep(retention / 40)
			if err := a.apply(t.Context(), uint64(i)); err != nil {
				t.Fatal(err)
			}
		}
		restored := 0
		b.Subscribe(func(event ledger.Event) {
			if event.Restored {
				restored++
			}
		})
		if got := b.revision(); got != 0 {
			t.Fatalf("cut replica at revision %d, want 0", got)
		}
		cut.cut.Store(false)
		checkSame(t, a, b)
		if restored != 1 {
			t.Errorf("restored %d times, want once", restored)
		}
	})
}

func TestOutcomeOfARestoredRecordIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		cut := &cutLog{Log: log}
		a, b := start(t, log, "a", 1), startRanked(t, cut, "b", 2, 1, 2)
		submitAll(t.Context(), []*testReplica{a, b}, 1)
		cut.cutReads.Store(true)
		// The read on its way ends.
		time.Sleep(2 * time.Second)
		outcome := make(chan error, 1)
		go func() { outcome <- b.apply(t.Context(), 0) }()
		time.Sleep(2 * retention)
		cut.cutReads.Store(false)
		time.Sleep(10 * time.Second)
		select {
		case err := <-outcome:
			if !errors.Is(err, ledger.ErrOutcomeUnknown) {
				t.Errorf("Propose of a record that a snapshot holds: %v, want ErrOutcomeUnknown", err)
			}
		default:
			t.Error("Propose has not returned")
		}
		checkSame(t, a, b)
	})
}

func TestDamagedSnapshotIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		a := start(t, log, "a", 1)
		submitAll(t.Context(), []*testReplica{a}, 5)
		time.Sleep(2*retention + time.Second)
		damaged := &apiv1.Record{Sequence: 1, Body: &apiv1.Record_SnapshotChunk{SnapshotChunk: &apiv1.SnapshotChunk{
			BaseOffset: a.Offset(), Count: 1, Checksum: 1, Data: []byte("damaged"),
		}}}
		payload := encode(t, &apiv1.Entry{Author: &apiv1.Author{Instance: "x"}, Version: 1, Records: []*apiv1.Record{damaged}})
		if _, err := log.Append(t.Context(), platform.StreamLedger, payload); err != nil {
			t.Fatal(err)
		}
		checkSame(t, a, start(t, log, "b", 2))
	})
}

func TestFreshReplicaNeverStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		cut := &cutLog{Log: log}
		a, behind := start(t, log, "a", 1), start(t, cut, "c", 3)
		synctest.Wait()
		cut.cut.Store(true)
		// The read on its way ends.
		time.Sleep(2 * time.Second)
		submitAll(t.Context(), []*testReplica{a}, 5)
		offset, snapshot, err := a.Export()
		if err != nil {
			t.Fatal(err)
		}
		_ = a.stop()
		time.Sleep(2 * retention)
		fresh := start(t, log, "b", 2)
		cut.cut.Store(false)
		time.Sleep(time.Minute)
		if fresh.Ready() || behind.Ready() {
			t.Fatal("ready although the log has dropped entries and holds no snapshot")
		}
		if err := fresh.apply(within(t, time.Second), 0); !errors.Is(err, ledger.ErrNotProposed) {
			t.Fatalf("Propose without a state: %v, want ErrNotProposed", err)
		}
		if err := fresh.Import(offset, snapshot); err != nil {
			t.Fatal(err)
		}
		if err := fresh.apply(within(t, time.Second), 0); err != nil {
			t.Fatalf("Propose after Import: %v", err)
		}
		if err := fresh.Import(offset, snapshot); !errors.Is(err, ledger.ErrStaleImport) {
			t.Fatalf("second Import of an old state: %v, want ErrStaleImport", err)
		}
	})
}

func TestRestartOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &appendTimes{Log: newLog()}
		const size = 8
		var fleet []*testReplica
		for i := range size {
			fleet = append(fleet, startRanked(t, log, fmt.Sprintf("i%d", i), uint64(i), i, size))
		}
		submitAll(within(t, time.Minute), fleet, 5)
		// Each life is shorter than the earliest snapshot of an eighth of the retention.
		for life := range 10 * size {
			i := life % size
			_ = fleet[i].stop()
			fleet[i] = startRanked(t, log, fmt.Sprintf("i%d", i), uint64(size+life), i, size)
			time.Sleep(retention / 10 / size)
			if err := fleet[i].apply(within(t, time.Minute), uint64(life)); err != nil {
				t.Fatalf("life %d: %v", life, err)
			}
			if life == 3*size {
				log.mu.Lock()
				if len(log.snapshots) == 0 {
					t.Errorf("no snapshot after more than a quarter of the retention")
				}
				log.mu.Unlock()
			}
		}
		checkSame(t, fleet...)
		var jobs int
		fleet[0].View(func() { jobs = len(fleet[0].state.Jobs(nil)) })
		if revision := fleet[0].revision(); jobs != 5*size || revision != 10*size {
			t.Errorf("%d jobs at revision %d, want %d at %d", jobs, revision, 5*size, 10*size)
		}
	})
}

func TestUnknownRecordsStopTheFold(t *testing.T) {
	newer := []byte{0xfa, 0x07, 0x00} // field 127 of a record: a kind that this program does not know
	entries := map[string][]byte{
		"newer version": encode(t, &apiv1.Entry{Author: &apiv1.Author{Instance: "new"}, Version: ledger.ReaderVersion + 1}),
		"unknown kind":  append(encode(t, &apiv1.Entry{Author: &apiv1.Author{Instance: "new"}, Version: 1}), 0x1a, byte(len(newer)), newer[0], newer[1], newer[2]),
		"not an entry":  {0xff, 0xff},
	}
	for name, payload := range entries {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newLog()
				a := start(t, log, "a", 1)
				if err := a.apply(t.Context(), 0); err != nil {
					t.Fatal(err)
				}
				if _, err := log.Append(t.Context(), platform.StreamLedger, payload); err != nil {
					t.Fatal(err)
				}
				if err := a.result(); !errors.Is(err, ledger.ErrUnknownRecord) {
					t.Fatalf("Run ended with %v, want ErrUnknownRecord", err)
				}
				if a.Ready() || a.Offset() != 0 || a.revision() != 1 {
					t.Errorf("ready %v, offset %d, revision %d after the stop, want false, 0, 1", a.Ready(), a.Offset(), a.revision())
				}
			})
		})
	}
}
