package peer

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Server answers peers on one UDP address.
type Server struct {
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	handler   Handler
	meter     meter
	handlers  sync.WaitGroup
}

// Listen binds address (IP:port). Serve must be called.
func Listen(address, secret string, handler Handler) (*Server, error) {
	tlsSettings, err := tlsConfig(secret)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers: choose a free address for addresses.peers")
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(tlsSettings, quicConfig())
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "listen for peers"), socket.Close())
	}
	return &Server{socket: socket, transport: transport, listener: listener, handler: handler}, nil
}

// Address returns the bound IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve answers peers until ctx ends; then the address is free again.
func (s *Server) Serve(ctx context.Context) error {
	defer s.close()
	for {
		connection, err := s.listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		s.meter.watch(connection)
		s.handlers.Go(func() { s.serveConnection(ctx, connection) })
	}
}

// close waits for the answers under way and frees the address.
func (s *Server) close() {
	_ = s.listener.Close()
	s.handlers.Wait()
	_ = s.transport.Close()
	_ = s.socket.Close()
}

func (s *Server) serveConnection(ctx context.Context, connection *quic.Conn) {
	defer connection.CloseWithError(0, "") //nolint:errcheck // The peer sees the end.
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.handlers.Go(func() { s.serveStream(ctx, stream) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *quic.Stream) {
	request := &apiv1.PeerRequest{}
	if err := readMessage(stream, request); err != nil {
		stream.CancelWrite(0)
		return
	}
	reply, err := s.handler.Handle(ctx, request)
	if err != nil {
		reply = &apiv1.PeerReply{Error: err.Error()}
	}
	if err := writeMessage(stream, reply); err != nil {
		stream.CancelWrite(0)
	}
}
