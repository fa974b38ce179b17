package site

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkBuffer is the size of the largest piece that a link forwards at once, in bytes.
const linkBuffer = 64 << 10

// Kind is what a link leads to.
type Kind int

// Kinds of link.
const (
	ToLog Kind = iota + 1
	ToPeer
	ToWorker
)

// End names a link: the instance that it belongs to and what it leads to.
type End struct {
	Instance int
	Kind     Kind
	// Peer is the number of the instance at the other end of a ToPeer link.
	Peer int
	// DataCentre is that of the worker or instance at the other end.
	DataCentre string
}

// link is a forwarder in front of one address. cut makes everything under way silent and lets nothing new through;
// silence makes the connections that are open now silent for good; restore ends a cut and closes what is silent.
type link interface {
	cut()
	silence()
	restore()
}

// newLink listens at the address and forwards to the target.
func newLink(kind Kind, address, target string) (link, error) {
	if kind == ToPeer {
		return newPacketLink(address, target)
	}
	l := &streamLink{address: address, target: target, held: -1, pipes: make(map[*pipe]struct{})}
	return l, l.listen()
}

// pipe is one forwarded TCP connection.
type pipe struct {
	near, far net.Conn
	silent    atomic.Bool
}

// forward copies one direction; a silent pipe drops what it reads and does not pass the end on.
func (p *pipe) forward(from, to net.Conn) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() && err == nil {
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil && !p.silent.Load() {
			p.close()
		}
		if err != nil {
			return
		}
	}
}

func (p *pipe) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// streamLink forwards TCP connections.
type streamLink struct {
	address, target string
	listener        net.Listener
	// held is a socket that holds the port while the link is cut, else -1.
	held int

	mu    sync.Mutex
	pipes map[*pipe]struct{}
}

func (l *streamLink) listen() error {
	listener, err := net.Listen("tcp", l.address) //nolint:noctx // Ended by cut.
	if err != nil {
		return err
	}
	l.listener = listener
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(near)
		}
	}()
	return nil
}

func (l *streamLink) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pipe{near: near, far: far}
	l.mu.Lock()
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(near, far) })
	directions.Go(func() { p.forward(far, near) })
	directions.Wait()
	p.close()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

func (l *streamLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.silent.Store(true)
	}
}

// cut closes the listener and holds its port with a socket that refuses connections; a free one would soon be taken
// by somebody's outgoing connection.
func (l *streamLink) cut() {
	l.silence()
	address, isTCP := l.listener.Addr().(*net.TCPAddr)
	_ = l.listener.Close()
	if isTCP {
		l.held = holdPort(address)
	}
}

// holdPort binds a socket that does not listen, and returns it, or -1.
func holdPort(address *net.TCPAddr) int {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	_ = syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	return socket
}

func (l *streamLink) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		if p.silent.Load() {
			p.close()
		}
	}
	if l.held < 0 {
		return
	}
	_ = syscall.Close(l.held)
	l.held = -1
	if err := l.listen(); err != nil {
		fmt.Println("restore a link:", err)
	}
}

// packetLink forwards UDP datagrams.
type packetLink struct {
	near   net.PacketConn
	target string
	isCut  atomic.Bool
}

func newPacketLink(address, target string) (*packetLink, error) {
	near, err := net.ListenPacket("udp", address) //nolint:noctx // Until the process ends.
	if err != nil {
		return nil, err
	}
	l := &packetLink{near: near, target: target}
	go l.forward()
	return l, nil
}

// forward passes datagrams on, from a socket of its own for each source.
func (l *packetLink) forward() {
	sockets := make(map[string]net.Conn)
	buffer := make([]byte, linkBuffer)
	for {
		n, source, err := l.near.ReadFrom(buffer)
		if err != nil {
			return
		}
		far := sockets[source.String()]
		if far == nil {
			if far, err = net.Dial("udp", l.target); err != nil {
				continue
			}
			sockets[source.String()] = far
			go l.back(far, source)
		}
		if !l.isCut.Load() {
			_, _ = far.Write(buffer[:n])
		}
	}
}

// back returns the answers to a source. An error tells only that nobody listens at the target now.
func (l *packetLink) back(far net.Conn, source net.Addr) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := far.Read(buffer)
		if err == nil && !l.isCut.Load() {
			_, _ = l.near.WriteTo(buffer[:n], source)
		}
	}
}

func (l *packetLink) cut()     { l.isCut.Store(true) }
func (l *packetLink) silence() {}
func (l *packetLink) restore() { l.isCut.Store(false) }
