package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// fakeLog answers with err, or with offset 7.
type fakeLog struct{ err error }

func (f fakeLog) Append(context.Context, string, []byte) (int64, error) { return 7, f.err }

func (f fakeLog) Read(context.Context, string, int64, int, time.Duration) (*apiv1.ReadReply, error) {
	return &apiv1.ReadReply{Next: 7}, f.err
}

// fakeAsker fails in turn with errs, then answers offset 9, and counts the questions.
type fakeAsker struct {
	errs  []error
	asked int
}

func (f *fakeAsker) Ask(context.Context, string, *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	f.asked++
	if f.asked <= len(f.errs) {
		return nil, f.errs[f.asked-1]
	}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Append{Append: &apiv1.AppendReply{Offset: 9}}}, nil
}

func TestAppend(t *testing.T) {
	remote := &peer.RemoteError{Message: "down there too"}
	two := []string{"b:1", "c:1"}
	tests := []struct {
		name    string
		direct  error
		helpers []string
		errs    []error
		offset  int64
		err     error
		asked   int
	}{
		{name: "direct", helpers: two, offset: 7},
		{name: "direct answer lost: not sent a second time", direct: platform.ErrUnknownEffect, helpers: two, err: platform.ErrUnknownEffect},
		{name: "relayed", direct: platform.ErrUnavailable, helpers: two, offset: 9, asked: 1},
		{name: "no helper: certainly not appended", direct: platform.ErrUnavailable, err: platform.ErrUnavailable},
		{name: "helper lost: no second helper, effect unknown", direct: platform.ErrUnavailable, helpers: two,
			errs: []error{peer.ErrUnreachable}, err: platform.ErrUnknownEffect, asked: 1},
		{name: "helper's error: effect unknown", direct: platform.ErrUnavailable, helpers: two,
			errs: []error{remote}, err: platform.ErrUnknownEffect, asked: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asker := &fakeAsker{errs: test.errs}
			log := New(fakeLog{err: test.direct}, asker, func() []string { return test.helpers }, events.Discard())
			offset, err := log.Append(t.Context(), platform.StreamLedger, nil)
			if !errors.Is(err, test.err) || (test.err == nil && offset != test.offset) {
				t.Errorf("Append = %d, %v, want %d, %v", offset, err, test.offset, test.err)
			}
			if asker.asked != test.asked {
				t.Errorf("asked %d peers, want %d", asker.asked, test.asked)
			}
		})
	}
}

// silentLog never answers an append; while it answers reads, the log lives.
type silentLog struct{ fakeLog }

func (silentLog) Append(ctx context.Context, _ string, _ []byte) (int64, error) {
	<-ctx.Done()
	return 0, errors.Wrap(platform.ErrUnknownEffect, ctx.Err().Error())
}

// TestAppendGivesUpASilentLog has an append under way when the connections to the log go silent: it must end soon
// enough for another one through a peer. A slow log that answers reads is waited for.
func TestAppendGivesUpASilentLog(t *testing.T) {
	const patience = 10 * time.Second
	tests := []struct {
		name  string
		reads bool
		took  time.Duration
	}{
		{"silent", false, directSilence},
		{"slow appends, reads answered", true, patience},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				log := New(silentLog{}, &fakeAsker{}, func() []string { return nil }, events.Discard())
				var readers sync.WaitGroup
				defer readers.Wait()
				readers.Go(func() {
					for test.reads && ctx.Err() == nil {
						_, _ = log.Read(ctx, platform.StreamLedger, 0, 1, 0)
						time.Sleep(2 * time.Second)
					}
				})
				began := time.Now()
				_, err := log.Append(ctx, platform.StreamLedger, nil)
				if took := time.Since(began); !errors.Is(err, platform.ErrUnknownEffect) || took != test.took {
					t.Errorf("Append = %v after %s, want an unknown effect after %s", err, took, test.took)
				}
			})
		})
	}
}

func TestReadAsksTheNextHelper(t *testing.T) {
	asker := &fakeAsker{errs: []error{peer.ErrUnreachable}}
	log := New(fakeLog{err: platform.ErrUnavailable}, asker, func() []string { return []string{"b:1", "c:1"} }, events.Discard())
	if _, err := log.Read(t.Context(), platform.StreamLedger, 0, 1, 0); err != nil {
		t.Errorf("Read = %v, want an answer of the second helper", err)
	}
}
