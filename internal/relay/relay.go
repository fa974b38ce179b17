// Package relay reaches the log service through another instance when it cannot be reached directly.
//
// A relayed call has the promises of a direct one: an append whose answer is lost may have taken
// effect, and a read returns what the log holds.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// callMargin is added to the wait of a relayed read, so that the peer can answer.
const callMargin = 2 * time.Second

// directSilence is how long the log service may answer nothing at all before an append that waits for it is given
// up. It is longer than a read without entries waits, so that a log which only takes appends slowly is waited for.
const directSilence = 3 * time.Second

// Asker puts a question to the peer at an address.
type Asker interface {
	Ask(ctx context.Context, address string, request *apiv1.PeerRequest) (*apiv1.PeerReply, error)
}

// Log is a platform.Log that goes through a peer when the log service does not answer.
type Log struct {
	direct platform.Log
	asker  Asker
	events *events.Logger
	// helpers returns the addresses of peers that reach the log.
	helpers func() []string

	mu          sync.Mutex
	lastDirect  time.Time
	unreachable bool
}

// New returns a Log over the direct one. helpers returns the addresses (IP:port) of peers that reach the log.
func New(direct platform.Log, asker Asker, helpers func() []string, logger *events.Logger) *Log {
	return &Log{direct: direct, asker: asker, helpers: helpers, events: logger}
}

// Direct returns the log without relaying.
func (l *Log) Direct() platform.Log {
	return l.direct
}

// LastDirect returns when the log service last answered this instance itself.
func (l *Log) LastDirect() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastDirect
}

// Append adds payload to the stream, through a peer if need be.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	offset, err := l.appendDirect(ctx, stream, payload)
	if !l.note(err) {
		return offset, err
	}
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Append{Append: &apiv1.PeerAppend{Stream: stream, Payload: payload}}}
	reply, relayError := l.ask(ctx, request)
	if errors.Is(relayError, errNoHelper) {
		return 0, err
	}
	if relayError != nil {
		return 0, errors.Wrap(platform.ErrUnknownEffect, relayError.Error())
	}
	return reply.GetAppend().GetOffset(), nil
}

// appendDirect appends without a peer. An append under way on a connection that went silent is given up with an
// unknown effect, long before its own timeout, so that the caller's next one finds the log or a peer.
func (l *Log) appendDirect(ctx context.Context, stream string, payload []byte) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelWhenSilent(ctx, cancel)
	return l.direct.Append(ctx, stream, payload)
}

// cancelWhenSilent cancels once the log service has answered nothing for directSilence, until ctx ends.
func (l *Log) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc) {
	heard := time.Now()
	for {
		if last := l.LastDirect(); last.After(heard) {
			heard = last
		}
		wait := time.Until(heard.Add(directSilence))
		if wait <= 0 {
			cancel()
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Read returns entries from the offset on, through a peer if need be.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	answer, err := l.direct.Read(ctx, stream, from, limit, wait)
	if !l.note(err) {
		return answer, err
	}
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Read{Read: &apiv1.PeerRead{
		Stream: stream,
		From:   from,
		Limit:  uint32(limit), //nolint:gosec // Limits are small.
		WaitMs: wait.Milliseconds(),
	}}}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	reply, relayError := l.ask(ctx, request)
	if relayError != nil {
		return nil, err
	}
	relayed := reply.GetRead()
	if relayed.GetOldest() > from {
		return nil, &platform.TrimmedError{Stream: stream, From: from, Oldest: relayed.GetOldest()}
	}
	return relayed, nil
}

// note records how a direct call ended and reports whether it calls for a peer.
func (l *Log) note(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !errors.Is(err, platform.ErrUnavailable) {
		if err == nil {
			l.lastDirect = time.Now()
			l.unreachable = false
		}
		return false
	}
	if !l.unreachable {
		l.unreachable = true
		l.events.Log(events.LogUnreachable, "reason", err)
	}
	return true
}

// errNoHelper means that no peer reaches the log either.
var errNoHelper = errors.New("no peer reaches the log service: wait for it")

// ask puts the question to the first peer that answers. A peer that answers with an error is not
// followed by another for an append, since the append may have taken effect.
func (l *Log) ask(ctx context.Context, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	for _, address := range l.helpers() {
		reply, err := l.asker.Ask(ctx, address, request)
		var remote *peer.RemoteError
		if errors.As(err, &remote) || err == nil {
			return reply, err
		}
		if request.GetAppend() != nil {
			return nil, err
		}
	}
	return nil, errNoHelper
}
