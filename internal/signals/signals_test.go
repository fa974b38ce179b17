package signals_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/signals"
)

// Guards against a process that is ended by a signal which arrives before the program asks for signals.
func TestSignalBeforeItIsAskedFor(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(syscall.Getpid(), sent); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := signals.UntilTerminated(context.Background())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Error("a SIGTERM from before is lost")
	}
	select {
	case <-signals.Hangups():
	case <-time.After(5 * time.Second):
		t.Error("a SIGHUP from before is lost")
	}
}
