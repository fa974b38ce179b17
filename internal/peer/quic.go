package peer

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// protocolName is the version of the protocol, which is negotiated with ALPN.
	protocolName = "dotterelgauge-peer/1"
	// idleTimeout closes an unused connection. Nothing keeps connections alive, so that an instance without forwarded calls has none.
	idleTimeout = 5 * time.Second
	// dialTime limits a handshake. It goes on after the question for which it was begun has timed out, so that the next one finds a
	// connection: an instance with a small share of a core may stand still for 0.1 s several times during a handshake.
	dialTime = time.Second
	// handshakeTimeout is how long a handshake waits for a packet. A datagram that is lost is sent again after 0.2 to 0.3 s.
	handshakeTimeout = time.Second
	// callReceiveTime limits the time from an offer until the call has arrived; 256 KiB take 0.2 s over 10 Mbit/s.
	callReceiveTime = time.Second
	// maxMessageBytes limits a message: a body of 256 KiB and some names.
	maxMessageBytes = 320 << 10
	// streamWindow and connectionWindow limit what is received ahead of being read, per stream and connection.
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
	// maxConnections limits the connections that peers may open; there are some 40 instances.
	maxConnections = 64
	// readBufferBytes is the size of the buffer of a stream. Most messages are smaller.
	readBufferBytes = 1 << 10
)

// Codes with which streams and connections are closed. They tell nothing to the peer.
const (
	codeDone    quic.ApplicationErrorCode = 0
	codeTooMany quic.ApplicationErrorCode = 1
	codeAborted quic.StreamErrorCode      = 0
)

// quicListener is a Listener over QUIC. One UDP socket serves calls of peers and opens connections to them. QUIC is started when the
// first datagram arrives or the first connection is opened: its queues take some 0.3 MB, and few instances ever need them.
type quicListener struct {
	socket    *net.UDPConn
	identity  *Identity
	directory Directory
	dials     singleflight.Group
	// awoken is closed once nothing waits for the first datagram any more.
	awoken    chan struct{}
	startOnce sync.Once
	// started is closed once transport and listener, or startErr, are set.
	started   chan struct{}
	transport *quic.Transport
	listener  *quic.Listener
	startErr  error

	mu sync.Mutex
	// connections are the open connections to peers by the peer's name.
	connections map[string]*quic.Conn
}

// quicConfig returns the configuration of connections, which keeps the memory of each small.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, DisablePathMTUDiscovery: true,
		InitialStreamReceiveWindow: streamWindow, MaxStreamReceiveWindow: streamWindow,
		InitialConnectionReceiveWindow: connectionWindow, MaxConnectionReceiveWindow: connectionWindow,
		MaxIncomingStreams: maxInFlight, MaxIncomingUniStreams: -1,
	}
}

// ListenQUIC opens the address, of the form IP:port, for peers.
func ListenQUIC(address string, identity *Identity, directory Directory) (Listener, error) {
	// quic-go asks for socket buffers of 7 MB and prints a warning outside the log if the system allows less, which is enough here.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peers' address %s: set an IP address and a second internal port in the settings file", address)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "open the peers' address: check that no other process uses the port")
	}
	l := &quicListener{
		socket: socket, identity: identity, directory: directory, awoken: make(chan struct{}), started: make(chan struct{}),
		connections: map[string]*quic.Conn{},
	}
	go func() {
		arrived := awaitDatagram(socket)
		close(l.awoken)
		if arrived {
			_ = l.start() // Serve reports an error
		}
	}()
	return l, nil
}

// awaitDatagram waits until a datagram can be read from the socket, without reading it. It returns false if the socket's read deadline
// passes or it is closed.
func awaitDatagram(socket *net.UDPConn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var first [1]byte
	return raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK) //nolint:gosec // a file descriptor.
		return !errors.Is(err, syscall.EAGAIN)
	}) == nil
}

// start starts QUIC unless it is started.
func (l *quicListener) start() error {
	l.startOnce.Do(func() {
		defer close(l.started)
		// The wait for the first datagram ends; setting a deadline fails only on a closed socket.
		_ = l.socket.SetReadDeadline(time.Now())
		<-l.awoken
		_ = l.socket.SetReadDeadline(time.Time{})
		l.transport = &quic.Transport{Conn: l.socket}
		l.listener, l.startErr = l.transport.Listen(l.serverTLS(), quicConfig())
	})
	return l.startErr
}

// baseTLS returns what client and server have in common. Each checks the other's certificate by its hash alone.
func (l *quicListener) baseTLS(verify func(replica.CertificateHash) bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName}, SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 || !verify(sha256.Sum256(state.PeerCertificates[0].Raw)) {
				return errors.New("the certificate is not in the peer's record: it may have been replaced")
			}
			return nil
		},
	}
}

func (l *quicListener) serverTLS() *tls.Config {
	config := l.baseTLS(l.directory.HasCertificate)
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return l.identity.Current(), nil }
	return config
}

func (l *quicListener) clientTLS(to replica.Peer) *tls.Config {
	config := l.baseTLS(func(hash replica.CertificateHash) bool { return slices.Contains(to.Certificates, hash) })
	// The chain and the name mean nothing in a certificate that an instance signs itself: VerifyConnection checks its hash.
	config.InsecureSkipVerify = true //nolint:gosec // see above.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return l.identity.Current(), nil }
	return config
}

// Ask implements Transport.
func (l *quicListener) Ask(ctx context.Context, to replica.Peer) (Exchange, peerv1.Readiness, error) {
	connection, err := l.connect(ctx, to)
	if err != nil {
		return nil, 0, err
	}
	exchange, readiness, err := l.question(ctx, connection)
	if err != nil {
		// The peer may have been restarted, so the next question needs another connection. Calls in progress over this one may still
		// be answered; it closes when it has been silent for idleTimeout.
		l.forget(to.Name, connection)
	}
	return exchange, readiness, err
}

func (l *quicListener) question(ctx context.Context, connection *quic.Conn) (Exchange, peerv1.Readiness, error) {
	stream, err := connection.OpenStream()
	if err != nil {
		return nil, 0, errors.Wrap(err, "open a stream")
	}
	exchange := newExchange(stream)
	offer := &peerv1.Offer{}
	if err := exchange.roundTrip(ctx, &peerv1.Question{}, offer); err != nil {
		exchange.Close()
		return nil, 0, err
	}
	if offer.GetReadiness() != peerv1.Readiness_READINESS_READY {
		exchange.Close()
		return nil, offer.GetReadiness(), nil
	}
	return exchange, offer.GetReadiness(), nil
}

// connect returns an open connection to a peer, and opens one if there is none. Concurrent calls share a handshake.
func (l *quicListener) connect(ctx context.Context, to replica.Peer) (*quic.Conn, error) {
	if connection := l.open(to); connection != nil {
		return connection, nil
	}
	result := l.dials.DoChan(to.Name, func() (any, error) {
		if connection := l.open(to); connection != nil {
			return connection, nil
		}
		dial, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTime)
		defer cancel()
		return l.dial(dial, to)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case dialled := <-result:
		if dialled.Err != nil {
			return nil, dialled.Err
		}
		return dialled.Val.(*quic.Conn), nil //nolint:forcetypeassert // the function above returns nothing else.
	}
}

func (l *quicListener) dial(ctx context.Context, to replica.Peer) (*quic.Conn, error) {
	if err := l.start(); err != nil {
		return nil, errors.Wrap(err, "start QUIC")
	}
	address, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, errors.Wrap(err, "address of the peer")
	}
	connection, err := l.transport.Dial(ctx, address, l.clientTLS(to), quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "connect to the peer")
	}
	l.mu.Lock()
	l.connections[to.Name] = connection
	l.mu.Unlock()
	context.AfterFunc(connection.Context(), func() { l.forget(to.Name, connection) })
	return connection, nil
}

// open returns the open connection to a peer; nil if there is none, or the peer has another key by now.
func (l *quicListener) open(to replica.Peer) *quic.Conn {
	l.mu.Lock()
	connection := l.connections[to.Name]
	l.mu.Unlock()
	if connection == nil || connection.Context().Err() != nil {
		return nil
	}
	hash := sha256.Sum256(connection.ConnectionState().TLS.PeerCertificates[0].Raw)
	if !slices.Contains(to.Certificates, hash) {
		l.forget(to.Name, connection)
		return nil
	}
	return connection
}

// forget makes later calls use another connection to a peer. It doesn't close this one.
func (l *quicListener) forget(name string, connection *quic.Conn) {
	l.mu.Lock()
	if l.connections[name] == connection {
		delete(l.connections, name)
	}
	l.mu.Unlock()
}

// Serve implements Listener.
func (l *quicListener) Serve(ctx context.Context, server *Server) error {
	defer l.close()
	select {
	case <-l.started:
	case <-ctx.Done():
		return nil
	}
	if l.startErr != nil {
		return errors.Wrap(l.startErr, "start QUIC")
	}
	var serving sync.WaitGroup
	places := make(chan struct{}, maxConnections)
	for {
		connection, err := l.listener.Accept(ctx)
		if err != nil {
			serving.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connections")
		}
		select {
		case places <- struct{}{}:
		default:
			_ = connection.CloseWithError(codeTooMany, "") // never fails
			continue
		}
		serving.Go(func() {
			defer func() { <-places }()
			l.serveConnection(ctx, connection, server)
		})
	}
}

// close closes all connections and the socket.
func (l *quicListener) close() {
	l.mu.Lock()
	connections := l.connections
	l.connections = map[string]*quic.Conn{}
	l.mu.Unlock()
	for _, connection := range connections {
		_ = connection.CloseWithError(codeDone, "") // never fails
	}
	// Nothing is left to be done if either fails: the process ends.
	select {
	case <-l.started:
		_ = l.transport.Close()
	default:
	}
	_ = l.socket.Close()
}

// serveConnection serves the calls over a connection. When ctx ends, which is some time after the last offer, calls in progress are
// abandoned, so that they don't outlast the grace period.
func (l *quicListener) serveConnection(ctx context.Context, connection *quic.Conn, server *Server) {
	stop := context.AfterFunc(ctx, func() {
		_ = connection.CloseWithError(codeDone, "") // never fails
	})
	defer stop()
	var serving sync.WaitGroup
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			break
		}
		serving.Go(func() { serveStream(connection.Context(), stream, server) })
	}
	serving.Wait()
	_ = connection.CloseWithError(codeDone, "") // never fails
}

// serveStream serves one question and, if it is offered, one call. Errors only end the stream: the client sees that.
func serveStream(ctx context.Context, stream *quic.Stream, server *Server) {
	exchange := newExchange(stream)
	defer exchange.finish()
	_ = stream.SetDeadline(time.Now().Add(callReceiveTime)) // never fails
	if err := exchange.read(&peerv1.Question{}); err != nil {
		return
	}
	readiness, release := server.Offer(ctx)
	if release != nil {
		defer release()
	}
	if err := exchange.write(&peerv1.Offer{Readiness: readiness}); err != nil || release == nil {
		return
	}
	call := &peerv1.Call{}
	if err := exchange.read(call); err != nil {
		return
	}
	answer := server.Serve(ctx, call)
	_ = stream.SetDeadline(time.Now().Add(callReceiveTime)) // never fails
	_ = exchange.write(answer)                              // an error means that nobody waits for the answer
}

// quicExchange is an Exchange over one stream. Messages have a length prefix.
type quicExchange struct {
	stream *quic.Stream
	reader *bufio.Reader
}

func newExchange(stream *quic.Stream) *quicExchange {
	return &quicExchange{stream: stream, reader: bufio.NewReaderSize(stream, readBufferBytes)}
}

// Call implements Exchange.
func (e *quicExchange) Call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	answer := &peerv1.Answer{}
	return answer, e.roundTrip(ctx, call, answer)
}

// Close implements Exchange. Without a call before it, it lets the peer know that none will come.
func (e *quicExchange) Close() {
	e.stream.CancelRead(codeAborted)
	e.finish()
}

// finish ends both directions of the stream.
func (e *quicExchange) finish() {
	_ = e.stream.Close() // fails only if it was cancelled
	e.stream.CancelRead(codeAborted)
}

// roundTrip sends a message and reads the one that answers it, until ctx ends.
func (e *quicExchange) roundTrip(ctx context.Context, request, response proto.Message) error {
	stop := context.AfterFunc(ctx, func() {
		_ = e.stream.SetDeadline(time.Now()) // never fails
	})
	defer stop()
	if err := e.write(request); err != nil {
		return err
	}
	return e.read(response)
}

func (e *quicExchange) write(message proto.Message) error {
	if _, err := protodelim.MarshalTo(e.stream, message); err != nil {
		return errors.Wrap(err, "write to the peer")
	}
	return nil
}

func (e *quicExchange) read(message proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(e.reader, message)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return errors.New("the peer ended the stream without an answer")
	default:
		return errors.Wrap(err, "read from the peer")
	}
}
