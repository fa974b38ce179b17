package ledger_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// appendTimes notes when appends arrive, and when the last part of a snapshot is stored.
type appendTimes struct {
	platform.Log
	mu        sync.Mutex
	times     []time.Time
	snapshots []time.Time
}

func (a *appendTimes) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	arrived := time.Now()
	offset, err := a.Log.Append(ctx, stream, payload)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, arrived)
	entry, decodeErr := ledger.DecodeEntry(payload)
	if err != nil || decodeErr != nil {
		return offset, err
	}
	for _, record := range entry.Records {
		if chunk := record.GetSnapshotChunk(); chunk != nil && chunk.Index+1 == chunk.Count {
			a.snapshots = append(a.snapshots, time.Now())
		}
	}
	return offset, nil
}

// mostPerSecond is the most appends in any one second.
func (a *appendTimes) mostPerSecond() int {
	most, first := 0, 0
	for last := range a.times {
		for a.times[last].Sub(a.times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestFleetStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, seconds, perSecond = 8, 20, 50
		service := newLog()
		service.SetFaults(logservice.Faults{AppendDelayMillis: 5, LostAfterPermille: 200, LostBeforePermille: 600})
		log := &appendTimes{Log: service}
		var load sync.WaitGroup
		for i := range size {
			budget := ledger.NewBudget(ledger.FleetAppendsPerSecond / size)
			author := &apiv1.Author{Instance: fmt.Sprintf("i%d", i), Incarnation: 1}
			for _, stream := range []string{platform.StreamLedger, platform.StreamClaims} {
				replica := ledger.New(ledger.Config{Log: log, Stream: stream, Author: author, Machine: claims.New(), Budget: budget})
				go func() { _ = replica.Run(t.Context()) }()
				for n := range seconds * perSecond {
					load.Go(func() {
						time.Sleep(time.Duration(n) * time.Second / perSecond)
						// The records are void in this machine; their way is what counts.
						if err := replica.Propose(t.Context(), jobRecord("job")); kindOf(err) != ledger.Malformed {
							t.Errorf("Propose: %v", err)
						}
					})
				}
			}
		}
		time.Sleep(seconds * time.Second)
		service.SetFaults(logservice.Faults{AppendDelayMillis: 5})
		load.Wait()
		log.mu.Lock()
		defer log.mu.Unlock()
		if most := log.mostPerSecond(); most > ledger.FleetAppendsPerSecond || len(log.times) == 0 {
			t.Errorf("%d appends in one second, want at most %d", most, ledger.FleetAppendsPerSecond)
		}
	})
}

func TestOneInstanceWritesEachSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 8
		log := &appendTimes{Log: newLog()}
		var fleet []*testReplica
		for i := range size {
			fleet = append(fleet, startRanked(t, log, fmt.Sprintf("i%d", i), uint64(i), i, size))
		}
		submitAll(t.Context(), fleet, 5)
		began := time.Now()
		// The first in rank dies halfway, not in the instant in which it writes: the log would hold a snapshot
		// that the dead writer no longer tells of.
		time.Sleep(5*retention + time.Second)
		_ = fleet[0].stop()
		time.Sleep(5 * retention)
		log.mu.Lock()
		written := slices.Clone(log.snapshots)
		log.mu.Unlock()
		last := began
		for _, at := range append(written, time.Now()) {
			if age := at.Sub(last); age > retention/4 {
				t.Errorf("the newest snapshot was %v old, want at most a quarter of %v", age, retention)
			}
			last = at
		}
		if most := int(time.Since(began) / (retention / 8)); len(written) > most {
			t.Errorf("%d snapshots, want at most %d: one instance writes each", len(written), most)
		}
	})
}

func TestIdleReplicaReadsRarelyAndKeepsContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, silence = 3600, 4 * time.Second
		log := logservice.New(logservice.Options{})
		a := start(t, log, "a", 1)
		synctest.Wait()
		for range seconds {
			time.Sleep(time.Second)
			if age := time.Since(a.LastContact()); age >= silence {
				t.Fatalf("the last contact of an idle replica is %v old, want below %v", age, silence)
			}
		}
		if calls := log.Counters().ReadCalls; calls > seconds {
			t.Errorf("%d reads in an idle hour, want at most one a second", calls)
		}
		log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(silence + time.Second)
		if age := time.Since(a.LastContact()); age < silence {
			t.Errorf("the last contact is %v old after an outage of %v", age, silence+time.Second)
		}
	})
}

func TestBusyLogCostsFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, appendsPerSecond, readsPerSecond = 10, 100, 40
		log := newLog()
		a := start(t, log, "a", 1)
		synctest.Wait()
		other := &apiv1.Entry{Author: &apiv1.Author{Instance: "x"}, Version: 1}
		for i := range seconds * appendsPerSecond {
			other.Records = []*apiv1.Record{{Sequence: uint64(i + 1), Body: &apiv1.Record_JobCancelled{}}}
			if _, err := log.Append(t.Context(), platform.StreamLedger, encode(t, other)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second / appendsPerSecond)
		}
		if reads := log.Counters().ReadCalls; reads > seconds*readsPerSecond {
			t.Errorf("%d reads in %d s of %d appends a second, want at most %d a second", reads, seconds, appendsPerSecond, readsPerSecond)
		}
		// A proposal ends the pause: its way is the append and the read back.
		began := time.Now()
		if err := a.apply(within(t, time.Second), 0); err != nil || time.Since(began) > 5*time.Millisecond {
			t.Errorf("Propose among the entries of others: %v after %v", err, time.Since(began))
		}
	})
}

func TestLazyRecordsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records, gap = 42, 100 * time.Millisecond
		log := newLog()
		log.SetFaults(logservice.Faults{AppendDelayMillis: 5})
		a := start(t, log, "a", 1)
		var lazy sync.WaitGroup
		for i := range uint64(records) {
			lazy.Go(func() {
				began := time.Now()
				if err := a.ProposeLazily(t.Context(), jobRecord(fmt.Sprint(i))); err != nil || time.Since(began) > time.Second {
					t.Errorf("lazy record: %v after %v", err, time.Since(began))
				}
			})
			time.Sleep(gap)
		}
		lazy.Wait()
		if appends := log.Counters().Appends; appends > records/2 {
			t.Errorf("%d appends of %d lazy records, want at most half as many", appends, records)
		}
	})
}

func TestSheetIsInForceEverywhereWithinFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		var fleet []*testReplica
		for i := range 8 {
			fleet = append(fleet, start(t, log, fmt.Sprintf("i%d", i), uint64(i)))
		}
		synctest.Wait()
		log.SetFaults(logservice.Faults{AppendDelayMillis: 2000, LostAfterPermille: 300})
		for base := range uint64(20) {
			began := time.Now()
			author := fleet[base%8]
			if err := author.apply(within(t, 5*time.Second), base); err != nil {
				t.Fatalf("revision %d: %v", base+1, err)
			}
			synctest.Wait()
			for i, r := range fleet {
				if got := r.revision(); got != base+1 || time.Since(began) > 5*time.Second {
					t.Errorf("i%d at revision %d after %v, want %d", i, got, time.Since(began), base+1)
				}
			}
		}
	})
}

func TestLargeSnapshotLeavesRoomForRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		// The ranks follow so closely that the second's turn comes while the first is writing.
		a := startRanked(t, log, "a", 1, 0, 64)
		startRanked(t, log, "c", 3, 1, 64)
		payload := make([]byte, 100<<10)
		var proposers sync.WaitGroup
		for i := range 40 {
			record := jobRecord(fmt.Sprint(i))
			record.GetJobSubmitted().Spec.Payload = payload
			proposers.Go(func() {
				if err := a.Propose(within(t, time.Minute), record); err != nil {
					t.Error(err)
				}
			})
		}
		proposers.Wait()
		before := log.Counters().Appends
		time.Sleep(retention / 8)
		if err := a.apply(within(t, 2*time.Second), 0); err != nil {
			t.Fatalf("Propose while a snapshot is written: %v", err)
		}
		time.Sleep(time.Minute)
		if parts := log.Counters().Appends - before; parts < 20 || parts >= 40 {
			t.Fatalf("%d appends, want the 4 MB snapshot in parts and once", parts)
		}
		time.Sleep(retention)
		b := start(t, log, "b", 2)
		checkSame(t, a, b)
	})
}

func TestRetentionByNumberNeverLeavesTheLogWithoutASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{MaxEntries: 20})
		a := start(t, log, "a", 1)
		for base := range uint64(100) {
			if err := a.apply(t.Context(), base); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		checkSame(t, a, start(t, log, "b", 2))
	})
}

func TestBadClockAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		good, bad := start(t, log, "good", 1), start(t, log, "bad", 2)
		ahead := jobRecord("ahead")
		ahead.TimeUnixMs = time.Now().AddDate(100, 0, 0).UnixMilli()
		if err := bad.Propose(t.Context(), ahead); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		var stepMillis int64
		good.Subscribe(func(ledger.Event) {
			_, data, _ := good.Export()
			snapshot := &apiv1.StreamSnapshot{}
			if err := proto.Unmarshal(data, snapshot); err != nil {
				t.Error(err)
			}
			stepMillis = snapshot.TimeUnixMs
		})
		if err := good.Propose(t.Context(), jobRecord("after")); err != nil {
			t.Fatal(err)
		}
		if want := time.Now().UnixMilli(); stepMillis > want || stepMillis < want-1000 {
			t.Errorf("the fold's time is %d ms off after one bad clock, want it within a second", stepMillis-want)
		}
	})
}
