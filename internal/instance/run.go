package instance

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// stateRetry is the time between two questions to peers for a state.
	stateRetry = time.Second
	// stateTimeout bounds one question to a peer for a state.
	stateTimeout = 10 * time.Second
	// notReadyPause is how long a draining instance goes on taking requests, so that the balancer
	// sees that it is not ready.
	notReadyPause = 2 * time.Second
)

// errCutShort means that a drain did not end in time.
var errCutShort = errors.New("the drain was cut short: raise limits.drain_ms, or see the log for what was left")

// Main runs an instance until SIGTERM or SIGINT, drains it and returns.
func Main(settings *apiv1.Settings, logger *events.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	i, err := New(settings, logger)
	if err != nil {
		return err
	}
	i.publish()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := i.Start(ctx)
	select {
	case err := <-failed:
		logger.Log(events.InstanceFailed, "reason", err)
		return err
	case <-signals:
	}
	drainContext, cutShort := context.WithTimeout(ctx, time.Duration(settings.Limits.DrainMs)*time.Millisecond)
	defer cutShort()
	go func() {
		<-signals
		cutShort()
	}()
	return i.Drain(drainContext)
}

// Start runs everything in the background until ctx ends. The channel gives the first failure that ends
// the instance.
func (i *Instance) Start(ctx context.Context) <-chan error {
	failed := make(chan error, 1)
	fail := func(err error) {
		if err == nil || ctx.Err() != nil {
			return
		}
		select {
		case failed <- err:
		default:
		}
	}
	i.events.Log(events.InstanceStarted, "incarnation", i.author.Incarnation, "data_centre", i.settings.DataCentre)
	go func() { fail(i.ledger.Run(ctx)) }()
	go func() { fail(i.claims.Run(ctx)) }()
	go func() { fail(i.members.Run(ctx)) }()
	go func() { fail(i.peers.Serve(ctx)) }()
	go func() { fail(i.callers.Serve()) }()
	go func() { fail(i.operators.Serve()) }()
	go i.takeStates(ctx)
	i.domains.start(ctx)
	go i.domains.runMoves(ctx)
	return failed
}

// takeStates asks peers for a state whenever one is not complete; the log may bring it first. A replica that falls
// behind the retention of the log is incomplete again.
func (i *Instance) takeStates(ctx context.Context) {
	wasReady := false
	lastReason := ""
	for {
		for _, stream := range []string{platform.StreamLedger, platform.StreamClaims} {
			i.takeState(ctx, stream)
		}
		ready := i.ledger.Ready() && i.claims.Ready()
		if ready && !wasReady {
			i.events.Log(events.InstanceReady, "revision", i.revision(), "offset", i.ledger.Offset())
		}
		if reason := i.notReady(); wasReady && reason != "" && reason != lastReason {
			i.events.Log(events.InstanceNotReady, "reason", reason)
		}
		lastReason = i.notReady()
		wasReady = ready
		select {
		case <-ctx.Done():
			return
		case <-time.After(stateRetry):
		}
	}
}

// takeState asks each peer that answers for the state of a stream that is not complete here.
func (i *Instance) takeState(ctx context.Context, stream string) {
	replica, err := i.replica(stream)
	if err != nil || replica.Ready() {
		return
	}
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_State{State: &apiv1.PeerState{Stream: stream}}}
	for _, other := range i.members.View().Peers {
		if !other.Answers() {
			continue
		}
		askContext, cancel := context.WithTimeout(ctx, stateTimeout)
		reply, err := i.asker.Ask(askContext, other.Instance.PeerAddress, request)
		cancel()
		if err != nil {
			continue
		}
		offered := reply.GetState()
		err = replica.Import(offered.GetOffset(), offered.GetSnapshot())
		if err == nil {
			i.events.Log(events.StateFromPeer, "stream", stream, "peer", other.Instance.Name, "offset", offered.GetOffset())
			return
		}
		if errors.Is(err, ledger.ErrStaleImport) {
			return
		}
	}
}

// Drain takes the instance out of service: no readiness, no new work, ownership handed over, every request
// under way answered. It returns an error when ctx ends first.
func (i *Instance) Drain(ctx context.Context) error {
	i.events.Log(events.DrainStarted)
	i.draining.Store(true)
	pauseFor(ctx, notReadyPause)
	i.domains.release(ctx)
	left := i.router.Drain(ctx)
	shutdownError := i.callers.Shutdown(ctx)
	_ = i.operators.Shutdown(ctx)
	if left.InFlight > 0 || shutdownError != nil {
		i.events.Log(events.DrainCutShort, "requests", left.InFlight, "connections", i.requests.active.Load(), "records", left.Records)
		return errCutShort
	}
	i.events.Log(events.DrainEnded, "records", left.Records)
	return nil
}

// pauseFor waits, but no longer than ctx.
func pauseFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// requestCounter counts the HTTP requests of callers.
type requestCounter struct {
	active atomic.Int64
	total  atomic.Int64
}

func (c *requestCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.total.Add(1)
		c.active.Add(1)
		defer c.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}
