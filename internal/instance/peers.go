package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// answerMargin is added to the wait of a question for an answer.
	answerMargin = time.Second
	// maxRelayedWait bounds a relayed read.
	maxRelayedWait = 30 * time.Second
	// maxRelayedEntries bounds a relayed read.
	maxRelayedEntries = 1000
)

var (
	errUnknownQuestion = errors.New("the question is not known here: replace the older instance")
	errUnknownStream   = errors.New("the stream is not known here: use ledger or claims")
	errNotListed       = errors.New("the instance is not in the instance list")
)

// pinger pings peers.
type pinger struct {
	asker *peer.Client
}

// Ping asks the peer at address for its standing.
func (p pinger) Ping(ctx context.Context, address string, ping *apiv1.PeerPing) (*apiv1.PeerPong, error) {
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Ping{Ping: ping}}
	reply, err := p.asker.Ask(ctx, address, request)
	if err != nil {
		return nil, err
	}
	return reply.GetPong(), nil
}

// helpers returns the addresses of peers that reach the log.
func (i *Instance) helpers() []string {
	var addresses []string
	for _, other := range i.members.View().Peers {
		if other.Answers() && other.Standing.ReachesLog {
			addresses = append(addresses, other.Instance.PeerAddress)
		}
	}
	return addresses
}

// holder asks the instance that holds a key.
type holder struct {
	instance *Instance
}

// Answer asks the instance of that name what became of the key.
func (h holder) Answer(ctx context.Context, name, account string, key uuid.UUID, wait time.Duration) (*apiv1.PeerAnswerReply, error) {
	other, listed := h.instance.members.View().Peer(name)
	if !listed {
		return nil, errNotListed
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	request := &apiv1.PeerRequest{Body: &apiv1.PeerRequest_Answer{Answer: &apiv1.PeerAnswer{
		Account: account,
		Key:     key[:],
		WaitMs:  wait.Milliseconds(),
	}}}
	reply, err := h.instance.asker.Ask(ctx, other.Instance.PeerAddress, request)
	if err != nil {
		return nil, err
	}
	return reply.GetAnswer(), nil
}

// peerHandler answers the questions of other instances.
type peerHandler struct {
	instance *Instance
}

// Handle answers one question.
func (h peerHandler) Handle(ctx context.Context, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	switch body := request.Body.(type) {
	case *apiv1.PeerRequest_Ping:
		return &apiv1.PeerReply{Body: &apiv1.PeerReply_Pong{Pong: h.instance.members.Answer(body.Ping)}}, nil
	case *apiv1.PeerRequest_State:
		return h.state(body.State)
	case *apiv1.PeerRequest_Read:
		return h.read(ctx, body.Read)
	case *apiv1.PeerRequest_Append:
		return h.append(ctx, body.Append)
	case *apiv1.PeerRequest_Answer:
		return h.answer(ctx, body.Answer)
	case *apiv1.PeerRequest_Explain:
		explanation := h.instance.domains.explainOwn(ctx, body.Explain.DataCentre, body.Explain.Job)
		return &apiv1.PeerReply{Body: &apiv1.PeerReply_Explain{Explain: &apiv1.PeerExplainReply{Explanation: explanation}}}, nil
	default:
		return nil, errUnknownQuestion
	}
}

// state hands out the folded state of a stream.
func (h peerHandler) state(question *apiv1.PeerState) (*apiv1.PeerReply, error) {
	replica, err := h.instance.replica(question.Stream)
	if err != nil {
		return nil, err
	}
	offset, snapshot, err := replica.Export()
	if err != nil {
		return nil, err
	}
	body := &apiv1.PeerStateReply{Offset: offset, Snapshot: snapshot}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_State{State: body}}, nil
}

// read relays a read to the log itself, so that relays never form a ring.
func (h peerHandler) read(ctx context.Context, question *apiv1.PeerRead) (*apiv1.PeerReply, error) {
	wait := min(time.Duration(question.WaitMs)*time.Millisecond, maxRelayedWait)
	limit := min(int(question.Limit), maxRelayedEntries)
	answer, err := h.instance.log.Direct().Read(ctx, question.Stream, question.From, limit, wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		answer, err = &apiv1.ReadReply{Oldest: trimmed.Oldest}, nil
	}
	if err != nil {
		return nil, err
	}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Read{Read: answer}}, nil
}

// append relays an append to the log itself.
func (h peerHandler) append(ctx context.Context, question *apiv1.PeerAppend) (*apiv1.PeerReply, error) {
	offset, err := h.instance.log.Direct().Append(ctx, question.Stream, question.Payload)
	if err != nil {
		return nil, err
	}
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Append{Append: &apiv1.AppendReply{Offset: offset}}}, nil
}

// answer tells what became of a key that this instance claimed.
func (h peerHandler) answer(ctx context.Context, question *apiv1.PeerAnswer) (*apiv1.PeerReply, error) {
	key, err := uuid.FromBytes(question.Key)
	if err != nil {
		return nil, errors.Wrap(err, "the key is not a UUID")
	}
	wait := min(time.Duration(question.WaitMs)*time.Millisecond, maxRelayedWait)
	body := h.instance.router.Answer(ctx, question.Account, key, wait)
	return &apiv1.PeerReply{Body: &apiv1.PeerReply_Answer{Answer: body}}, nil
}

// replica returns the replica of a stream.
func (i *Instance) replica(stream string) (*ledger.Replica, error) {
	switch stream {
	case platform.StreamLedger:
		return i.ledger, nil
	case platform.StreamClaims:
		return i.claims, nil
	default:
		return nil, errUnknownStream
	}
}
