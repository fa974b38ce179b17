package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkBuffer is the size of the largest piece that a link forwards at once, in bytes.
const linkBuffer = 64 << 10

// dialTimeout bounds the opening of a connection on loopback.
const dialTimeout = time.Second

// link forwards TCP connections to a target and can harm them.
type link struct {
	target   string
	listener net.Listener
	// cut drops all that comes and lets no new connection through; oneWay drops only what the target answers.
	cut, oneWay atomic.Bool
	// delay is added to each piece, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	pipes map[*pipe]bool
}

// newLink listens on a free port and forwards to the target until the process ends.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Until the process ends.
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, pipes: map[*pipe]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(near)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// pipe is one forwarded connection. A silent one drops all that comes.
type pipe struct {
	near, far net.Conn
	silent    atomic.Bool
}

func (p *pipe) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (l *link) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pipe{near: near, far: far}
	l.mu.Lock()
	l.pipes[p] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(p, near, far, false) })
	directions.Go(func() { l.forward(p, far, near, true) })
	directions.Wait()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// forward copies one direction; what a cut or a silent connection gets is dropped.
func (l *link) forward(p *pipe, from, to net.Conn, back bool) {
	defer p.close()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(l.delay.Load()))
		if p.silent.Load() || l.cut.Load() || (back && l.oneWay.Load()) {
			p.silent.Store(true) // bytes are missing, so the connection never works again
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the connections that are open now silent for good.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.silent.Store(true)
	}
}

// reset closes some of the connections that are open now.
func (l *link) reset(random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		if random.IntN(2) == 0 {
			p.close()
		}
	}
}
