// Package traffic counts the bytes of TCP connections.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// Counter counts what its connections carry. The zero value is ready; it is safe for concurrent use.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Bytes is what connections carried since the start, bytes.
type Bytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Bytes returns the counts.
func (c *Counter) Bytes() Bytes {
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// Dial connects to an IP:port and counts what the connection carries.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, counter: c}, nil
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read is part of net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write is part of net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.sent.Add(int64(n))
	return n, err
}
