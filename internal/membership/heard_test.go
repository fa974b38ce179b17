package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// fleetPinger lets the members of a fleet ping each other and notes the largest answer since it was reset, bytes.
type fleetPinger struct {
	from    string
	members map[string]*Membership
	cut     map[[2]string]bool
	largest int
}

func (f *fleetPinger) Ping(_ context.Context, address string, ping *apiv1.PeerPing) (*apiv1.PeerPong, error) {
	if f.cut[[2]string{f.from, address}] {
		return nil, context.DeadlineExceeded
	}
	answer := f.members[address].Answer(ping)
	f.largest = max(f.largest, proto.Size(answer))
	return answer, nil
}

// fleet returns members that list each other and ping one after another, and their pingers.
func fleet(count int, cut map[[2]string]bool) (map[string]*Membership, map[string]*fleetPinger) {
	list := &apiv1.InstanceList{Version: 1}
	members, pingers := map[string]*Membership{}, map[string]*fleetPinger{}
	for number := range count {
		name := fmt.Sprintf("instance-%02d", number)
		list.Instances = append(list.Instances, &apiv1.Instance{Name: name, PeerAddress: name})
	}
	for _, listed := range list.Instances {
		name := listed.Name
		pingers[name] = &fleetPinger{from: name, members: members, cut: cut}
		members[name] = New(Config{
			Name:     name,
			List:     &fakeList{list: list},
			Pinger:   serial{inner: pingers[name], turn: make(chan struct{}, 1)},
			Standing: func() *apiv1.PeerPong { return &apiv1.PeerPong{Instance: name} },
			Events:   events.Discard(),
		})
	}
	return members, pingers
}

// serial lets one ping of a round go at a time.
type serial struct {
	inner Pinger
	turn  chan struct{}
}

func (s serial) Ping(ctx context.Context, address string, ping *apiv1.PeerPing) (*apiv1.PeerPong, error) {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	return s.inner.Ping(ctx, address, ping)
}

// roundsOfAll runs rounds of all members one after another.
func roundsOfAll(members map[string]*Membership, names []string, count int) {
	for range count {
		for _, name := range names {
			members[name].Round(context.Background())
		}
	}
}

func sortedNames(members map[string]*Membership) []string {
	var names []string
	for name := range members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestAnswersDoNotGrowWithTheFleet bounds the answers once nothing changes, and checks that what is left out is known.
func TestAnswersDoNotGrowWithTheFleet(t *testing.T) {
	// maxAnswerBytes leaves room for a name of twelve characters and two flags, and for no list of names.
	const maxAnswerBytes = 32
	for _, count := range []int{4, 16} {
		members, pingers := fleet(count, nil)
		names := sortedNames(members)
		roundsOfAll(members, names, 4)
		for _, pinger := range pingers {
			pinger.largest = 0
		}
		roundsOfAll(members, names, 1)
		for _, name := range names {
			if pingers[name].largest > maxAnswerBytes {
				t.Errorf("%d instances: an answer has %d bytes, want at most %d", count, pingers[name].largest, maxAnswerBytes)
			}
			for _, peer := range members[name].View().Peers {
				if len(peer.Standing.Heard) != count-1 {
					t.Errorf("%s knows of %s that it hears %v, want all %d others", name, peer.Instance.Name, peer.Standing.Heard, count-1)
				}
			}
		}
	}
}

// TestChangeOfWhatAPeerHearsIsLearnt cuts one path and looks at what a third instance knows.
func TestChangeOfWhatAPeerHearsIsLearnt(t *testing.T) {
	const first, second, third = "instance-00", "instance-01", "instance-02"
	cut := map[[2]string]bool{}
	members, _ := fleet(3, cut)
	names := sortedNames(members)
	heard := func(want bool) {
		t.Helper()
		roundsOfAll(members, names, 3)
		peer, _ := members[third].View().Peer(second)
		if slices.Contains(peer.Standing.Heard, first) != want {
			t.Errorf("%s knows that %s hears %v; want %s among them: %v", third, second, peer.Standing.Heard, first, want)
		}
	}
	heard(true)
	cut[[2]string{second, first}] = true
	heard(false)
	delete(cut, [2]string{second, first})
	heard(true)
}
