package logservice_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

func TestRetentionByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Minute})
		for range 3 {
			if _, err := log.Append(t.Context(), "s", []byte("x")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Second)
		}
		_, err := log.Read(t.Context(), "s", 0, 10, 0)
		var trimmed *platform.TrimmedError
		if !errors.As(err, &trimmed) || trimmed.Oldest != 1 {
			t.Errorf("read after 90 s of a minute's retention: %v, want TrimmedError with oldest 1", err)
		}
		time.Sleep(time.Hour)
		reply, err := log.Read(t.Context(), "s", 3, 10, time.Second)
		if err != nil || reply.Oldest != 3 || reply.Next != 3 {
			t.Errorf("read of a log that dropped all: %v, %v, want bounds 3 to 3", reply, err)
		}
	})
}

func TestReplyIsBounded(t *testing.T) {
	log := logservice.New(logservice.Options{})
	for range 10 {
		if _, err := log.Append(t.Context(), "s", make([]byte, platform.MaxEntryBytes)); err != nil {
			t.Fatal(err)
		}
	}
	reply, err := log.Read(t.Context(), "s", 0, 10, 0)
	if want := logservice.MaxReplyBytes / platform.MaxEntryBytes; err != nil || len(reply.Entries) != want {
		t.Errorf("%d entries, error %v, want %d", len(reply.GetEntries()), err, want)
	}
	if _, err := log.Append(t.Context(), "s", make([]byte, platform.MaxEntryBytes+1)); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("append above the bound: %v, want a refusal", err)
	}
}
