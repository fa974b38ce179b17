package conn

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// watch looks after the connection of one request until the request ends.
type watch struct {
	transport *Transport
	host      *host
	address   string
	busyAfter time.Duration

	mu      sync.Mutex
	conn    *trackedConn
	started time.Time
	timer   *time.Timer
	ended   bool
}

// start begins to watch the connection that the request got; a repeat of the request by net/http gets another.
func (w *watch) start(c net.Conn) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.conn = tracked
	w.started = time.Now()
	w.schedule(w.transport.config.SilentAfter)
}

// schedule sets the time of the next check; the lock is held.
func (w *watch) schedule(after time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(after, w.check)
}

// end stops the watch and returns the error that the request ends with.
func (w *watch) end(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.conn != nil && w.conn.silent.Load() {
		return errors.Wrap(ErrSilent, err.Error())
	}
	return err
}

// silence returns how long the request has seen no byte; false when the request has ended.
func (w *watch) silence() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return 0, false
	}
	return w.conn.silence(w.started), true
}

// check probes the worker if the connection is silent, and closes the connection if the probe proves it dead.
func (w *watch) check() {
	silentAfter := w.transport.config.SilentAfter
	silence, running := w.silence()
	if !running {
		return
	}
	if silence < silentAfter {
		w.again(silentAfter - silence)
		return
	}
	found := w.transport.probe(w.address)
	silence, running = w.silence()
	if !running {
		return
	}
	switch {
	case !found.answered || silence < silentAfter:
		w.again(silentAfter)
	case !found.busy || silence >= w.busyAfter:
		w.kill()
	default:
		w.again(min(w.busyAfter-silence, silentAfter))
	}
}

func (w *watch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.schedule(after)
	}
}

// kill closes the connection and the idle ones to the same worker, which share its fate as likely as not.
func (w *watch) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.conn.silent.Swap(true) {
		return
	}
	w.transport.counters.silent.Add(1)
	w.conn.Close()
	w.host.transport.CloseIdleConnections()
}

// watchedBody ends the watch with the body of the answer.
type watchedBody struct {
	io.ReadCloser
	watch *watch
}

// Read is part of io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, b.watch.end(err)
}

// Close is part of io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	if err != nil {
		return b.watch.end(err)
	}
	b.watch.end(nil) //nolint:errcheck // there is none
	return nil
}
