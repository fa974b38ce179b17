package instance

import (
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
)

const (
	// logSilence is how long the log may be silent before the instance counts as cut off from it.
	logSilence = 4 * time.Second
	// refusalRetry is the advice to callers of an instance that takes no new work.
	refusalRetry = time.Second
)

// standing is what this instance tells its peers, without what it hears.
func (i *Instance) standing() *apiv1.PeerPong {
	return &apiv1.PeerPong{
		Instance:      i.settings.Name,
		Incarnation:   i.author.Incarnation,
		ReaderVersion: ledger.ReaderVersion,
		Revision:      i.revision(),
		LedgerOffset:  i.ledger.Offset(),
		ReachesLog:    i.reachesLog(),
		Draining:      i.draining.Load(),
	}
}

func (i *Instance) revision() uint64 {
	var revision uint64
	i.ledger.View(func() { revision = i.state.RevisionNumber() })
	return revision
}

// reachesLog reports whether the log service answers this instance itself.
func (i *Instance) reachesLog() bool {
	return time.Since(i.log.LastDirect()) < logSilence
}

// hearsPeer reports whether any other instance answers.
func (i *Instance) hearsPeer() bool {
	for _, other := range i.members.View().Peers {
		if other.Answers() {
			return true
		}
	}
	return false
}

// notReady returns why the balancer should send nothing here, "" when it should.
func (i *Instance) notReady() string {
	switch {
	case i.draining.Load():
		return "draining"
	case !i.ledger.Ready() || !i.claims.Ready():
		return "the state is not read yet: wait for the log service or for a peer that has it"
	case i.members.View().ListVersion == 0:
		return "no instance list yet: wait for the platform's instance list"
	case !i.reachesLog() && !i.hearsPeer():
		return "neither the log service nor any peer answers: look at the instance's network"
	}
	return ""
}

// refuse returns why the instance takes no new work, nil when it does.
func (i *Instance) refuse() *problem.Error {
	reason := i.notReady()
	if reason == "" {
		return nil
	}
	return &problem.Error{
		Kind:       problem.Unavailable,
		Detail:     reason + "; ask another instance",
		RetryAfter: refusalRetry,
	}
}
