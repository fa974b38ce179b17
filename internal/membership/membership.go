// Package membership follows the platform's instance list and pings the other instances.
//
// The list lags behind reality and a peer may be silent because of the path between the two, so
// neither is proof that an instance is gone. Package ownership weighs both.
package membership

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// interval is the time between two rounds of pings and list reads.
	interval = time.Second
	// callTimeout bounds one ping or list read.
	callTimeout = 900 * time.Millisecond
	// suspectInterval and suspectTimeout take the place of both while a peer that answered before leaves pings
	// unanswered, until it is silent.
	suspectInterval = 100 * time.Millisecond
	suspectTimeout  = 400 * time.Millisecond
	// silentAfterPings is how many pings in a row stay unanswered before a peer is silent.
	silentAfterPings = 4
)

// Pinger asks a peer for its standing.
type Pinger interface {
	Ping(ctx context.Context, address string, ping *apiv1.PeerPing) (*apiv1.PeerPong, error)
}

// Config is what a Membership needs. All fields must be set.
type Config struct {
	// Name is this instance's name.
	Name   string
	List   platform.InstanceList
	Pinger Pinger
	// Standing returns this instance's own standing, without Heard.
	Standing func() *apiv1.PeerPong
	Events   *events.Logger
}

// Membership keeps the view. It is safe for concurrent use.
type Membership struct {
	config Config

	mu        sync.Mutex
	list      *apiv1.InstanceList
	listFails int
	peers     map[string]*peerState
	watchers  []func(View)
}

// peerState is what is known of a peer beyond the list.
type peerState struct {
	standing *apiv1.PeerPong
	failures int
}

// New returns a Membership that knows nobody yet.
func New(config Config) *Membership {
	return &Membership{config: config, list: &apiv1.InstanceList{}, peers: make(map[string]*peerState)}
}

// Watch has f called with the view after every round, from the goroutine of Run. It must be called before Run.
func (m *Membership) Watch(f func(View)) {
	m.watchers = append(m.watchers, f)
}

// Run keeps the view until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		started := time.Now()
		m.Round(ctx)
		pause := interval - time.Since(started)
		if m.View().suspects() {
			pause = suspectInterval
		}
		timer.Reset(max(pause, suspectInterval))
	}
}

// Round reads the list, pings every peer once and tells the watchers.
func (m *Membership) Round(ctx context.Context) {
	before := m.View()
	timeout := callTimeout
	if before.suspects() {
		timeout = suspectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var calls errgroup.Group
	calls.Go(func() error {
		m.readList(ctx)
		return nil
	})
	for _, peer := range before.Peers {
		calls.Go(func() error {
			m.ping(ctx, peer.Instance)
			return nil
		})
	}
	_ = calls.Wait()
	view := m.View()
	for _, watcher := range m.watchers {
		watcher(view)
	}
}

func (m *Membership) readList(ctx context.Context) {
	list, err := m.config.List.Fetch(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.listFails++
		if m.listFails == silentAfterPings {
			m.config.Events.Log(events.ListUnreachable, "reason", err)
		}
		return
	}
	m.listFails = 0
	if list.Version >= m.list.Version {
		m.list = list
	}
}

func (m *Membership) ping(ctx context.Context, instance *apiv1.Instance) {
	known := m.heard(instance.Name)
	answer, err := m.config.Pinger.Ping(ctx, instance.PeerAddress, &apiv1.PeerPing{HeardDigest: heardDigest(known)})
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.state(instance.Name)
	if err != nil || answer.Instance != instance.Name {
		state.failures++
		if state.failures == silentAfterPings {
			m.config.Events.Log(events.PeerSilent, "peer", instance.Name)
		}
		return
	}
	if state.failures >= silentAfterPings {
		m.config.Events.Log(events.PeerBack, "peer", instance.Name)
	}
	state.failures = 0
	if answer.HeardUnchanged {
		answer.Heard = known
	}
	state.standing = answer
}

func (m *Membership) state(name string) *peerState {
	state, ok := m.peers[name]
	if !ok {
		state = &peerState{}
		m.peers[name] = state
	}
	return state
}

// heard returns whom the peer said that it hears.
func (m *Membership) heard(name string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state(name).standing.GetHeard()
}

// Answer returns the answer to a ping: this instance's standing, without Heard when the asker has it already. So
// an answer does not grow with the number of instances.
func (m *Membership) Answer(ping *apiv1.PeerPing) *apiv1.PeerPong {
	standing := m.Standing()
	if digest := heardDigest(standing.Heard); digest != 0 && digest == ping.GetHeardDigest() {
		standing.Heard = nil
		standing.HeardUnchanged = true
	}
	return standing
}

// heardDigest returns the digest of a list of names; 0 only for the empty list.
func heardDigest(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	return max(xxhash.Sum64String(strings.Join(names, "\x00")), 1)
}

// Standing returns this instance's standing with the peers that it hears.
func (m *Membership) Standing() *apiv1.PeerPong {
	standing := m.config.Standing()
	for _, peer := range m.View().Peers {
		if peer.Answers() {
			standing.Heard = append(standing.Heard, peer.Instance.Name)
		}
	}
	return standing
}

// View returns the current view.
func (m *Membership) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := View{ListVersion: m.list.Version, Workers: m.list.Workers}
	for _, instance := range m.list.Instances {
		if instance.Name == m.config.Name {
			continue
		}
		state := m.state(instance.Name)
		view.Peers = append(view.Peers, Peer{Instance: instance, Standing: state.standing, Failures: state.failures})
	}
	sort.Slice(view.Peers, func(i, j int) bool {
		return view.Peers[i].Instance.Name < view.Peers[j].Instance.Name
	})
	return view
}
