// Package conn is an HTTP transport to workers that bounds the connections to each worker and finds those that
// went silent.
//
// An open connection can lose its other end for good without any error, because something in between forgot it. A
// connection counts as dead when a request on it saw no byte for a while and a probe, GET /v1/usage on a new
// connection to the same worker, is answered meanwhile:
//
//   - after SilentAfter, if the probe's report says that the worker runs no request at all;
//   - after BusyAfter, or the time that WithSilence gave, if the worker runs something, which may be this request.
//
// A dead connection is closed together with the idle ones to the same worker, and its request fails with
// ErrSilent, whose effect is unknown. So a dead connection is found within SilentAfter or BusyAfter and one ProbeTimeout.
package conn

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Defaults of Config.
const (
	// DefaultSilentAfter must exceed the lag of the usage reports.
	DefaultSilentAfter  = 3 * time.Second
	DefaultBusyAfter    = 5 * time.Second
	DefaultProbeTimeout = time.Second
	// DefaultConnections bounds the connections to a worker that SetLimits doesn't name.
	DefaultConnections = 8
	// idleTimeout closes connections that carried nothing for a while. It is short, since a request that meets the
	// other end closing an idle connection ends with an unknown effect.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds a connection's set-up.
	dialTimeout = 2 * time.Second
)

// ErrSilent is the failure of a request whose connection went silent. It wraps platform.ErrUnknownEffect.
var ErrSilent = errors.Wrap(platform.ErrUnknownEffect, "the connection went silent while a new one is answered")

// Config makes a Transport; zero values mean the defaults.
type Config struct {
	SilentAfter  time.Duration
	BusyAfter    time.Duration
	ProbeTimeout time.Duration
	// Dial connects to an IP:port; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.SilentAfter <= 0 {
		c.SilentAfter = DefaultSilentAfter
	}
	if c.BusyAfter <= 0 {
		c.BusyAfter = max(DefaultBusyAfter, c.SilentAfter)
	}
	if c.ProbeTimeout <= 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.Dial = dialer.DialContext
	}
	return c
}

// Limit bounds the connections to one worker.
type Limit struct {
	// Address is the worker's IP:port.
	Address string
	// Connections is this instance's share of what the worker accepts, probes included.
	Connections int
}

// Stats count what a Transport saw since its start.
type Stats struct {
	Requests int64 `json:"requests"`
	// Probes counts the connections opened to find out whether a worker answers, Answered those that were answered.
	Probes   int64 `json:"probes"`
	Answered int64 `json:"probes_answered"`
	// Silent counts the connections that were closed because they went silent.
	Silent int64 `json:"silent"`
	// Open counts the connections open now, without probes.
	Open int64 `json:"open"`
	// Dialled counts the connections opened, without probes.
	Dialled int64 `json:"dialled"`
}

type counters struct {
	requests, probes, answered, silent, open, dialled atomic.Int64
}

type silenceKey struct{}

// WithSilence gives the requests of a context more time than BusyAfter to see a byte from a worker that runs something.
func WithSilence(ctx context.Context, duration time.Duration) context.Context {
	return context.WithValue(ctx, silenceKey{}, duration)
}

// busyAfter is how long a request of ctx may be silent at a worker that runs something.
func (c Config) busyAfter(ctx context.Context) time.Duration {
	given, _ := ctx.Value(silenceKey{}).(time.Duration)
	return max(given, c.BusyAfter)
}

// trackedConn is a connection that knows when it last carried a byte.
type trackedConn struct {
	net.Conn
	counters *counters
	// active is the time of the last byte read or written, Unix nanoseconds.
	active atomic.Int64
	// silent is set when the connection was closed because it went silent.
	silent atomic.Bool
	closed atomic.Bool
}

func (c *trackedConn) touch(n int) {
	if n > 0 {
		c.active.Store(time.Now().UnixNano())
	}
}

// Read is part of net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.touch(n)
	return n, err
}

// Write is part of net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.touch(n)
	return n, err
}

// Close is part of net.Conn.
func (c *trackedConn) Close() error {
	if !c.closed.Swap(true) {
		c.counters.open.Add(-1)
	}
	return c.Conn.Close()
}

// silence is how long the connection has carried nothing since a time.
func (c *trackedConn) silence(since time.Time) time.Duration {
	active := time.Unix(0, c.active.Load())
	if active.Before(since) {
		active = since
	}
	return time.Since(active)
}
