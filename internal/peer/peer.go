// Package peer has callers' calls handled by other instances while the store refuses this one or doesn't answer it.
//
// An instance knows its peers from their records in the jobs' partition, and which of them reach the store from its own contacts
// with them. A call is sent only to a peer that has just offered to handle it, and goes over one hop. docs/design/peers.md
// describes the protocol and the alternatives considered.
package peer

import (
	"context"
	"expvar"
	"net"

	"github.com/go-faster/errors"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// maxInFlight limits the calls that an instance forwards, and those that it handles for others, at the same time. Bodies have at
	// most 256 KiB, so both take at most 16 MiB.
	maxInFlight = 32
	// callsPerCore and minCallsPerSecond limit the calls that an instance forwards, and those that it handles for others. Without the
	// gateway's work a call takes 0.2 ms of a core for both sides together (BenchmarkForward), so these are some 2% of an instance.
	callsPerCore      = 200
	minCallsPerSecond = 20
)

// Transport reaches peers.
type Transport interface {
	// Ask asks a peer whether it would handle a call now. The exchange is nil unless the peer is ready. After an error the peer has
	// received no call.
	Ask(ctx context.Context, to replica.Peer) (Exchange, peerv1.Readiness, error)
}

// Exchange is a peer's offer to handle one call.
type Exchange interface {
	// Call sends a call and returns its answer. After an error the peer may have received the call.
	Call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error)
	// Close ends the exchange.
	Close()
}

// Listener is a Transport that also serves calls of peers.
type Listener interface {
	Transport
	// Serve serves calls of peers until ctx ends. It returns an error if it can't any more.
	Serve(ctx context.Context, server *Server) error
}

// Directory holds the records of the peers.
type Directory interface {
	Peers() []replica.Peer
	Peer(name string) (replica.Peer, bool)
	HasCertificate(hash replica.CertificateHash) bool
	IsReady() bool
	Changed() <-chan struct{}
}

// Options describe the instance.
type Options struct {
	// Name, Address and DataCentre are written to the instance's record. The address has the form IP:port.
	Name, Address, DataCentre string
	// Cores is the number of processor cores that the instance may use; 0 if unknown.
	Cores float64
	// ReachesStore reports whether the instance can handle calls of others. It may ask the store.
	ReachesStore func(ctx context.Context) bool
	// Decoders decode the bodies of calls.
	Decoders map[gateway.Interface]gateway.JobDecoder
	// Listen opens the instance's address for peers; nil for QUIC.
	Listen func(address string, identity *Identity, directory Directory) (Listener, error)
}

// Service forwards calls to peers and serves theirs.
type Service struct {
	*Forwarder
	options   Options
	directory Directory
	identity  *Identity
	announcer *announcer
	server    *Server
	events    *events.Logger
	served    *expvar.Map
}

// New returns a Service of an instance whose calls the handler handles. Run starts it.
func New(options Options, directory Directory, appender *storelog.Appender, handler Handler, logger *events.Logger) (*Service, error) {
	if host, _, err := net.SplitHostPort(options.Address); err != nil || host == "" {
		return nil, errors.Errorf("peers can't use the address %q: set the IP address in the settings file", options.Address)
	}
	identity, err := NewIdentity(options.Name)
	if err != nil {
		return nil, err
	}
	if options.Listen == nil {
		options.Listen = ListenQUIC
	}
	perSecond := max(minCallsPerSecond, callsPerCore*options.Cores)
	served := new(expvar.Map).Init()
	return &Service{
		Forwarder: newForwarder(options, directory, perSecond, logger), options: options, directory: directory, identity: identity,
		announcer: &announcer{
			options: options, directory: directory, appender: appender, identity: identity, events: logger, readTime: readTime,
		},
		server: newServer(options, handler, perSecond, served), events: logger, served: served,
	}, nil
}

// Run writes the instance's record, serves calls of peers until serving ends, and deletes the record once announcing ends.
func (s *Service) Run(announcing, serving context.Context) {
	listener, err := s.options.Listen(s.options.Address, s.identity, s.directory)
	if err != nil {
		s.events.Log(events.PeersNotServed, "address", s.options.Address, "error", err)
		return
	}
	s.setTransport(listener)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.announcer.run(announcing)
		s.server.stopOffering()
	}()
	if err := listener.Serve(serving, s.server); err != nil {
		s.events.Log(events.PeersNotServed, "address", s.options.Address, "error", err)
	}
	<-done
}

// Rotate replaces the instance's key. It returns once peers may see only the new one.
func (s *Service) Rotate(ctx context.Context) error { return s.announcer.rotate(ctx) }

// ServedCounts returns the number of calls that were handled for peers, by result, for the metrics page.
func (s *Service) ServedCounts() expvar.Var { return s.served }
