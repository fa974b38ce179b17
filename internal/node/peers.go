package node

import (
	"context"
	"expvar"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/clock"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/httpapi"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
)

// minStoreFailures is the number of failed reads in a row after which calls are forwarded without asking the store first. Answers
// of single reads are lost on any day.
const minStoreFailures = 2

// checkFailureValidity is how long a check that the store hasn't answered counts, unless it answers a read. A read that is in progress
// when the store falls silent fails after up to 1.6 s, and the next one 0.7 s later.
const checkFailureValidity = 2 * time.Second

// WithPeerListener makes an instance open its address for peers with listen instead of over QUIC.
func WithPeerListener(listen func(string, *peer.Identity, peer.Directory) (peer.Listener, error)) Option {
	return func(n *Node) { n.listenForPeers = listen }
}

// newPeers returns the service that forwards calls to peers and serves theirs, and makes the gateway use it; nil if the settings
// name no address for peers.
func (n *Node) newPeers() *peer.Service {
	if n.settings.PeersAddress == "" {
		return nil
	}
	service, err := peer.New(peer.Options{
		Name: n.settings.Name, Address: n.settings.PeersAddress, DataCentre: n.settings.DataCentre, Cores: n.settings.Cores,
		ReachesStore: n.reachesStore,
		Decoders: map[gateway.Interface]gateway.JobDecoder{
			gateway.PlatformInterface: n.platform.DecodeJob, gateway.OwnInterface: httpapi.DecodeJob,
		},
		Listen: n.listenForPeers,
	}, n.replica, n.appender, n.gateway, n.events)
	if err != nil {
		n.events.Log(events.PeersNotServed, "error", err)
		return nil
	}
	n.gateway.ForwardWith(service, n.storeFailing)
	return service
}

// storeFailing reports whether the store is known not to answer this instance.
func (n *Node) storeFailing() bool {
	if n.jobs.Failures() >= minStoreFailures {
		return true
	}
	failed := n.checkFailedAt.Load()
	if failed == nil || clock.Since(*failed) > checkFailureValidity {
		return false
	}
	answered, _ := n.jobs.AnswerTimes()
	return failed.After(answered)
}

// reachesStore reports whether the store has answered very recently or answers before ctx ends, and this instance has its records.
func (n *Node) reachesStore(ctx context.Context) bool {
	if !n.Fresh() || n.jobs.Failures() > 0 {
		return false
	}
	answered := make(chan error, 1)
	go func() { answered <- n.CheckStore(ctx) }()
	select {
	case <-ctx.Done():
		return false
	case err := <-answered:
		return err == nil
	}
}

// Peers returns the service that forwards calls to peers and serves theirs; nil if the settings name no address for peers.
func (n *Node) Peers() *peer.Service { return n.peers }

// publishPeerMetrics publishes the metrics of forwarded calls with expvar.
func (n *Node) publishPeerMetrics() {
	if n.peers != nil {
		expvar.Publish("forwarded", n.peers.ForwardedCounts())
		expvar.Publish("served_for_peers", n.peers.ServedCounts())
	}
}
