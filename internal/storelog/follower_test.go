package storelog_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// collector is a Reader that keeps the latest value of each key.
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

// withFollower calls test with a store of 120 keys and the collector of a follower that has run for a second.
func withFollower(t *testing.T, wait time.Duration, test func(store *mock.Store, reader *collector)) {
	t.Helper()
	withOptions(t, storelog.FollowOptions{Name: "test", Wait: wait}, test)
}

// withOptions is withFollower for a follower with the options.
func withOptions(t *testing.T, options storelog.FollowOptions, test func(store *mock.Store, reader *collector)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		store, reader := mock.NewStore(), &collector{values: map[string]string{}}
		for i := range 120 {
			store.Put(fmt.Sprintf("early %03d", i), []byte("v"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		follower := storelog.NewFollower(store.ForInstance("i"), reader, options, events.Discard())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		test(store, reader)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestFollowerStartsWithLatestOfEachKey(t *testing.T) {
	withFollower(t, time.Second, func(_ *mock.Store, reader *collector) {
		reader.mu.Lock()
		defer reader.mu.Unlock()
		if len(reader.values) != 120 || reader.ready == 0 {
			t.Errorf("%d keys after the start, want 120 from several pages, and Ready called", len(reader.values))
		}
	})
}

// A configuration must be in force within inForce of being written, even if the connection of a read goes silent.
func TestSilentReadDelaysRecordOnlyBriefly(t *testing.T) {
	const inForce = 2 * time.Second
	withFollower(t, inForce*45/100, func(store *mock.Store, reader *collector) {
		var silenceNext atomic.Bool
		silenceNext.Store(true)
		store.InjectFaults(func(_, call string) mock.Fault {
			if call == "read" && silenceNext.CompareAndSwap(true, false) {
				return mock.DropRequest
			}
			return mock.None
		})
		for silenceNext.Load() {
			time.Sleep(time.Millisecond)
		}
		store.Put("config", []byte("new"))
		time.Sleep(inForce - 100*time.Millisecond)
		if got := reader.value("config"); got != "new" {
			t.Errorf("the record has not arrived after %v", inForce)
		}
	})
}

// Over a link of 10 Mbit/s, the records of an outage don't arrive within the time in which the store answers: each read was
// abandoned and started again at the same offset, and the configuration of the instance never changed again.
func TestFollowerCatchesUpOverSlowLink(t *testing.T) {
	const bytesPerSecond, outage, inForce = 10_000_000 / 8, 6 * time.Second, 2 * time.Second
	withFollower(t, time.Second, func(store *mock.Store, reader *collector) {
		store.LimitBandwidth(bytesPerSecond)
		store.InjectFaults(func(string, string) mock.Fault { return mock.Refuse })
		putConfigs(store, outage, 10<<10)
		store.InjectFaults(nil)
		want := putConfigs(store, inForce, 10<<10)
		putConfigs(store, inForce, 10<<10)
		if got := strings.TrimSpace(reader.value("config")); got < want {
			t.Errorf("%v after the outage, the reader has the configuration of %q, want at least that of %s", 2*inForce, got, want)
		}
	})
}

// Versions of a large configuration that are written faster than a link carries them came into force later and later.
func TestLatestConfigurationIsReadAheadOfOlderOnes(t *testing.T) {
	const bytesPerSecond, inForce = 10_000_000 / 8, 2 * time.Second
	options := storelog.FollowOptions{Name: "test", Wait: time.Second, LatestOnly: true}
	withOptions(t, options, func(store *mock.Store, reader *collector) {
		store.LimitBandwidth(bytesPerSecond)
		putConfigs(store, 20*time.Second, 100<<10)
		want := putConfigs(store, time.Second, 100<<10)
		putConfigs(store, inForce, 100<<10)
		if got := strings.TrimSpace(reader.value("config")); got < want {
			t.Errorf("%v later the reader has the configuration of %s, want at least that of %s", inForce, got, want)
		}
	})
}

// putConfigs writes a configuration of the given size every 50 ms and returns the last one, which is the time of its write.
func putConfigs(store *mock.Store, duration time.Duration, size int) (last string) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		last = strconv.FormatInt(time.Now().UnixMilli(), 10)
		store.Put("config", []byte(last+strings.Repeat(" ", size)))
	}
	return last
}

func TestTrimmedHistoryIsReadAsLatestOfEachKey(t *testing.T) {
	withFollower(t, time.Second, func(store *mock.Store, reader *collector) {
		store.InjectFaults(func(_, call string) mock.Fault {
			if call == "read" {
				return mock.Refuse
			}
			return mock.None
		})
		time.Sleep(2 * time.Second)
		store.Put("late", []byte("v"))
		store.Trim()
		store.InjectFaults(nil)
		time.Sleep(2 * time.Second)
		if reader.value("late") != "v" {
			t.Error("a record of the trimmed history is missing")
		}
	})
}

// slowReader delays each Apply by 20 ms.
type slowReader struct{ *collector }

func (r slowReader) Apply(records []storelog.Record) {
	time.Sleep(20 * time.Millisecond)
	r.collector.Apply(records)
}

// CatchUp must not return nil before the reader has applied every record that was stored before the call.
func TestCatchUpWaitsForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, reader := mock.NewStore(), &collector{values: map[string]string{}}
		ctx, cancel := context.WithCancel(context.Background())
		follower := storelog.NewFollower(store.ForInstance("i"), slowReader{reader}, storelog.FollowOptions{
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
			if reader.value(key) == "" {
				t.Errorf("%s is stored but the reader has not applied it", key)
			}
		}
		store.InjectFaults(func(_, _ string) mock.Fault { return mock.DropRequest })
		if follower.CatchUp(ctx) == nil {
			t.Error("CatchUp succeeded although the store is silent")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
