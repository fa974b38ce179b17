package peer

import (
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
)

// Both sides of a forwarded call over an open connection, without the work of the gateway.
func BenchmarkForward(b *testing.B) {
	benchmarkForward(b, func(*quicListener) {})
}

// Both sides of a forwarded call that needs a handshake.
func BenchmarkForwardWithHandshake(b *testing.B) {
	benchmarkForward(b, func(l *quicListener) {
		l.mu.Lock()
		connections := make([]*quic.Conn, 0, len(l.connections))
		for _, connection := range l.connections {
			connections = append(connections, connection)
		}
		l.mu.Unlock()
		for _, connection := range connections {
			_ = connection.CloseWithError(codeDone, "")
		}
	})
}

func benchmarkForward(b *testing.B, after func(*quicListener)) {
	store := mock.NewStore()
	from, to := startProcess(b, store, "a", ""), startProcess(b, store, "b", "")
	from.knows(b, to)
	to.knows(b, from)
	from.limiter.SetLimit(1e6)
	to.server.limiter.SetLimit(1e6)
	for n := 0; b.Loop(); n++ {
		if _, fate := forward(from.Forwarder, gateway.SubmitJob, n%100, time.Second); fate != gateway.Forwarded {
			b.Fatalf("fate %d", fate)
		}
		after((*from.transport.Load()).(*quicListener))
	}
}

// The key that each process makes at its start and at each rotation.
func BenchmarkNewIdentity(b *testing.B) {
	for b.Loop() {
		if _, err := NewIdentity("i"); err != nil {
			b.Fatal(err)
		}
	}
}
