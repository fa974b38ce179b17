package instance

import (
	"context"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	dataCentre = "perth-1"
	// patience bounds what should happen within seconds on an idle machine.
	patience = time.Minute
	poll     = 20 * time.Millisecond
)

// startPlatform runs stand-ins on loopback until the test ends. The list has i0 and the others.
func startPlatform(t *testing.T, log *logservice.Service, others ...*apiv1.Instance) standin.Addresses {
	t.Helper()
	ready := make(chan standin.Addresses, 1)
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		_ = standin.Run(ctx, standin.Options{
			Sites:     []standin.Site{{DataCentre: dataCentre, Racks: 1, WorkersPerRack: 1}},
			Log:       log.Handler(),
			Instances: append(others, &apiv1.Instance{Name: "i0", DataCentre: dataCentre, Presence: apiv1.Presence_PRESENCE_LIVE}),
			Ready:     func(addresses standin.Addresses) { ready <- addresses },
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	select {
	case addresses := <-ready:
		return addresses
	case <-ended:
		t.Fatal("the stand-ins do not start")
		return standin.Addresses{}
	}
}

// write has an earlier instance propose records.
func write(t *testing.T, log platform.Log, records ...*apiv1.Record) {
	t.Helper()
	replica := ledger.New(ledger.Config{
		Log:     log,
		Stream:  platform.StreamLedger,
		Author:  &apiv1.Author{Instance: "earlier", Incarnation: 1},
		Machine: state.New(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	go func() { _ = replica.Run(ctx) }()
	for _, record := range records {
		if err := replica.Propose(ctx, record); err != nil {
			t.Fatal(err)
		}
	}
}

func settingsFor(addresses standin.Addresses) *apiv1.Settings {
	return &apiv1.Settings{
		Name:       "i0",
		DataCentre: dataCentre,
		Weight:     100,
		Addresses:  &apiv1.Addresses{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Platform:   &apiv1.PlatformSettings{Log: addresses.Log, InstanceList: addresses.InstanceList},
		Limits:     &apiv1.LimitSettings{QueuedRequests: 10, PayloadBytes: 1000, FleetAppendsPerSecond: 100, RetryPercent: 10, DrainMs: 5000},
		Objective:  &apiv1.ObjectiveSettings{Preset: "lounge"},
		Leases:     &apiv1.LeaseSettings{TermMs: 3000},
		Peers:      &apiv1.PeerSettings{Secret: "secret-of-the-test"},
		Operator:   &apiv1.OperatorSettings{Token: "operator-of-the-test"},
	}
}

// TestFreshInstanceOwnsWhatWasReleasedBefore starts an instance on a log whose last word on the data centre came
// before: no record tells the instance of it once it is ready.
func TestFreshInstanceOwnsWhatWasReleasedBefore(t *testing.T) {
	log := logservice.New(logservice.Options{Retention: time.Hour})
	addresses := startPlatform(t, log)
	write(t, log,
		&apiv1.Record{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: dataCentre, Epoch: 1}}},
		&apiv1.Record{Body: &apiv1.Record_OwnerReleased{OwnerReleased: &apiv1.OwnerReleased{DataCentre: dataCentre, Epoch: 1}}},
	)
	i, err := New(settingsFor(addresses), events.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	failed := i.Start(ctx)
	for {
		var owner state.Owner
		i.ledger.View(func() { owner = i.state.Owner(dataCentre) })
		if owner.Instance == "i0" && owner.Epoch == 2 {
			return
		}
		select {
		case err := <-failed:
			t.Fatal(err)
		case <-ctx.Done():
			t.Fatalf("the data centre's owner is %+v, want i0 at epoch 2", owner)
		case <-time.After(poll):
		}
	}
}
