package storelog_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// withAppender calls test with a running appender and its store. The store injects the fault that fault returns for each
// call.
func withAppender(t *testing.T, fault func(call string) mock.Fault, test func(store *mock.Store, appender *storelog.Appender)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := mock.NewStore()
		store.InjectFaults(func(_, call string) mock.Fault { return fault(call) })
		appender := storelog.NewAppender(store.ForInstance("i"), "p", 1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- appender.Run(ctx) }()
		test(store, appender)
		cancel()
		if err := <-done; err == nil {
			t.Error("the appender stopped without an error")
		}
		time.Sleep(time.Minute)
	})
}

// refuseWhile returns a fault that refuses all calls while refuse is true.
func refuseWhile(refuse *atomic.Bool) func(string) mock.Fault {
	return func(string) mock.Fault {
		if refuse.Load() {
			return mock.Refuse
		}
		return mock.None
	}
}

func submit(appender *storelog.Appender, key string) *storelog.PendingAppend {
	return appender.Submit(storelog.Record{Key: key, Value: []byte("v")})
}

func TestLostAnswersDoNotDuplicateRecords(t *testing.T) {
	calls := 0
	withAppender(t, func(string) mock.Fault {
		calls++
		if calls%2 == 1 {
			return mock.DropResponse
		}
		return mock.None
	}, func(store *mock.Store, appender *storelog.Appender) {
		for _, key := range []string{"a", "b", "c", "d"} {
			pending := submit(appender, key)
			<-pending.Done()
			if err := pending.Err(); err != nil {
				t.Errorf("record %s: %v", key, err)
			}
		}
		if records := store.Records(); len(records) != 4 {
			t.Errorf("%d records, want 4: %v", len(records), records)
		}
	})
}

func TestRefusedRecordsCanBeWithdrawn(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	withAppender(t, refuseWhile(&refuse), func(store *mock.Store, appender *storelog.Appender) {
		kept, withdrawn := submit(appender, "kept"), submit(appender, "withdrawn")
		time.Sleep(130 * time.Millisecond)
		if appender.RefusedFor() == 0 {
			t.Error("RefusedFor returns 0 while the store refuses")
		}
		for !appender.Withdraw(withdrawn) {
			time.Sleep(time.Millisecond)
		}
		refuse.Store(false)
		<-kept.Done()
		time.Sleep(time.Second)
		if records := store.Records(); len(records) != 1 || records[0].Key != "kept" {
			t.Errorf("records %v, want only the one that was not withdrawn", records)
		}
	})
}

// Over a link of 10 Mbit/s, a batch of 1 MB and its repeats took longer than an attempt may, and records that had queued up during
// an outage were never stored.
func TestBacklogIsStoredOverSlowLink(t *testing.T) {
	const bytesPerSecond, count, size = 10_000_000 / 8, 1000, 4 << 10
	var refuse atomic.Bool
	refuse.Store(true)
	withAppender(t, refuseWhile(&refuse), func(store *mock.Store, appender *storelog.Appender) {
		store.LimitBandwidth(bytesPerSecond)
		var last *storelog.PendingAppend
		for range count {
			last = appender.Submit(storelog.Record{Key: "k", Value: make([]byte, size)})
		}
		time.Sleep(time.Second)
		refuse.Store(false)
		select {
		case <-last.Done():
		case <-time.After(3 * count * size * time.Second / bytesPerSecond):
			t.Errorf("%d of %d records are stored after three times the time that the link needs", len(store.Records()), count)
		}
	})
}

func TestUnansweredRecordsCannotBeWithdrawn(t *testing.T) {
	withAppender(t, func(string) mock.Fault { return mock.DropRequest }, func(_ *mock.Store, appender *storelog.Appender) {
		pending := submit(appender, "a")
		time.Sleep(2 * time.Second)
		if appender.Withdraw(pending) {
			t.Error("a record that may be in the store was withdrawn")
		}
	})
}

func TestRecoveredStoreIsUsedSoon(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	withAppender(t, func(string) mock.Fault {
		if silent.Load() {
			return mock.DropRequest
		}
		return mock.None
	}, func(_ *mock.Store, appender *storelog.Appender) {
		pending := submit(appender, "a")
		time.Sleep(5 * time.Second)
		silent.Store(false)
		recoveredAt := time.Now()
		<-pending.Done()
		if took := time.Since(recoveredAt); took > 600*time.Millisecond {
			t.Errorf("the record was stored %v after the store recovered, want at most 600ms", took)
		}
	})
}

func TestFencedProducerStops(t *testing.T) {
	withAppender(t, func(string) mock.Fault { return mock.None }, func(store *mock.Store, appender *storelog.Appender) {
		first := submit(appender, "a")
		<-first.Done()
		if _, err := store.ForInstance("j").Append(context.Background(), storelog.Batch{
			Producer: "p", Epoch: 2, Records: []storelog.Record{{Key: "b"}},
		}); err != nil {
			t.Fatal(err)
		}
		second := submit(appender, "c")
		<-second.Done()
		if !errors.Is(second.Err(), storelog.ErrFenced) {
			t.Errorf("a record of a fenced producer ended with %v, want ErrFenced", second.Err())
		}
		third := submit(appender, "d")
		<-third.Done()
		if !errors.Is(third.Err(), storelog.ErrFenced) {
			t.Errorf("a record submitted after the fence ended with %v, want ErrFenced", third.Err())
		}
	})
}
