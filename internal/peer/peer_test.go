package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	secret = "secret-of-the-test"
	// patience bounds a call that should be answered.
	patience = 20 * time.Second
)

// echoHandler answers a read with the offset asked for.
type echoHandler struct{}

var errOther = errors.New("only reads are answered here")

func (echoHandler) Handle(_ context.Context, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	read := request.GetRead()
	if read == nil {
		return nil, errOther
	}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Read{Read: &apiv1.ReadReply{Next: read.From}}}, nil
}

func listen(t *testing.T) (address string, stop func()) {
	t.Helper()
	server, err := Listen("127.0.0.1:0", secret, echoHandler{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(ctx)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return server.Address(), stop
}

func newClient(t *testing.T, secret string) *Client {
	t.Helper()
	client, err := NewClient(secret)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func readFrom(offset int64) *apiv1.PeerRequest {
	return &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Read{Read: &apiv1.PeerRead{From: offset}}}
}

func TestAskMatchesAnswersToQuestions(t *testing.T) {
	address, _ := listen(t)
	client := newClient(t, secret)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	answers := make(chan error)
	const questions = 50
	for offset := range int64(questions) {
		go func() {
			reply, err := client.Ask(ctx, address, readFrom(offset))
			if err == nil && reply.GetRead().GetNext() != offset {
				err = errors.New("a foreign answer")
			}
			answers <- err
		}()
	}
	for range questions {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
}

func TestAskReturnsThePeersError(t *testing.T) {
	address, _ := listen(t)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	_, err := newClient(t, secret).Ask(ctx, address, &apiv1.PeerRequest{})
	var remote *RemoteError
	if !errors.As(err, &remote) {
		t.Errorf("error = %v, want a *RemoteError", err)
	}
}

func TestAskRefusesAnotherSecret(t *testing.T) {
	address, _ := listen(t)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	_, err := newClient(t, "secret-of-a-stranger").Ask(ctx, address, readFrom(1))
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("error = %v, want ErrUnreachable", err)
	}
}

func TestAskDialsAnewAfterThePeerIsReplaced(t *testing.T) {
	address, stop := listen(t)
	client := newClient(t, secret)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if _, err := client.Ask(ctx, address, readFrom(1)); err != nil {
		t.Fatal(err)
	}
	stop()
	replacement, err := Listen(address, secret, echoHandler{})
	if err != nil {
		t.Fatal(err)
	}
	serveContext, end := context.WithCancel(t.Context())
	defer end()
	go func() { _ = replacement.Serve(serveContext) }()
	for ctx.Err() == nil {
		callContext, cancelCall := context.WithTimeout(ctx, time.Second)
		_, err = client.Ask(callContext, address, readFrom(2))
		cancelCall()
		if err == nil {
			return
		}
	}
	t.Errorf("the replaced peer never answered: %v", err)
}
