package peer

import (
	"bytes"
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
)

// offerTime limits the time to find out whether the store answers. A store that takes longer would use up the time of the callers that
// the instance has itself.
const offerTime = 200 * time.Millisecond

// maxServeTime limits the time for which a call of a peer is handled, whatever the peer says.
const maxServeTime = 10 * time.Second

// Handler handles calls.
type Handler interface {
	Handle(ctx context.Context, request gateway.Request) gateway.Response
}

// Server handles calls of peers within a budget.
type Server struct {
	handler      Handler
	reachesStore func(ctx context.Context) bool
	decoders     map[gateway.Interface]gateway.JobDecoder
	limiter      *rate.Limiter
	inFlight     chan struct{}
	stopped      atomic.Bool
	served       *expvar.Map
}

func newServer(options Options, handler Handler, perSecond float64, served *expvar.Map) *Server {
	return &Server{
		handler: handler, reachesStore: options.ReachesStore, decoders: options.Decoders, served: served,
		limiter: rate.NewLimiter(rate.Limit(perSecond), maxInFlight), inFlight: make(chan struct{}, maxInFlight),
	}
}

// stopOffering makes all later offers decline, because the instance is being shut down.
func (s *Server) stopOffering() { s.stopped.Store(true) }

// Offer answers a question. If it is ready, it keeps room for a call until release is called; otherwise release is nil.
func (s *Server) Offer(ctx context.Context) (readiness peerv1.Readiness, release func()) {
	readiness = peerv1.Readiness_READINESS_BUSY
	switch {
	case s.stopped.Load():
	case !s.reachesStoreNow(ctx):
		readiness = peerv1.Readiness_READINESS_STORE_UNREACHABLE
	default:
		select {
		case s.inFlight <- struct{}{}:
		default:
			s.served.Add("busy", 1)
			return readiness, nil
		}
		if s.limiter.Allow() {
			return peerv1.Readiness_READINESS_READY, func() { <-s.inFlight }
		}
		<-s.inFlight
		s.served.Add("busy", 1)
		return readiness, nil
	}
	s.served.Add("declined", 1)
	return readiness, nil
}

// reachesStoreNow reports whether the store can be reached, at the latest after offerTime.
func (s *Server) reachesStoreNow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTime)
	defer cancel()
	return s.reachesStore(ctx)
}

// Serve handles a call under an offer.
func (s *Server) Serve(ctx context.Context, call *peerv1.Call) *peerv1.Answer {
	request, err := decodeCall(call)
	decode := s.decoders[request.Interface]
	var response gateway.Response
	switch {
	case call.GetHops() != 1:
		response.Answer = gateway.Answer{
			Result: gateway.NotRun, Detail: "the call has been forwarded before: it had no effect, retry later", RetryAfter: time.Second,
		}
	case err != nil || decode == nil:
		response.Answer = gateway.Answer{
			Result: gateway.NotRun, RetryAfter: time.Second,
			Detail: "the peer doesn't know this kind of call: replace the instances by ones of the latest version",
		}
	default:
		request.Decode, request.Body = decode, bytes.NewReader(call.GetBody())
		limit := min(maxServeTime, time.Duration(call.GetRemainingMs())*time.Millisecond)
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		response = s.handler.Handle(ctx, request)
	}
	s.served.Add(response.Result.String(), 1)
	return encodeAnswer(response)
}
