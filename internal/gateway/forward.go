package gateway

import (
	"context"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// minForwardTime is the time that must be left for a call to be forwarded: two round trips, perhaps to another data centre and after a
	// handshake, and the peer's append.
	minForwardTime = 100 * time.Millisecond
	// maxForwardedBody limits the body of a call that is forwarded, so that the calls in flight fit into a small instance.
	maxForwardedBody = 256 << 10
)

// Fate is what became of a call that was to be forwarded.
type Fate int

// Fates.
const (
	// NotForwarded means that no peer has received the call, or those that did state that it had no effect.
	NotForwarded Fate = iota
	// NobodyReachesStore is NotForwarded where each peer that was asked said that it doesn't reach the store either.
	NobodyReachesStore
	// Forwarded means that a peer has answered the call.
	Forwarded
	// Lost means that a peer may have received the call, and no peer has answered it.
	Lost
)

// Forwarder has calls handled by peers.
type Forwarder interface {
	// Forward returns the response of a peer that has handled the call, by the deadline.
	Forward(ctx context.Context, request Request, body []byte, deadline time.Time) (Response, Fate)
}

// ForwardWith makes the gateway forward calls. failing reports whether the store has refused this instance or left it without an
// answer several times in a row. It must be called before the first call.
func (g *Gateway) ForwardWith(forwarder Forwarder, failing func() bool) {
	g.forwarder, g.storeFailing = forwarder, failing
}

// forwarding is the forwarding of one request. It reads the body once.
type forwarding struct {
	gateway    *Gateway
	request    *Request
	receivedAt time.Time
	body       []byte
	bodyRead   bool
	// tried is true once the request has been passed to the forwarder.
	tried bool
}

func (g *Gateway) newForwarding(request *Request) *forwarding {
	return &forwarding{gateway: g, request: request, receivedAt: time.Now()}
}

// possible reports whether the request may be forwarded.
func (f *forwarding) possible() bool {
	return f.gateway.forwarder != nil && f.request.Hops == 0 && f.request.Operation != UnknownOperation && !f.tried
}

// neededFor reports whether an admitted call should be forwarded without asking the store first. What this instance can answer for
// certain without the store is not forwarded.
func (f *forwarding) neededFor(call AdmittedCall) bool {
	if !f.possible() || (f.gateway.health.Fresh() && !f.gateway.storeFailing()) {
		return false
	}
	state, job := f.gateway.replica.State(call.ID)
	if job == nil {
		return true
	}
	return f.request.Operation != SubmitJob && !state.Final()
}

// try forwards the request unless it can't be forwarded or was before. It returns false if the request should be handled here.
// The call is nil if the request has not been admitted.
func (f *forwarding) try(ctx context.Context, call *AdmittedCall) (Response, bool) {
	if !f.possible() {
		return Response{}, false
	}
	deadline := f.receivedAt.Add(answerTime(f.request.Timeout))
	if call != nil {
		deadline = call.Deadline
	}
	if f.request.Operation == SubmitJob && !f.bodyRead {
		// A body within the limit of the configuration in force is handled here if it is too large to be forwarded.
		if answer := f.read(max(maxForwardedBody, bodyLimit(f.gateway.configs.Current()))); answer.Result != OK {
			return Response{Answer: answer}, true
		}
	}
	if time.Until(deadline) < minForwardTime || len(f.body) > maxForwardedBody {
		return Response{}, false
	}
	f.tried = true
	g, name := f.gateway, operationNames[f.request.Operation]
	response, fate := g.forwarder.Forward(ctx, *f.request, f.body, deadline)
	switch {
	case fate == Forwarded:
		g.counters.count("forwarded "+name, response.Result)
		g.stages.Answer.Observe(time.Since(f.receivedAt))
		return response, true
	case f.request.Operation == ShowState:
		return Response{}, false
	case fate == Lost:
		answered := AdmittedCall{ID: f.request.ID, ReceivedAt: f.receivedAt}
		if call != nil {
			answered = *call
		}
		return Response{Answer: g.recordAnswer(answered, name, Answer{
			Result: Undecided, Detail: "a peer has not answered: repeat the call with the same id", RetryAfter: retryAfter,
		})}, true
	case fate == NobodyReachesStore && call != nil:
		return Response{Answer: g.recordAnswer(*call, name, notRun("no instance reaches the store"))}, true
	default:
		return Response{}, false
	}
}

// submitElsewhere forwards a request whose record the store may have received from this instance, and returns the channel that gets
// the answer; nil if the request can't be forwarded. Only OK is conclusive: whatever else a peer says, the record may be stored.
func (f *forwarding) submitElsewhere(ctx context.Context, deadline time.Time) <-chan Answer {
	g := f.gateway
	if !f.possible() || time.Until(deadline) < minForwardTime || len(f.body) > maxForwardedBody {
		return nil
	}
	f.tried = true
	request, answers := *f.request, make(chan Answer, 1)
	go func() {
		response, fate := g.forwarder.Forward(ctx, request, f.body, deadline)
		if fate == Forwarded {
			g.counters.count("forwarded again "+operationNames[request.Operation], response.Result)
			answers <- response.Answer
		}
	}()
	return answers
}

// read reads the request's body of at most limit bytes.
func (f *forwarding) read(limit int64) Answer {
	raw, answer := readBody(f.request.Body, limit)
	if answer.Result == OK {
		f.body, f.bodyRead = raw, true
	}
	return answer
}

// decode reads the request's body of at most limit bytes, unless it has been read, and decodes it.
func (f *forwarding) decode(limit int64) (*storev1.Job, Answer) {
	answer := checkSize(f.body, limit)
	if !f.bodyRead {
		answer = f.read(limit)
	}
	if answer.Result != OK {
		return nil, answer
	}
	return f.request.Decode(f.body)
}

// answerTime returns how long a call may take whose caller waits for the given time; 0 if the caller didn't say.
func answerTime(timeout time.Duration) time.Duration {
	if timeout > 0 {
		return time.Duration(float64(timeout) * timeoutShare)
	}
	return defaultTimeout
}
