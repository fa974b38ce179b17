package standin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
)

// start runs two workers in two data centres until the test ends.
func start(t *testing.T) standin.Addresses {
	ctx, cancel := context.WithCancel(t.Context())
	ready := make(chan standin.Addresses, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- standin.Run(ctx, standin.Options{
			Sites: []standin.Site{
				{DataCentre: "perth-1", Racks: 1, WorkersPerRack: 1},
				{DataCentre: "broome", Racks: 1, WorkersPerRack: 1, Speeds: []uint32{500}},
			},
			Log:   http.NotFoundHandler(),
			Ready: func(addresses standin.Addresses) { ready <- addresses },
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run ended with %v", err)
		}
	})
	select {
	case addresses := <-ready:
		return addresses
	case err := <-ended:
		ended <- err
		t.Fatal(err)
	}
	return standin.Addresses{}
}

func request(payload string) *apiv1.RunRequest {
	return &apiv1.RunRequest{
		RequestId: "r1", Attempt: 1, Payload: []byte(payload), Checksum: xxhash.Sum64String(payload),
	}
}

func TestRunServesListAndWorkers(t *testing.T) {
	addresses := start(t)
	listed, err := workerclient.NewInstanceList(http.DefaultTransport, addresses.InstanceList).Fetch(t.Context())
	if err != nil || len(listed.GetWorkers()) != 2 {
		t.Fatalf("list: %v %v", listed, err)
	}
	slow := listed.GetWorkers()[0]
	if slow.GetName() != "broome-r1-w1" || slow.GetSpeedPermille() != 500 {
		t.Errorf("first worker: %v", slow)
	}
	client := workerclient.New(http.DefaultTransport).Worker(slow.GetAddress())
	answer, err := client.Run(t.Context(), request("hello"))
	if err != nil || string(answer.GetPayload()) != "broome-r1-w1: hello" {
		t.Fatalf("answer %v, error %v", answer, err)
	}
}

func TestRunClientRefusesBadAnswers(t *testing.T) {
	addresses := start(t)
	address := addresses.Workers[0].GetAddress()
	client := workerclient.New(http.DefaultTransport).Worker(address)
	for _, fault := range []string{"damage_answers", "short_answers", "foreign_answers", "lose_answers"} {
		setFault(t, address, fault)
		answer, err := client.Run(t.Context(), request("hello"))
		if !errors.Is(err, platform.ErrUnknownEffect) || errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%s: answer %v, error %v", fault, answer, err)
		}
		if damaged := errors.Is(err, workerclient.ErrDamagedAnswer); damaged == (fault == "lose_answers") {
			t.Errorf("%s: told as damaged: %t", fault, damaged)
		}
	}
}

func TestRunClientTellsUnsentFromUnknown(t *testing.T) {
	addresses := start(t)
	client := workerclient.New(http.DefaultTransport)
	if _, err := client.Worker("127.0.0.1:1").Run(t.Context(), request("a")); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("no listener: %v", err)
	}
	address := addresses.Workers[0].GetAddress()
	setFault(t, address, "freeze")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Worker(address).Run(ctx, request("a")); !errors.Is(err, platform.ErrUnknownEffect) {
		t.Errorf("frozen: %v", err)
	}
	setFault(t, address, "leave")
}

// setFault switches one fault on and all others off.
func setFault(t *testing.T, address, fault string) {
	t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(`{"`+fault+`":true}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d: %s", response.StatusCode, body)
	}
}
