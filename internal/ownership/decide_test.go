package ownership

import (
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
)

func peerOf(name, dataCentre string, failures int, heard ...string) membership.Peer {
	return membership.Peer{
		Instance: &apiv1.Instance{Name: name, DataCentre: dataCentre, Presence: apiv1.Presence_PRESENCE_LIVE},
		Standing: &apiv1.PeerPong{Instance: name, Incarnation: 1, ReachesLog: true, Heard: heard},
		Failures: failures,
	}
}

func viewOf(peers ...membership.Peer) membership.View {
	return membership.View{ListVersion: 1, Peers: peers}
}

func ownedBy(name string, incarnation uint64) *apiv1.Owner {
	return &apiv1.Owner{Author: &apiv1.Author{Instance: name, Incarnation: incarnation}, Epoch: 1}
}

func TestShouldTake(t *testing.T) {
	const silent = 9
	draining := peerOf("b", "east", 0)
	draining.Standing.Draining = true
	unasked := peerOf("b", "east", 0)
	unasked.Standing = nil
	neverAnswered := peerOf("b", "east", silent)
	neverAnswered.Standing = nil
	tests := []struct {
		name  string
		view  membership.View
		owner *apiv1.Owner
		held  time.Duration
		self  Self
		want  bool
	}{
		{name: "no owner", view: viewOf(), want: true},
		{name: "no list yet", view: membership.View{}, want: false},
		{name: "draining itself", view: viewOf(), self: Self{Draining: true}, want: false},
		{name: "no owner, a peer is in the data centre", view: viewOf(peerOf("b", "east", 0)), self: Self{DataCentre: "west"}, want: false},
		{name: "no owner, the peer in the data centre drains", view: viewOf(draining), self: Self{DataCentre: "west"}, want: true},
		{name: "no owner, a listed peer in the data centre has not answered yet", view: viewOf(unasked), self: Self{DataCentre: "west"}, want: false},
		{name: "no owner, the listed peer in the data centre never answered", view: viewOf(neverAnswered), self: Self{DataCentre: "west"}, want: true},
		{name: "owner answers", view: viewOf(peerOf("b", "west", 0)), owner: ownedBy("b", 1), held: time.Minute, want: false},
		{name: "owner answers with another incarnation", view: viewOf(peerOf("b", "west", 0)), owner: ownedBy("b", 7), want: true},
		{name: "own name, an earlier life", view: viewOf(), owner: ownedBy("a", 7), want: true},
		{name: "already owner", view: viewOf(), owner: ownedBy("a", 1), want: false},
		{name: "owner silent", view: viewOf(peerOf("b", "west", silent)), owner: ownedBy("b", 1), held: time.Minute, want: true},
		{name: "owner missed one ping", view: viewOf(peerOf("b", "west", 1)), owner: ownedBy("b", 1), held: time.Minute, want: false},
		{name: "owner silent but new", view: viewOf(peerOf("b", "west", silent)), owner: ownedBy("b", 1), held: time.Second, want: false},
		{name: "owner silent here, heard by another", view: viewOf(peerOf("b", "west", silent), peerOf("c", "west", 0, "b")),
			owner: ownedBy("b", 1), held: time.Minute, want: false},
		{name: "owner not listed", view: viewOf(), owner: ownedBy("b", 1), self: Self{Rounds: 9}, want: true},
		{name: "owner not listed, just started", view: viewOf(), owner: ownedBy("b", 1), self: Self{Rounds: 1}, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			self := test.self
			self.Author = &apiv1.Author{Instance: "a", Incarnation: 1}
			if self.DataCentre == "" {
				self.DataCentre = "east"
			}
			holding := Holding{DataCentre: "east", Owner: test.owner, HeldFor: test.held}
			if got := ShouldTake(self, test.view, holding); got != test.want {
				t.Errorf("ShouldTake = %v, want %v", got, test.want)
			}
		})
	}
}

func TestPreferredIsAlikeAtEveryInstance(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, dataCentre := range []string{"east", "west", "north"} {
		var chosen []string
		for _, self := range names {
			var peers []membership.Peer
			for _, name := range names {
				if name != self {
					peers = append(peers, peerOf(name, "elsewhere", 0))
				}
			}
			author := &apiv1.Author{Instance: self, Incarnation: 1}
			chosen = append(chosen, Preferred(Self{Author: author, DataCentre: "elsewhere"}, viewOf(peers...), dataCentre))
		}
		if chosen[0] != chosen[1] || chosen[1] != chosen[2] {
			t.Errorf("%s: instances prefer %v", dataCentre, chosen)
		}
	}
}
