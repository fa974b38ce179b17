package instance

import (
	"expvar"

	"github.com/dotterelgauge/dotterelgauge/internal/routing"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
	"github.com/dotterelgauge/dotterelgauge/internal/traffic"
)

// Metrics is what /debug/vars shows of an instance.
type Metrics struct {
	Ready        bool          `json:"ready"`
	Reason       string        `json:"reason"`
	Revision     uint64        `json:"revision"`
	LedgerOffset int64         `json:"ledger_offset"`
	ClaimsOffset int64         `json:"claims_offset"`
	Owned        int           `json:"owned_data_centres"`
	HTTPActive   int64         `json:"http_requests_active"`
	HTTPTotal    int64         `json:"http_requests_total"`
	Traffic      Traffic       `json:"traffic"`
	Routing      routing.Stats `json:"routing"`
	Connections  conn.Stats    `json:"connections"`
}

// Traffic is the bytes of each kind of connection since the start. That of workers holds callers' payloads too.
type Traffic struct {
	Log       traffic.Bytes `json:"log"`
	List      traffic.Bytes `json:"instance_list"`
	Workers   traffic.Bytes `json:"workers"`
	PeersOut  traffic.Bytes `json:"peers_out"`
	PeersFrom traffic.Bytes `json:"peers_in"`
}

// counters count the bytes of the connections to the platform.
type counters struct {
	log     traffic.Counter
	list    traffic.Counter
	workers traffic.Counter
}

// Metrics returns the current figures.
func (i *Instance) Metrics() Metrics {
	reason := i.notReady()
	return Metrics{
		Ready:        reason == "",
		Reason:       reason,
		Revision:     i.revision(),
		LedgerOffset: i.ledger.Offset(),
		ClaimsOffset: i.claims.Offset(),
		Owned:        len(i.domains.ownedNames()),
		HTTPActive:   i.requests.active.Load(),
		HTTPTotal:    i.requests.total.Load(),
		Traffic: Traffic{
			Log:       i.traffic.log.Bytes(),
			List:      i.traffic.list.Bytes(),
			Workers:   i.traffic.workers.Bytes(),
			PeersOut:  i.asker.Traffic(),
			PeersFrom: i.peers.Traffic(),
		},
		Routing:     i.router.Stats(),
		Connections: i.transport.Stats(),
	}
}

// publish shows the metrics at /debug/vars. It is called once in a process.
func (i *Instance) publish() {
	expvar.Publish("dotterelgauge", expvar.Func(func() any { return i.Metrics() }))
}
