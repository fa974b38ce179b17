package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// Guards against an instance that doesn't start because the port for its operators is taken or invalid.
func TestListenWithoutOperationsPort(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, address := range []string{taken.Addr().String(), "127.0.0.1:70000"} {
		n := &Node{settings: Settings{OperationsAddress: address}, events: events.Discard()}
		callers, operators := &http.Server{Addr: "127.0.0.1:0"}, &http.Server{Addr: address} //nolint:gosec // they serve nothing.
		listeners, err := n.listen([]*http.Server{callers, operators})
		if err != nil || listeners[callers] == nil || listeners[operators] != nil {
			t.Errorf("%s: listeners %v, %v", address, listeners, err)
			continue
		}
		_ = listeners[callers].Close()
		n.settings.OperationsAddress = ""
		if _, err := n.listen([]*http.Server{operators}); err == nil {
			t.Errorf("%s: no error for the callers' address", address)
		}
	}
}
