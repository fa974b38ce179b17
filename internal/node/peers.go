package node

import (
	"context"
	"expvar"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/httpapi"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
)

// minStoreFailures is the number of failed reads in a row after which calls are forwarded without asking the store first. Answers
// of single reads are lost on any day.
const minStoreFailures = 2

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
	n.gateway.ForwardWith(service, func() bool { return n.jobs.Failures() >= minStoreFailures })
	return service
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
