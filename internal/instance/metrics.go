package instance

import (
	"expvar"

	"github.com/dotterelgauge/dotterelgauge/internal/routing"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
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
	Routing      routing.Stats `json:"routing"`
	Connections  conn.Stats    `json:"connections"`
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
		Routing:      i.router.Stats(),
		Connections:  i.transport.Stats(),
	}
}

// publish shows the metrics at /debug/vars. It is called once in a process.
func (i *Instance) publish() {
	expvar.Publish("dotterelgauge", expvar.Func(func() any { return i.Metrics() }))
}
