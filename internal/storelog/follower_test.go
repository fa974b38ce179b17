package storelog_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// collector keeps the newest value of each key.
type collector struct {
	mu     sync.Mutex
	values map[string]string
	ready  int
}

func (c *collector) Apply(records []storelog.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		c.values[record.Key] = string(record.Value)
	}
}

func (c *collector) Ready() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready++
}

func (c *collector) value(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

// following calls test with a running follower of a store.
func following(t *testing.T, wait time.Duration, test func(store *mock.Store, seen *collector)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		store, seen := mock.NewStore(), &collector{values: map[string]string{}}
		for i := range 120 {
			store.Put(fmt.Sprintf("early %03d", i), []byte("v"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		follower := storelog.NewFollower(store.For("i"), seen, storelog.FollowOptions{Name: "test", Wait: wait}, events.Discard())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		test(store, seen)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestFollowerStartsWithTheNewestOfEachKey(t *testing.T) {
	following(t, time.Second, func(_ *mock.Store, seen *collector) {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		if len(seen.values) != 120 || seen.ready == 0 {
			t.Errorf("%d keys after the start, want 120 on several pages", len(seen.values))
		}
	})
}

// A read whose connection went silent must not hide a record for longer than the time in which it has to be in force.
func TestSilentReadHidesARecordOnlyBriefly(t *testing.T) {
	const inForce = 2 * time.Second
	following(t, inForce*45/100, func(store *mock.Store, seen *collector) {
		var hang atomic.Bool
		hang.Store(true)
		store.Inject(func(_, call string) mock.Fault {
			if call == "read" && hang.CompareAndSwap(true, false) {
				return mock.Silent
			}
			return mock.None
		})
		for hang.Load() {
			time.Sleep(time.Millisecond)
		}
		store.Put("config", []byte("new"))
		time.Sleep(inForce - 100*time.Millisecond)
		if got := seen.value("config"); got != "new" {
			t.Errorf("the record is hidden after %v", inForce)
		}
	})
}

func TestForgottenHistoryIsReadAsTheNewestOfEachKey(t *testing.T) {
	following(t, time.Second, func(store *mock.Store, seen *collector) {
		store.Inject(func(_, call string) mock.Fault {
			if call == "read" {
				return mock.Refuse
			}
			return mock.None
		})
		time.Sleep(2 * time.Second)
		store.Put("late", []byte("v"))
		store.Trim()
		store.Inject(nil)
		time.Sleep(2 * time.Second)
		if seen.value("late") != "v" {
			t.Error("a record of the forgotten history is missing")
		}
	})
}

// slowReader takes a while to take records in.
type slowReader struct{ *collector }

func (r slowReader) Apply(records []storelog.Record) {
	time.Sleep(20 * time.Millisecond)
	r.collector.Apply(records)
}

// What was stored before the call is with the reader after it.
func TestCurrentWaitsForTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, seen := mock.NewStore(), &collector{values: map[string]string{}}
		ctx, cancel := context.WithCancel(context.Background())
		follower := storelog.NewFollower(store.For("i"), slowReader{seen}, storelog.FollowOptions{
			Name: "test", Wait: time.Second, ReadInterval: func() time.Duration { return 200 * time.Millisecond },
		}, events.Discard())
		go follower.Run(ctx)
		for i := range 50 {
			time.Sleep(37 * time.Millisecond)
			key := fmt.Sprintf("key %d", i)
			store.Put(key, []byte("v"))
			if err := follower.CatchUp(ctx); err != nil {
				t.Fatal(err)
			}
			if seen.value(key) == "" {
				t.Errorf("%s is stored and not with the reader", key)
			}
		}
		store.Inject(func(_, _ string) mock.Fault { return mock.Silent })
		if follower.CatchUp(ctx) == nil {
			t.Error("a reader is current although the store is silent")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
