package membership

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Peer is another instance as this one sees it.
type Peer struct {
	Instance *apiv1.Instance
	// Standing is the last answer to a ping; nil when there was none.
	Standing *apiv1.PeerPong
	// Failures counts the pings since the last answer.
	Failures int
}

// Silent reports whether the peer left several pings unanswered.
func (p Peer) Silent() bool {
	return p.Failures >= silentAfterPings
}

// Answers reports whether the last ping was answered.
func (p Peer) Answers() bool {
	return p.Standing != nil && p.Failures == 0
}

// View is what an instance knows of the others and of the workers. It is never changed.
type View struct {
	// ListVersion is the version of the instance list that the view holds; 0 means none yet.
	ListVersion uint64
	// Peers are the other instances in the order of their names.
	Peers []Peer
	// Workers are those of the instance list.
	Workers []*apiv1.Worker
}

// Peer returns the peer of that name.
func (v View) Peer(name string) (Peer, bool) {
	for _, peer := range v.Peers {
		if peer.Instance.Name == name {
			return peer, true
		}
	}
	return Peer{}, false
}

// suspects reports whether a peer that answered before leaves pings unanswered and is not silent yet.
func (v View) suspects() bool {
	for _, peer := range v.Peers {
		if peer.Standing != nil && peer.Failures > 0 && !peer.Silent() {
			return true
		}
	}
	return false
}

// HeardByOthers reports whether a peer that answers says that it hears the instance.
func (v View) HeardByOthers(name string) bool {
	for _, peer := range v.Peers {
		if !peer.Answers() || peer.Instance.Name == name {
			continue
		}
		for _, heard := range peer.Standing.Heard {
			if heard == name {
				return true
			}
		}
	}
	return false
}

// DataCentres returns the names of all data centres with workers, in the order of the list.
func (v View) DataCentres() []string {
	var names []string
	seen := make(map[string]bool)
	for _, worker := range v.Workers {
		if !seen[worker.DataCentre] {
			seen[worker.DataCentre] = true
			names = append(names, worker.DataCentre)
		}
	}
	return names
}
