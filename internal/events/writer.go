package events

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for a slow reader of the log.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the log of an instance. It is five times the number of lines that the users' daily load
	// causes in its busiest second.
	maxLinesPerSecond = 1000
)

// Writer passes lines to another writer without ever blocking on it. Lines that exceed the queue or the rate limit are
// dropped and counted, and the next accepted line is preceded by one that states their number.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64
	written int
	dropped int
	closed  bool
}

// NewWriter returns a Writer to out. Close writes the lines that are still queued.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues or drops one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.written = now, 0
	}
	if w.closed || w.written >= maxLinesPerSecond {
		w.dropped++
		return len(line), nil
	}
	queued := append([]byte(nil), line...)
	if w.dropped > 0 {
		queued = append(fmt.Appendf(nil, "event=%d msg=%q dropped=%d\n", LinesDropped.Number, LinesDropped.Message, w.dropped),
			queued...)
	}
	select {
	case w.lines <- queued:
		w.written++
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last accepted one.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close rejects further lines and waits until the queued ones are written, up to the given time.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// The error can't be logged anywhere; the next line tries again.
			continue
		}
	}
}
