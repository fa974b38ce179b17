package peer

import (
	"context"
	"expvar"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// maxQuestions limits the peers that are asked for one call. If the store refuses a third of the instances, all of four peers
	// are refused in 1 of 81 calls.
	maxQuestions = 4
	// maxLost limits the peers that may have received a call without saying what they did.
	maxLost = 2
	// questionTime limits a question, with the handshake if there is no connection. It leaves time for one lost datagram.
	questionTime = 500 * time.Millisecond
	// searchShare is the share of the remaining time in which a peer must be found.
	searchShare = 0.6
	// firstSendShare is the share of the remaining time for which the first peer may handle the call; the rest is for a second one.
	firstSendShare = 0.6
	// minSendTime is the time that must be left to send a call.
	minSendTime = 50 * time.Millisecond
	// nobodyFor is how long calls aren't forwarded after all peers that were asked didn't reach the store.
	nobodyFor = 300 * time.Millisecond
	// nobodyLogInterval is the time between two log lines that no peer reaches the store, which else would be three a second.
	nobodyLogInterval = 10 * time.Second
)

// Forwarder forwards calls to peers. It implements gateway.Forwarder.
type Forwarder struct {
	name, dataCentre string
	directory        Directory
	transport        atomic.Pointer[Transport]
	contacts         contacts
	limiter          *rate.Limiter
	inFlight         chan struct{}
	// searching holds a value while a call asks a peer of which nothing good is known, so that the others can use what it finds.
	searching chan struct{}
	events    *events.Logger
	counts    *expvar.Map

	mu sync.Mutex
	// nobodyUntil is until when no peer is asked, because none that was asked reaches the store.
	nobodyUntil time.Time
	// nobodyLogged is when that was last logged.
	nobodyLogged time.Time
}

func newForwarder(options Options, directory Directory, perSecond float64, logger *events.Logger) *Forwarder {
	return &Forwarder{
		name: options.Name, dataCentre: options.DataCentre, directory: directory, contacts: contacts{byName: map[string]contact{}},
		limiter: rate.NewLimiter(rate.Limit(perSecond), maxInFlight), inFlight: make(chan struct{}, maxInFlight),
		searching: make(chan struct{}, 1), events: logger, counts: new(expvar.Map).Init(),
	}
}

func (f *Forwarder) setTransport(transport Transport) { f.transport.Store(&transport) }

// ForwardedCounts returns the number of calls that were to be forwarded, by what became of them, for the metrics page.
func (f *Forwarder) ForwardedCounts() expvar.Var { return f.counts }

// Forward implements gateway.Forwarder.
func (f *Forwarder) Forward(
	ctx context.Context, request gateway.Request, body []byte, deadline time.Time,
) (gateway.Response, gateway.Fate) {
	transport := f.transport.Load()
	switch {
	case transport == nil:
		return gateway.Response{}, gateway.NotForwarded
	case f.nobodyReachesStore():
		f.counts.Add("nobody_reaches_store", 1)
		return gateway.Response{}, gateway.NobodyReachesStore
	case !f.take():
		f.counts.Add("over_budget", 1)
		return gateway.Response{}, gateway.NotForwarded
	}
	defer func() { <-f.inFlight }()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	attempt := &attempt{
		Forwarder: f, transport: *transport, request: request, call: encodeCall(request, body), deadline: deadline,
		started: time.Now(), asked: map[string]finding{},
	}
	response, fate := attempt.run(ctx)
	attempt.log(response, fate)
	return response, fate
}

// take takes a place of the budget; false if it is used up.
func (f *Forwarder) take() bool {
	select {
	case f.inFlight <- struct{}{}:
	default:
		return false
	}
	if !f.limiter.Allow() {
		<-f.inFlight
		return false
	}
	return true
}

func (f *Forwarder) nobodyReachesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.nobodyUntil)
}

// setNobody records that no peer that was asked reaches the store, and logs it unless it was logged lately.
func (f *Forwarder) setNobody(asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.nobodyUntil = now.Add(nobodyFor)
	if now.Sub(f.nobodyLogged) > nobodyLogInterval {
		f.nobodyLogged = now
		f.events.Log(events.NoPeerReachesStore, "asked", asked)
	}
}

// attempt is the forwarding of one call.
type attempt struct {
	*Forwarder
	transport Transport
	request   gateway.Request
	call      *peerv1.Call
	deadline  time.Time
	started   time.Time
	// asked are the peers that were asked, with what that showed. peer is the last one to which the call was sent.
	asked map[string]finding
	peer  string
	// lost is the number of peers that may have received the call and have not said what they did.
	lost int
}

// run forwards the call until a peer has handled it, no further peer may be asked or the time is over.
func (a *attempt) run(ctx context.Context) (gateway.Response, gateway.Fate) {
	for a.lost < maxLost {
		exchange, peer, nobody := a.find(ctx)
		if exchange == nil {
			if nobody && a.lost == 0 {
				a.setNobody(len(a.asked))
				return gateway.Response{}, gateway.NobodyReachesStore
			}
			break
		}
		a.peer = peer
		if response, conclusive := a.send(ctx, exchange); conclusive {
			return response, gateway.Forwarded
		}
	}
	if a.lost > 0 {
		return gateway.Response{}, gateway.Lost
	}
	return gateway.Response{}, gateway.NotForwarded
}

// find asks peers until one offers to handle the call. Without an offer, it reports whether none of those that answered reaches the
// store.
func (a *attempt) find(ctx context.Context) (exchange Exchange, peer string, nobody bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(searchShare*float64(time.Until(a.deadline))))
	defer cancel()
	for len(a.asked) < maxQuestions && ctx.Err() == nil {
		to, release, nobody := a.pick(ctx)
		if release == nil {
			return nil, "", nobody
		}
		exchange := a.ask(ctx, to)
		release()
		if exchange != nil {
			return exchange, to.Name, false
		}
	}
	for _, found := range a.asked {
		switch found {
		case cutOff:
			nobody = true
		case ready, busy:
			return nil, "", false
		}
	}
	return nil, "", nobody
}

// pick returns the peer to ask next. The caller must call release after it has asked the peer; it is nil if there is no peer, and the
// last result then reports whether none reaches the store.
func (a *attempt) pick(ctx context.Context) (to replica.Peer, release func(), nobody bool) {
	for ctx.Err() == nil {
		candidates, cutOff := a.contacts.order(a.others(), a.dataCentre, a.asked)
		if len(candidates) == 0 {
			return replica.Peer{}, nil, cutOff
		}
		if candidates[0].good {
			return candidates[0].Peer, func() {}, false
		}
		select {
		case a.searching <- struct{}{}:
			return candidates[0].Peer, func() { <-a.searching }, false
		default:
		}
		for _, other := range candidates {
			if other.good {
				return other.Peer, func() {}, false
			}
		}
		// Another call is asking a peer: its finding may save a question.
		select {
		case a.searching <- struct{}{}:
			<-a.searching
		case <-ctx.Done():
		}
		if a.nobodyReachesStore() {
			return replica.Peer{}, nil, true
		}
	}
	return replica.Peer{}, nil, false
}

// others returns the peers without this instance.
func (a *attempt) others() []replica.Peer {
	var others []replica.Peer
	for _, peer := range a.directory.Peers() {
		if peer.Name != a.name && peer.Address != "" {
			others = append(others, peer)
		}
	}
	return others
}

// ask asks a peer and records what that shows. It returns nil unless the peer offers to handle the call.
func (a *attempt) ask(ctx context.Context, to replica.Peer) Exchange {
	question, cancel := context.WithTimeout(ctx, questionTime)
	defer cancel()
	exchange, readiness, err := a.transport.Ask(question, to)
	found := silent
	switch {
	case err != nil:
	case readiness == peerv1.Readiness_READINESS_READY:
		found = ready
	case readiness == peerv1.Readiness_READINESS_STORE_UNREACHABLE:
		found = cutOff
	default:
		found = busy
	}
	a.recordContact(to.Name, found, err)
	return exchange
}

func (a *attempt) recordContact(peer string, found finding, err error) {
	a.asked[peer] = found
	if pause, changed := a.contacts.record(peer, found); changed && pause > 0 {
		reason := [...]string{busy: "busy", cutOff: "the store doesn't answer it", silent: "no answer"}[found]
		a.events.Log(events.PeerLeftOut, "peer", peer, "reason", reason, "pause_ms", pause.Milliseconds(), "error", err)
	}
}

// send sends the call and reports whether the answer is conclusive. If the call may have had an effect at another peer, only success
// is, except for a query.
func (a *attempt) send(ctx context.Context, exchange Exchange) (gateway.Response, bool) {
	defer exchange.Close()
	limit := time.Until(a.deadline)
	if a.lost == 0 {
		limit = time.Duration(firstSendShare * float64(limit))
	}
	if limit < minSendTime {
		return gateway.Response{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.call.RemainingMs = limit.Milliseconds()
	answer, err := exchange.Call(ctx, a.call)
	if err != nil {
		a.lost++
		a.recordContact(a.peer, silent, err)
		return gateway.Response{}, false
	}
	if answer.GetStoreUnreachable() {
		a.recordContact(a.peer, cutOff, nil)
		return gateway.Response{}, false
	}
	response := decodeAnswer(answer)
	if response.Result == gateway.Undecided {
		a.lost++
		return response, false
	}
	return response, a.lost == 0 || response.Result == gateway.OK || a.request.Operation == gateway.ShowState
}

// log logs and counts what became of the call.
func (a *attempt) log(response gateway.Response, fate gateway.Fate) {
	outcome := [...]string{
		gateway.NotForwarded: "not_forwarded", gateway.NobodyReachesStore: "nobody_reaches_store", gateway.Lost: "lost",
		gateway.Forwarded: response.Result.String(),
	}[fate]
	a.counts.Add(outcome, 1)
	if fate == gateway.NobodyReachesStore || len(a.asked) == 0 {
		return
	}
	job := a.request.ID
	if job == "" {
		job = path.Base(a.request.Path)
	}
	a.events.Log(events.CallForwarded, "job", job, "peer", a.peer, "result", outcome, "asked", len(a.asked),
		"took_ms", time.Since(a.started).Milliseconds())
}
