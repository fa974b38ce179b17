// Package signals receives the signals of an instance's process from the initialisation of its packages on.
//
// A signal that arrives while the program is still starting is kept until it is asked for. The package imports nothing but the
// standard library, so that it is initialised before packages that take long.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	terminate = receive(syscall.SIGTERM, syscall.SIGINT)
	hangup    = receive(syscall.SIGHUP)
)

func receive(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// UntilTerminated returns a context that ends at SIGTERM or SIGINT, also at one that arrived before. The function stops waiting.
func UntilTerminated(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-terminate:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Hangups returns the channel that receives each SIGHUP.
func Hangups() <-chan os.Signal { return hangup }
