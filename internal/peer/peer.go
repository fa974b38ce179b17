// Package peer carries questions between instances over QUIC.
//
// A question is one stream: the asker writes a PeerRequest and closes its side, the other writes a
// PeerReply. Both sides prove that they hold the shared secret. A connection on which a question
// times out is dropped, and the next question dials a new one from a new port, so a connection that
// went silent never lasts.
package peer

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Bounds of the peer protocol.
const (
	// MaxMessageBytes bounds a question and an answer, bytes.
	MaxMessageBytes = 16 << 20
	// idleTimeout ends a connection on which nothing arrives.
	idleTimeout = 5 * time.Second
	// handshakeTimeout bounds the set-up of a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams bounds the questions of one peer that are answered at once.
	maxStreams = 64
)

// Sentinel errors of the package.
var (
	// ErrUnreachable means that the peer did not answer in time.
	ErrUnreachable = errors.New("the peer does not answer: it is tried again on a new connection")
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("the peer message is too large: ask for less at once")
)

// RemoteError is the peer's own error.
type RemoteError struct {
	Message string
}

// Error returns the peer's words.
func (e *RemoteError) Error() string {
	return "the peer answered: " + e.Message
}

// Handler answers the questions of peers. It is called from many goroutines.
type Handler interface {
	Handle(ctx context.Context, request *apiv1.PeerRequest) (*apiv1.PeerReply, error)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

func writeMessage(stream *quic.Stream, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a peer message")
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	if _, err := stream.Write(data); err != nil {
		return errors.Wrap(err, "write a peer message")
	}
	return stream.Close()
}

func readMessage(stream *quic.Stream, message proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes+1))
	if err != nil {
		return errors.Wrap(err, "read a peer message")
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	return proto.Unmarshal(data, message)
}
