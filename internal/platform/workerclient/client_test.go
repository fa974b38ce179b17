package workerclient_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
)

func TestLeaseAnswersThatSayNothing(t *testing.T) {
	// A field of unknown number with 300 KiB makes a valid message that is above the bound.
	long := append([]byte{0xfa, 0x01, 0x80, 0xe0, 0x12}, bytes.Repeat([]byte{0}, 300<<10)...)
	tests := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"longer than the bound", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) }},
		{"no message", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff}) }},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte{8})
		}},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"redirected", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}},
		{"broken off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.answer(w, r)
			}))
			defer server.Close()
			client := workerclient.New(server.Client().Transport).Worker(server.Listener.Addr().String())
			reply, err := client.Lease(t.Context(), &apiv1.LeaseRequest{})
			if !errors.Is(err, platform.ErrUnknownEffect) || errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("reply %v, error %v; want an unknown effect", reply, err)
			}
			if sent := calls.Load(); sent != 1 {
				t.Errorf("the call was sent %d times", sent)
			}
		})
	}
}
