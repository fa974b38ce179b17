package instance

import (
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
)

// minConnections is the least share of a worker's connections: one for requests, one for leases and one for probes.
const minConnections = 3

// connectionLimits divides the connections that each worker accepts among the live instances by weight.
func (i *Instance) connectionLimits(view membership.View) []conn.Limit {
	total := uint32(0)
	for _, live := range i.liveInstances(view) {
		total += live.Weight
	}
	limits := make([]conn.Limit, 0, len(view.Workers))
	for _, worker := range view.Workers {
		share := int(worker.Connections * i.settings.Weight / max(total, 1))
		limits = append(limits, conn.Limit{Address: worker.Address, Connections: max(share, minConnections)})
	}
	return limits
}
