package node

import (
	"context"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Status implements httpapi.Instance.
func (n *Node) Status(ctx context.Context) *apiv1.InstanceStatus {
	owner := n.replica.Owner().Owner
	status := &apiv1.InstanceStatus{
		Instance: n.settings.Name, DataCentre: n.settings.DataCentre, Ready: n.ready(),
		Owner: owner.GetInstance(), OwnerEpoch: owner.GetEpoch(),
		OwnedEpoch: uint64(n.Epoch()), StoreAnsweredMsAgo: -1, Jobs: n.replica.StateCounts(), //nolint:gosec // an epoch.
	}
	if answered, _ := n.jobs.AnswerTimes(); !answered.IsZero() {
		status.StoreAnsweredMsAgo = time.Since(answered).Milliseconds()
	}
	if current := n.configs.Current(); current != nil {
		status.ConfigurationVersion = current.Version
		status.Queues, status.Accounts = uint32(len(current.Queues)), uint32(len(current.Accounts)) //nolint:gosec // at most hundreds.
	}
	status.Workers, status.DataCentres = n.dispatcher.Workers(ctx), n.dispatcher.DataCentres(ctx)
	status.Durations = n.dispatcher.Durations(ctx)
	return status
}

// Explain implements httpapi.Instance.
func (n *Node) Explain(ctx context.Context, job string) []string {
	return n.dispatcher.Explain(ctx, job)
}
