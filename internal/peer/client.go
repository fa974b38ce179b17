package peer

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Client asks peers. It keeps one connection to each and is safe for concurrent use.
type Client struct {
	tls   *tls.Config
	meter meter

	mu          sync.Mutex
	connections map[string]*quic.Conn
}

// NewClient returns a client that authenticates with the shared secret.
func NewClient(secret string) (*Client, error) {
	tlsSettings, err := tlsConfig(secret)
	if err != nil {
		return nil, err
	}
	return &Client{tls: tlsSettings, connections: make(map[string]*quic.Conn)}, nil
}

// Ask puts one question to the peer at address (IP:port). Errors are a *RemoteError or wrap
// ErrUnreachable. The deadline of ctx bounds the whole call.
func (c *Client) Ask(ctx context.Context, address string, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	connection, err := c.connection(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	reply, err := ask(ctx, connection, request)
	if err != nil {
		c.drop(address, connection)
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if reply.Error != "" {
		return nil, &RemoteError{Message: reply.Error}
	}
	return reply, nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.CloseWithError(0, "")
		delete(c.connections, address)
	}
}

func (c *Client) connection(ctx context.Context, address string) (*quic.Conn, error) {
	c.mu.Lock()
	known, ok := c.connections[address]
	c.mu.Unlock()
	if ok && known.Context().Err() == nil {
		return known, nil
	}
	fresh, err := quic.DialAddr(ctx, address, c.tls, quicConfig())
	if err != nil {
		return nil, err
	}
	return c.keep(address, fresh), nil
}

// keep stores a fresh connection unless another call stored a live one first.
func (c *Client) keep(address string, fresh *quic.Conn) *quic.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.connections[address]
	if ok && known.Context().Err() == nil {
		_ = fresh.CloseWithError(0, "")
		return known
	}
	c.connections[address] = fresh
	c.meter.watch(fresh)
	return fresh
}

// drop keeps later questions off the connection. Questions under way on it go on; the idle timeout ends it.
func (c *Client) drop(address string, broken *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == broken {
		delete(c.connections, address)
	}
}

func ask(ctx context.Context, connection *quic.Conn, request *apiv1.PeerRequest) (*apiv1.PeerReply, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeMessage(stream, request); err != nil {
		return nil, err
	}
	reply := &apiv1.PeerReply{}
	if err := readMessage(stream, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
