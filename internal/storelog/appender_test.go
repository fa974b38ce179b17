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

// appending calls test with a running appender over a store that does what fault says.
func appending(t *testing.T, fault func(call string) mock.Fault, test func(store *mock.Store, appender *storelog.Appender)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := mock.NewStore()
		store.Inject(func(_, call string) mock.Fault { return fault(call) })
		appender := storelog.NewAppender(store.For("i"), "p", 1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- appender.Run(ctx) }()
		test(store, appender)
		cancel()
		if err := <-done; err == nil {
			t.Error("the appender stops without a reason")
		}
		time.Sleep(time.Minute)
	})
}

func submit(appender *storelog.Appender, key string) *storelog.PendingAppend {
	return appender.Submit(storelog.Record{Key: key, Value: []byte("v")})
}

func TestLostAnswersDoNotDoubleRecords(t *testing.T) {
	calls := 0
	appending(t, func(string) mock.Fault {
		calls++
		if calls%2 == 1 {
			return mock.Lose
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
	appending(t, func(string) mock.Fault {
		if refuse.Load() {
			return mock.Refuse
		}
		return mock.None
	}, func(store *mock.Store, appender *storelog.Appender) {
		kept, withdrawn := submit(appender, "kept"), submit(appender, "withdrawn")
		time.Sleep(130 * time.Millisecond)
		if appender.RefusedFor() == 0 {
			t.Error("the appender doesn't tell that the store refuses")
		}
		for !appender.Withdraw(withdrawn) {
			time.Sleep(time.Millisecond)
		}
		refuse.Store(false)
		<-kept.Done()
		time.Sleep(time.Second)
		if records := store.Records(); len(records) != 1 || records[0].Key != "kept" {
			t.Errorf("records %v, want the one that was kept", records)
		}
	})
}

func TestUnansweredRecordsCanNotBeWithdrawn(t *testing.T) {
	appending(t, func(string) mock.Fault { return mock.Silent }, func(_ *mock.Store, appender *storelog.Appender) {
		pending := submit(appender, "a")
		time.Sleep(2 * time.Second)
		if appender.Withdraw(pending) {
			t.Error("a record that may be in the store is withdrawn")
		}
	})
}

func TestStoreThatComesBackIsUsedSoon(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	appending(t, func(string) mock.Fault {
		if silent.Load() {
			return mock.Silent
		}
		return mock.None
	}, func(_ *mock.Store, appender *storelog.Appender) {
		pending := submit(appender, "a")
		time.Sleep(5 * time.Second)
		silent.Store(false)
		back := time.Now()
		<-pending.Done()
		if took := time.Since(back); took > 600*time.Millisecond {
			t.Errorf("the record is stored %v after the store came back", took)
		}
	})
}

func TestFencedProducerStops(t *testing.T) {
	appending(t, func(string) mock.Fault { return mock.None }, func(store *mock.Store, appender *storelog.Appender) {
		first := submit(appender, "a")
		<-first.Done()
		if _, err := store.For("j").Append(context.Background(), storelog.Batch{Producer: "p", Epoch: 2, Records: []storelog.Record{{Key: "b"}}}); err != nil {
			t.Fatal(err)
		}
		second := submit(appender, "c")
		<-second.Done()
		if !errors.Is(second.Err(), storelog.ErrFenced) {
			t.Errorf("a fenced record ends with %v", second.Err())
		}
		third := submit(appender, "d")
		<-third.Done()
		if !errors.Is(third.Err(), storelog.ErrFenced) {
			t.Errorf("a record after the fence ends with %v", third.Err())
		}
	})
}
