package events

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockingWriter blocks each write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

func TestFullPipeDoesNotBlockLogger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := &blockingWriter{unblock: make(chan struct{})}
		writer := NewWriter(pipe)
		logger := New(writer, "i")
		started := time.Now()
		for range 10 {
			for range 900 {
				logger.Log(InstanceReady)
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(started); took != 10*time.Second {
			t.Errorf("logging to a full pipe blocked for %v", took-10*time.Second)
		}
		if writer.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(pipe.unblock)
		synctest.Wait()
		logger.Log(InstanceReady)
		writer.Close(time.Second)
		if !strings.Contains(pipe.text(), "dropped=") {
			t.Error("the log doesn't state that lines were dropped")
		}
	})
}

func TestLinesPerSecondAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := NewWriter(io.Discard)
		for range maxLinesPerSecond + 50 {
			if _, err := writer.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if dropped := writer.Dropped(); dropped != 50 {
			t.Errorf("%d lines were dropped, want 50", dropped)
		}
		writer.Close(time.Second)
	})
}
