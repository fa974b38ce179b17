package worker

import (
	"context"
	"sync"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// LinkState is what happens to the calls of one caller to one worker.
type LinkState int

// States of a link.
const (
	// LinkUp carries calls and answers.
	LinkUp LinkState = iota
	// LinkCut carries nothing; calls wait for their deadline.
	LinkCut
	// LinkAnswersLost carries the calls and loses the answers.
	LinkAnswersLost
	// LinkHeld keeps the calls and delivers them when the link changes, also those that their caller has
	// given up: what a paused caller or a stalled connection does.
	LinkHeld
)

// Network is how one caller reaches in-memory workers by address. It implements platform.Workers.
// Give each caller its own to cut it off alone.
type Network struct {
	mu      sync.Mutex
	workers map[string]*Worker
	links   map[string]LinkState
	calls   int
	// changed is closed and replaced when a link changes.
	changed chan struct{}
}

var _ platform.Workers = (*Network)(nil)

// NewNetwork returns a network on which each worker has the address of its description.
func NewNetwork(workers ...*Worker) *Network {
	network := &Network{workers: map[string]*Worker{}, links: map[string]LinkState{}, changed: make(chan struct{})}
	for _, w := range workers {
		network.workers[w.description.GetAddress()] = w
	}
	return network
}

// SetLink changes the state of the link to an address.
func (n *Network) SetLink(address string, state LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[address] = state
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetLinks changes the state of the links to all workers.
func (n *Network) SetLinks(state LinkState) {
	for address := range n.workers {
		n.SetLink(address, state)
	}
}

// pass waits while the link is held and returns its state.
func (n *Network) pass(address string) LinkState {
	for {
		n.mu.Lock()
		state, changed := n.links[address], n.changed
		n.mu.Unlock()
		if state != LinkHeld {
			return state
		}
		<-changed
	}
}

// Calls returns the number of calls made.
func (n *Network) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Worker implements platform.Workers.
func (n *Network) Worker(address string) platform.Worker {
	return &link{network: n, address: address}
}

// link is one caller's way to one worker.
type link struct {
	network *Network
	address string
}

// Run implements platform.Worker.
func (l *link) Run(ctx context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	return carry(ctx, l, func(w *Worker) (*apiv1.RunReply, error) { return w.Run(ctx, request) })
}

// Lease implements platform.Worker.
func (l *link) Lease(ctx context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	return carry(ctx, l, func(w *Worker) (*apiv1.LeaseReply, error) { return w.Lease(ctx, request) })
}

// Usage implements platform.Worker.
func (l *link) Usage(ctx context.Context) (*apiv1.UsageReport, error) {
	return carry(ctx, l, func(w *Worker) (*apiv1.UsageReport, error) { return w.Usage(ctx) })
}

// carry makes a call as the link allows. A call that the caller gives up still takes effect.
func carry[T any](ctx context.Context, l *link, call func(*Worker) (*T, error)) (*T, error) {
	l.network.mu.Lock()
	l.network.calls++
	target, state := l.network.workers[l.address], l.network.links[l.address]
	l.network.mu.Unlock()
	if target == nil || ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	if state == LinkCut {
		<-ctx.Done()
		return nil, platform.ErrUnknownEffect
	}
	held := state == LinkHeld
	type outcome struct {
		answer *T
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		if held && l.network.pass(l.address) == LinkCut {
			return
		}
		answer, err := call(target)
		done <- outcome{answer, err}
	}()
	if state == LinkAnswersLost {
		<-ctx.Done()
		return nil, platform.ErrUnknownEffect
	}
	select {
	case result := <-done:
		return result.answer, result.err
	case <-ctx.Done():
		return nil, platform.ErrUnknownEffect
	}
}
