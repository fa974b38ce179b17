package instance

import (
	"context"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// explainTimeout bounds the question to the owner of a data centre.
const explainTimeout = 2 * time.Second

// Explain says why a waiting job waits, as the owner of its data centre knows it.
func (d *domains) Explain(ctx context.Context, dataCentre, id string) string {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	i := d.instance
	var owner state.Owner
	i.ledger.View(func() { owner = i.state.Owner(dataCentre) })
	if !owner.Held() {
		return "the data centre has no owner yet; another instance takes it over within seconds"
	}
	if owner.Instance == i.author.Instance {
		return d.explainOwn(ctx, dataCentre, id)
	}
	const unknown = "its owner does not answer; look again later"
	other, listed := i.members.View().Peer(owner.Instance)
	if !listed {
		return unknown
	}
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Explain{Explain: &apiv1.PeerExplain{DataCentre: dataCentre, Job: id}}}
	reply, err := i.asker.Ask(ctx, other.Instance.PeerAddress, request)
	if err != nil {
		return unknown
	}
	return reply.GetExplain().GetExplanation()
}

// explainOwn says why a job waits in a data centre that this instance owns; "" when it owns it not.
func (d *domains) explainOwn(ctx context.Context, dataCentre, id string) string {
	loop := d.loop(dataCentre)
	if loop == nil {
		return ""
	}
	return loop.Explain(ctx, id)
}

// loop returns the placing loop of a data centre that this instance owns, else nil.
func (d *domains) loop(dataCentre string) *placing.Loop {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.domains[dataCentre]
	if known == nil {
		return nil
	}
	return known.loop
}
