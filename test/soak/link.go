package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkBufferBytes is the maximum size of a chunk that a link forwards at once.
const linkBufferBytes = 64 << 10

// dialTimeout is the maximum time for opening a connection on loopback.
const dialTimeout = time.Second

// link is a TCP proxy that forwards connections to a target and can inject network faults.
type link struct {
	target   string
	listener net.Listener
	// cut drops all data, also of new connections; oneWay drops only the data from the target. Connections stay open.
	cut, oneWay atomic.Bool
	// delay is the time before each chunk is forwarded, in nanoseconds.
	delay atomic.Int64

	mu          sync.Mutex
	connections map[*connection]bool
}

// newLink listens on a free port and forwards to the target until the process ends.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens until the process ends.
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, connections: map[*connection]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(client)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// connection is one forwarded connection. A silent one stays open but drops all data.
type connection struct {
	client, server net.Conn
	silent         atomic.Bool
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// serve forwards one accepted connection until it is closed.
func (l *link) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, server: server}
	l.mu.Lock()
	l.connections[c] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(c, client, server, false) })
	directions.Go(func() { l.forward(c, server, client, true) })
	directions.Wait()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forward copies one direction until either side closes, and drops the data that a fault affects.
func (l *link) forward(c *connection, from, to net.Conn, fromServer bool) {
	defer c.close()
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(l.delay.Load()))
		if c.silent.Load() || l.cut.Load() || (fromServer && l.oneWay.Load()) {
			c.silent.Store(true) // the stream is incomplete from here on, so nothing more is forwarded
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silenceAll makes the connections that are open now permanently silent.
func (l *link) silenceAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.silent.Store(true)
	}
}

// closeSome closes each connection that is open now with probability 1/2.
func (l *link) closeSome(random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		if random.IntN(2) == 0 {
			c.close()
		}
	}
}
