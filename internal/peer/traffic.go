package peer

import (
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/dotterelgauge/dotterelgauge/internal/traffic"
)

// meter counts the bytes of QUIC connections, those that have ended included. The zero value is ready.
type meter struct {
	mu    sync.Mutex
	live  map[*quic.Conn]bool
	ended traffic.Bytes
}

// watch counts a connection until it ends.
func (m *meter) watch(connection *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.live == nil {
		m.live = make(map[*quic.Conn]bool)
	}
	m.live[connection] = true
	go func() {
		<-connection.Context().Done()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.live, connection)
		add(&m.ended, connection)
	}()
}

// bytes returns what all connections carried.
func (m *meter) bytes() traffic.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.ended
	for connection := range m.live {
		add(&total, connection)
	}
	return total
}

func add(total *traffic.Bytes, connection *quic.Conn) {
	stats := connection.ConnectionStats()
	total.Sent += int64(stats.BytesSent)         //nolint:gosec // Far below the bound.
	total.Received += int64(stats.BytesReceived) //nolint:gosec // Far below the bound.
}

// Traffic returns the bytes of the connections that this client opened.
func (c *Client) Traffic() traffic.Bytes {
	return c.meter.bytes()
}

// Traffic returns the bytes of the connections that peers opened.
func (s *Server) Traffic() traffic.Bytes {
	return s.meter.bytes()
}
