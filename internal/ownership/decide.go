// Package ownership decides which data centres an instance should own.
//
// Safety does not rest on these decisions: the ledger accepts one owner for each epoch and workers
// refuse the leases of older epochs. The decisions keep takeovers quick when an owner is gone and rare
// when it is not.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
)

const (
	// MinTenure is how long a taken data centre is left to a silent owner, so that takeovers cannot alternate quickly.
	MinTenure = 10 * time.Second
	// unseenOwnerRounds is how many rounds an owner that is not in the list is waited for.
	unseenOwnerRounds = 4
)

// Self is the deciding instance.
type Self struct {
	Author     *apiv1.Author
	DataCentre string
	// Rounds counts the rounds of membership that the instance has finished.
	Rounds int
	// Draining instances take nothing.
	Draining bool
}

// Holding is a data centre and its owner in the ledger; Owner is nil when there never was one.
type Holding struct {
	DataCentre string
	Owner      *apiv1.Owner
	// HeldFor is the time since this instance saw the owner's record.
	HeldFor time.Duration
}

// ShouldTake reports whether the instance should take the data centre now.
func ShouldTake(self Self, view membership.View, holding Holding) bool {
	if self.Draining || view.ListVersion == 0 {
		return false
	}
	if !ownerGone(self, view, holding) {
		return false
	}
	return Preferred(self, view, holding.DataCentre) == self.Author.Instance
}

func ownerGone(self Self, view membership.View, holding Holding) bool {
	owner := holding.Owner.GetAuthor()
	if owner.GetInstance() == "" {
		return true
	}
	if owner.Instance == self.Author.Instance {
		return owner.Incarnation != self.Author.Incarnation
	}
	peer, listed := view.Peer(owner.Instance)
	if listed && peer.Answers() {
		return peer.Standing.Incarnation != owner.Incarnation
	}
	if holding.HeldFor < MinTenure && listed && peer.Instance.Presence == apiv1.Presence_PRESENCE_LIVE {
		return false
	}
	if view.HeardByOthers(owner.Instance) {
		return false
	}
	if !listed {
		return self.Rounds >= unseenOwnerRounds
	}
	return peer.Silent()
}

// Preferred returns the instance that should own the data centre: one in it where one lives, and
// among equals the one with the highest hash of both names.
func Preferred(self Self, view membership.View, dataCentre string) string {
	best := candidate{name: self.Author.Instance, local: self.DataCentre == dataCentre, score: score(self.Author.Instance, dataCentre)}
	for _, peer := range view.Peers {
		if !eligible(peer) {
			continue
		}
		other := candidate{
			name:  peer.Instance.Name,
			local: peer.Instance.DataCentre == dataCentre,
			score: score(peer.Instance.Name, dataCentre),
		}
		if other.better(best) {
			best = other
		}
	}
	return best.name
}

// eligible reports whether a peer may own a data centre. A listed peer that has not answered yet may, until
// it is silent: otherwise instances that start together would all prefer themselves.
func eligible(peer membership.Peer) bool {
	if peer.Silent() || peer.Instance.Presence != apiv1.Presence_PRESENCE_LIVE {
		return false
	}
	return peer.Standing == nil || (!peer.Standing.Draining && peer.Standing.ReachesLog)
}

// candidate is an instance that could own a data centre.
type candidate struct {
	name  string
	local bool
	score uint64
}

func (c candidate) better(other candidate) bool {
	if c.local != other.local {
		return c.local
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

func score(instance, dataCentre string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + dataCentre)
}
