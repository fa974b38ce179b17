package workerclient_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/list"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
)

// TestFetchDoesNotCarryAnUnchangedList counts the bytes of the answers.
func TestFetchDoesNotCarryAnUnchangedList(t *testing.T) {
	registry := list.New(0)
	register := func(name string) {
		registry.Register(&apiv1.InstanceList{Workers: []*apiv1.Worker{{Name: name + strings.Repeat("x", 10_000)}}})
	}
	register("a")
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		registry.Handler().ServeHTTP(recorder, r)
		sent += recorder.Body.Len()
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := workerclient.NewInstanceList(http.DefaultTransport, strings.TrimPrefix(server.URL, "http://"))
	want := func(workers int) {
		t.Helper()
		got, err := client.Fetch(t.Context())
		if err != nil || len(got.Workers) != workers {
			t.Fatalf("Fetch = %d workers, %v, want %d", len(got.GetWorkers()), err, workers)
		}
	}
	want(1)
	first := sent
	want(1)
	if sent != first {
		t.Errorf("an unchanged list cost %d bytes", sent-first)
	}
	register("b")
	want(2)
}
