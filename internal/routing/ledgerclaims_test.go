package routing

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// startClaims runs a replica of the claims stream until the test ends.
func startClaims(t *testing.T, log platform.Log, name string, incarnation uint64) *LedgerClaims {
	t.Helper()
	table := claims.New()
	replica := ledger.New(ledger.Config{
		Log: log, Stream: platform.StreamClaims, Machine: table,
		Author: &apiv1.Author{Instance: name, Incarnation: incarnation},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		replica.Run(ctx) //nolint:errcheck // it ends with ctx
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return NewLedgerClaims(replica, table, name)
}

func TestLedgerClaimsFirstClaimWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Hour})
		a, b, reborn := startClaims(t, log, "a", 1), startClaims(t, log, "b", 2), startClaims(t, log, "a", 3)
		key := newKey()
		steps := []struct {
			name   string
			claims *LedgerClaims
			sum    uint64
			want   ClaimState
		}{
			{"first", a, 7, ClaimState{Status: ClaimOurs, Checksum: 7, Holder: "a"}},
			{"second at the holder", a, 7, ClaimState{Status: ClaimHeld, Checksum: 7, Holder: "a"}},
			{"elsewhere", b, 7, ClaimState{Status: ClaimHeld, Checksum: 7, Holder: "a"}},
			{"next life of the holder", reborn, 7, ClaimState{Status: ClaimHeld, Checksum: 7, Holder: "a"}},
			{"other request", b, 8, ClaimState{Status: ClaimHeld, Checksum: 7, Holder: "a"}},
		}
		for _, step := range steps {
			got, err := step.claims.Claim(t.Context(), "lounge", key, step.sum)
			if err != nil || got.Status != step.want.Status || got.Checksum != step.want.Checksum || got.Holder != step.want.Holder {
				t.Errorf("%s: %+v, %v; want %+v", step.name, got, err, step.want)
			}
		}
		for _, other := range []*LedgerClaims{b, reborn} {
			if err := other.Release(t.Context(), "lounge", key); err != nil {
				t.Errorf("release by another: %v", err)
			}
		}
		if state := a.Lookup("lounge", key); state.Status != ClaimHeld {
			t.Errorf("another released the key: %+v", state)
		}
		if err := a.Release(t.Context(), "lounge", key); err != nil {
			t.Fatal(err)
		}
		if got, err := b.Claim(t.Context(), "lounge", key, 7); err != nil || got.Status != ClaimOurs {
			t.Errorf("claim after the release: %+v, %v", got, err)
		}
	})
}

func TestLedgerClaimsKeepAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Hour})
		a, b := startClaims(t, log, "a", 1), startClaims(t, log, "b", 2)
		payload := strings.Repeat("x", MaxKeptAnswerBytes)
		key := newKey()
		if _, err := a.Claim(t.Context(), "lounge", key, 7); err != nil {
			t.Fatal(err)
		}
		end := ClaimEnd{Answer: []byte(payload), AnswerKept: true, Failed: true}
		if err := a.Done(t.Context(), "lounge", key, end); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		state := b.Lookup("lounge", key)
		if state.Status != ClaimDone || !state.AnswerKept || !state.Failed || string(state.Answer) != payload {
			t.Errorf("state is %v, kept %v, failed %v, %d bytes", state.Status, state.AnswerKept, state.Failed, len(state.Answer))
		}
	})
}

func TestLedgerClaimsForgetOnlyAsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Hour})
		a, b := startClaims(t, log, "a", 1), startClaims(t, log, "b", 2)
		key := newKey()
		if _, err := a.Claim(t.Context(), "lounge", key, 7); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * claims.WindowMillis * time.Millisecond)
		// The log's clock needs two instances to jump ahead.
		for _, claims := range []*LedgerClaims{a, b, a} {
			if _, err := claims.Claim(t.Context(), "lounge", newKey(), 7); err != nil {
				t.Fatal(err)
			}
		}
		if state := a.Lookup("lounge", key); state.Status != ClaimExpired {
			t.Errorf("a key from before the window is %+v, want expired", state)
		}
		if state, err := a.Claim(t.Context(), "lounge", key, 7); err != nil || state.Status != ClaimExpired {
			t.Errorf("its claim: %+v, %v", state, err)
		}
	})
}

func TestLedgerClaimsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Hour})
		a := startClaims(t, log, "a", 1)
		synctest.Wait()
		cases := []struct {
			faults logservice.Faults
			want   error
		}{
			{logservice.Faults{Outage: true}, ErrClaimNotMade},
			{logservice.Faults{AppendDelayMillis: 5000}, ErrClaimUnknown},
		}
		for _, c := range cases {
			log.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if got, err := a.Claim(ctx, "lounge", newKey(), 7); err == nil || !errors.Is(err, c.want) {
				t.Errorf("%+v: %+v, %v; want %v", c.faults, got, err, c.want)
			}
			cancel()
			log.SetFaults(logservice.Faults{})
			time.Sleep(time.Minute)
		}
	})
}
