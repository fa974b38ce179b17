package conn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"golang.org/x/sync/singleflight"
)

// Transport is an http.RoundTripper to workers.
type Transport struct {
	config   Config
	counters counters
	probes   singleflight.Group

	mu sync.Mutex
	// hosts holds a transport for each address, so that each has a bound of its own.
	hosts map[string]*host
}

var _ http.RoundTripper = (*Transport)(nil)

// host is the connections to one worker.
type host struct {
	limit     int
	transport *http.Transport
}

// New returns a Transport without connections.
func New(config Config) *Transport {
	return &Transport{config: config.withDefaults(), hosts: make(map[string]*host)}
}

// SetLimits replaces the bounds. Idle connections to workers that aren't named, or whose bound changed, are
// closed; requests under way end as usual.
func (t *Transport) SetLimits(limits []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts
	t.hosts = make(map[string]*host, len(limits))
	for _, limit := range limits {
		h := old[limit.Address]
		if h == nil || h.limit != limit.Connections {
			h = t.newHost(limit.Connections)
		}
		t.hosts[limit.Address] = h
	}
	for address, h := range old {
		if t.hosts[address] != h {
			h.transport.CloseIdleConnections()
		}
	}
}

// newHost bounds requests to one connection less than the limit, which is kept for probes.
func (t *Transport) newHost(limit int) *host {
	bound := max(limit-1, 1)
	return &host{limit: limit, transport: &http.Transport{
		DialContext:         t.dial,
		MaxConnsPerHost:     bound,
		MaxIdleConnsPerHost: bound,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

func (t *Transport) host(address string) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		h = t.newHost(DefaultConnections)
		t.hosts[address] = h
	}
	return h
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.counters.open.Add(1)
	t.counters.dialled.Add(1)
	return &trackedConn{Conn: c, counters: &t.counters}, nil
}

// RoundTrip implements http.RoundTripper. A request whose connection went silent fails with ErrSilent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.counters.requests.Add(1)
	h := t.host(request.URL.Host)
	w := &watch{transport: t, host: h, address: request.URL.Host, busyAfter: t.config.busyAfter(request.Context())}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { w.start(info.Conn) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return nil, w.end(err)
	}
	response.Body = &watchedBody{ReadCloser: response.Body, watch: w}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.transport.CloseIdleConnections()
	}
}

// Stats returns the counts.
func (t *Transport) Stats() Stats {
	c := &t.counters
	return Stats{
		Requests: c.requests.Load(),
		Probes:   c.probes.Load(),
		Answered: c.answered.Load(),
		Silent:   c.silent.Load(),
		Open:     c.open.Load(),
		Dialled:  c.dialled.Load(),
	}
}
