package logclient_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/logclient"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

const stream = "ledger"

// serve runs a stand-in over HTTP and returns its client and a setter of faults.
func serve(t *testing.T, options logservice.Options) (*logclient.Client, func(logservice.Faults)) {
	t.Helper()
	server := httptest.NewServer(logservice.New(options).Handler())
	client := logclient.New(server.Listener.Addr().String())
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	return client, func(faults logservice.Faults) {
		t.Helper()
		body, _ := json.Marshal(faults)
		response, err := http.Post(server.URL+"/faults", "application/json", bytes.NewReader(body))
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("POST /faults: %v, %v", response, err)
		}
		_ = response.Body.Close()
	}
}

func appendAll(t *testing.T, log platform.Log, payloads ...string) {
	t.Helper()
	for want, payload := range payloads {
		if offset, err := log.Append(t.Context(), stream, []byte(payload)); err != nil || offset != int64(want) {
			t.Fatalf("Append: offset %d, error %v, want %d", offset, err, want)
		}
	}
}

func TestAppendAndRead(t *testing.T) {
	client, _ := serve(t, logservice.Options{Retention: time.Hour})
	appendAll(t, client, "a", "b", "c")
	reply, err := client.Read(t.Context(), stream, 1, 1, 0)
	if err != nil || len(reply.Entries) != 1 || reply.Entries[0].Offset != 1 || string(reply.Entries[0].Payload) != "b" {
		t.Fatalf("Read: %v, %v, want entry 1", reply, err)
	}
	if reply.Oldest != 0 || reply.Next != 3 || reply.RetentionMs != time.Hour.Milliseconds() {
		t.Errorf("bounds %d to %d, retention %d ms", reply.Oldest, reply.Next, reply.RetentionMs)
	}
}

func TestLongReadEndsWithAnEntry(t *testing.T) {
	client, _ := serve(t, logservice.Options{})
	type result struct {
		entries int
		err     error
	}
	results := make(chan result)
	go func() {
		reply, err := client.Read(t.Context(), stream, 0, 10, time.Minute)
		results <- result{len(reply.GetEntries()), err}
	}()
	appendAll(t, client, "a")
	if got := <-results; got.err != nil || got.entries != 1 {
		t.Errorf("long read: %d entries, error %v, want 1", got.entries, got.err)
	}
}

func TestTrimmedRead(t *testing.T) {
	client, _ := serve(t, logservice.Options{MaxEntries: 2})
	appendAll(t, client, "a", "b", "c", "d")
	_, err := client.Read(t.Context(), stream, 1, 10, 0)
	var trimmed *platform.TrimmedError
	if !errors.As(err, &trimmed) || trimmed.Oldest != 2 || trimmed.From != 1 {
		t.Errorf("read below the oldest: %v, want TrimmedError with oldest 2", err)
	}
}

func TestFaultsKeepTheirMeaning(t *testing.T) {
	for name, test := range map[string]struct {
		faults logservice.Faults
		want   error
		stored int64
	}{
		"outage":      {logservice.Faults{Outage: true}, platform.ErrUnavailable, 0},
		"lost after":  {logservice.Faults{LostAfterPermille: 1000}, platform.ErrUnknownEffect, 1},
		"lost before": {logservice.Faults{LostBeforePermille: 1000}, platform.ErrUnknownEffect, 0},
		"slow":        {logservice.Faults{AppendDelayMillis: 10}, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client, setFaults := serve(t, logservice.Options{})
			setFaults(test.faults)
			if _, err := client.Append(t.Context(), stream, []byte("a")); !errors.Is(err, test.want) {
				t.Errorf("Append: %v, want %v", err, test.want)
			}
			if _, err := client.Read(t.Context(), stream, 0, 1, 0); test.faults.Outage != errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("Read: %v", err)
			}
			setFaults(logservice.Faults{})
			if reply, err := client.Read(t.Context(), stream, 0, 1, 0); err != nil || reply.Next != test.stored {
				t.Errorf("stored %d, error %v, want %d", reply.GetNext(), err, test.stored)
			}
		})
	}
}

func TestOutageEndsLongReads(t *testing.T) {
	client, setFaults := serve(t, logservice.Options{})
	failed := make(chan error)
	go func() {
		_, err := client.Read(t.Context(), stream, 0, 1, time.Minute)
		failed <- err
	}()
	setFaults(logservice.Faults{Outage: true})
	if err := <-failed; !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read in an outage: %v, want ErrUnavailable", err)
	}
}

func TestUnopenedConnectionHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := logclient.New(address)
	if _, err := client.Append(t.Context(), stream, nil); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Append without a service: %v, want ErrUnavailable", err)
	}
	if _, err := client.Read(t.Context(), stream, 0, 1, 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Read without a service: %v, want ErrUnavailable", err)
	}
}

func TestSilentServiceIsOfUnknownEffect(t *testing.T) {
	arrived := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer silent.Close()
	client := logclient.New(silent.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := client.Append(ctx, stream, []byte("a")); !errors.Is(err, platform.ErrUnknownEffect) {
		t.Errorf("Append given up after it was sent: %v, want ErrUnknownEffect", err)
	}
}
