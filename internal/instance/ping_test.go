package instance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// pingedPeer answers pings under its name and passes the size of each question on, bytes.
type pingedPeer struct {
	name  string
	sizes chan int
}

func (p pingedPeer) Handle(ctx context.Context, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	if request.GetPing() == nil {
		return nil, errUnknownQuestion
	}
	select {
	case p.sizes <- proto.Size(request):
	case <-ctx.Done():
	}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Pong{Pong: &apiv1.PeerPong{Instance: p.name}}}, nil
}

// listenAsPeer runs a peer until the test ends and returns it as listed.
func listenAsPeer(t *testing.T, secret string, as pingedPeer) *apiv1.Instance {
	t.Helper()
	server, err := peer.Listen("127.0.0.1:0", secret, as)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return &apiv1.Instance{
		Name: as.name, DataCentre: dataCentre, Presence: apiv1.Presence_PRESENCE_LIVE, PeerAddress: server.Address(),
	}
}

// TestPingsDoNotGrowWithTheFleet bounds what an instance sends with each ping when it hears fifteen others: all pings
// of a fleet grow with the square of its instances already.
func TestPingsDoNotGrowWithTheFleet(t *testing.T) {
	const (
		others = 15
		// rounds are enough for the instance to have heard the others before the last ones.
		rounds = 4
		// maxPingBytes leaves room for the kind of question and a digest, and for no list of instances.
		maxPingBytes = 16
	)
	secret := settingsFor(standin.Addresses{}).Peers.Secret
	sizes := make(chan int, others)
	var listed []*apiv1.Instance
	for number := range others {
		listed = append(listed, listenAsPeer(t, secret, pingedPeer{name: fmt.Sprintf("peer-%d", number), sizes: sizes}))
	}
	i, err := New(settingsFor(startPlatform(t, logservice.New(logservice.Options{}), listed...)), events.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	failed := i.Start(ctx)
	for range others * rounds {
		select {
		case size := <-sizes:
			if size > maxPingBytes {
				t.Fatalf("a ping has %d bytes, want at most %d", size, maxPingBytes)
			}
		case err := <-failed:
			t.Fatal(err)
		case <-time.After(patience):
			t.Fatal("the peers are not pinged")
		}
	}
}
