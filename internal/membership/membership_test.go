package membership

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// fakeList is a list that can be down.
type fakeList struct {
	list *apiv1.InstanceList
	down bool
}

func (f *fakeList) Fetch(context.Context) (*apiv1.InstanceList, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	return f.list, nil
}

// fakePinger answers for the addresses that are not silent.
type fakePinger struct {
	names  map[string]string
	silent map[string]bool
}

func (f *fakePinger) Ping(_ context.Context, address string, _ *apiv1.PeerPing) (*apiv1.PeerPong, error) {
	if f.silent[address] {
		return nil, errors.New("silent")
	}
	return &apiv1.PeerPong{Instance: f.names[address]}, nil
}

func build(version uint64) (*Membership, *fakeList, *fakePinger) {
	list := &fakeList{list: &apiv1.InstanceList{
		Version: version,
		Instances: []*apiv1.Instance{
			{Name: "c", PeerAddress: "c:1"}, {Name: "a", PeerAddress: "a:1"}, {Name: "b", PeerAddress: "b:1"},
		},
	}}
	pinger := &fakePinger{names: map[string]string{"b:1": "b", "c:1": "c"}, silent: map[string]bool{}}
	m := New(Config{
		Name:     "a",
		List:     list,
		Pinger:   pinger,
		Standing: func() *apiv1.PeerPong { return &apiv1.PeerPong{Instance: "a"} },
		Events:   events.Discard(),
	})
	return m, list, pinger
}

func rounds(m *Membership, count int) {
	for range count {
		m.Round(context.Background())
	}
}

func TestViewLeavesOutSelfAndSortsPeers(t *testing.T) {
	m, _, _ := build(1)
	rounds(m, 2)
	peers := m.View().Peers
	if len(peers) != 2 || peers[0].Instance.Name != "b" || peers[1].Instance.Name != "c" {
		t.Fatalf("peers = %v, want b and c", peers)
	}
	if heard := m.Standing().Heard; len(heard) != 2 {
		t.Errorf("heard = %v, want both peers", heard)
	}
}

func TestPeerIsSilentOnlyAfterSeveralPings(t *testing.T) {
	m, _, pinger := build(1)
	rounds(m, 2)
	pinger.silent["b:1"] = true
	rounds(m, silentAfterPings-1)
	if peer, _ := m.View().Peer("b"); peer.Silent() || peer.Answers() {
		t.Errorf("after %d lost pings: silent %v, answers %v, want neither", silentAfterPings-1, peer.Silent(), peer.Answers())
	}
	rounds(m, 1)
	if peer, _ := m.View().Peer("b"); !peer.Silent() {
		t.Error("the peer is not silent")
	}
	pinger.silent["b:1"] = false
	rounds(m, 1)
	if peer, _ := m.View().Peer("b"); !peer.Answers() {
		t.Error("the peer does not answer again")
	}
}

func TestAnotherInstanceAtTheAddressIsNotThePeer(t *testing.T) {
	m, _, pinger := build(1)
	pinger.names["b:1"] = "d"
	rounds(m, 2)
	if peer, _ := m.View().Peer("b"); peer.Answers() {
		t.Error("an answer under another name counts as the peer's")
	}
}

func TestListNeverGoesBackAndOutlivesItsOutage(t *testing.T) {
	m, list, _ := build(5)
	rounds(m, 1)
	list.list = &apiv1.InstanceList{Version: 4}
	rounds(m, 1)
	if view := m.View(); view.ListVersion != 5 || len(view.Peers) != 2 {
		t.Errorf("version %d with %d peers, want version 5 with 2", view.ListVersion, len(view.Peers))
	}
	list.down = true
	rounds(m, silentAfterPings)
	if view := m.View(); len(view.Peers) != 2 {
		t.Errorf("%d peers during an outage of the list, want 2", len(view.Peers))
	}
}
